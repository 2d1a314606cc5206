package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// driftingClock is the clock of one side, with its own rate and offset.
type driftingClock struct {
	rate   float64
	offset time.Duration
}

// at returns the clock's time at a real time.
func (c driftingClock) at(real time.Duration) Time {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// message is a request or a response in transit. It may arrive late, twice, out of order, or never.
type message struct {
	due      time.Duration // when it arrives
	request  *Request
	response *Response
}

// TestHolderStopsBeforeGranterGrantsAgain guards against two processes acting on the same resource. It simulates a
// network that delays, reorders, duplicates and loses messages, clocks with any drift that the terms allow, changes of
// granters and suspensions of the holder. As long as the holder may act, its session must be active at the granter.
func TestHolderStopsBeforeGranterGrantsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulate(t, terms, func(h *Holder, now Time) bool { valid, _ := h.Valid(now); return valid }); violation != "" {
			t.Fatal(violation)
		}
	})
}

// simulation is a random run of a holder and its granter.
type simulation struct {
	t                         *rapid.T
	now                       time.Duration
	holderClock, granterClock driftingClock
	holder                    *Holder
	granter                   *Granter
	inTransit                 []message
	suspended                 bool // the holder is suspended
}

const session Session = 7

// simulate runs a simulation of a holder with the given terms, which acts when valid returns true. It returns the
// first violation of the lease, or "".
func simulate(t *rapid.T, holderTerms Terms, valid func(*Holder, Time) bool) (violation string) {
	sim := &simulation{t: t}
	sim.holderClock, sim.granterClock = sim.drawClock("holder"), sim.drawClock("granter")
	sim.open(holderTerms)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		sim.now += time.Duration(rapid.SampledFrom([]int{10, 100, 300, 900}).Draw(t, "pass")) * time.Millisecond
		if rapid.IntRange(0, 19).Draw(t, "suspension") == 0 {
			sim.suspended = !sim.suspended
		}
		if !sim.suspended {
			if request, due := sim.holder.Tick(sim.holderClock.at(sim.now)); due {
				sim.send(message{request: &request})
			}
		}
		sim.deliver()
		sim.change()
		sim.granter.Expire(sim.granterClock.at(sim.now))
		// An effect takes up to half of the margin here.
		effectEnd := sim.now + terms.Margin/2
		if valid(sim.holder, sim.holderClock.at(sim.now)) && !sim.granter.Active(sim.granterClock.at(effectEnd), session) {
			return "the holder may act while the granter may grant the resource to another holder"
		}
	}
	return ""
}

// drawClock draws a clock with any drift that the terms allow.
func (s *simulation) drawClock(name string) driftingClock {
	drift := rapid.Float64Range(-terms.Drift, terms.Drift).Draw(s.t, name+"'s drift")
	return driftingClock{1 + drift, time.Duration(rapid.IntRange(0, 1e9).Draw(s.t, name+"'s start"))}
}

// open opens the session, with messages that take up to 3 s each.
func (s *simulation) open(holderTerms Terms) {
	var err error
	if s.granter, err = NewGranter(terms); err != nil {
		s.t.Fatalf("%v", err)
	}
	requestedAt := s.holderClock.at(s.now)
	s.now += time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "transit")) * time.Millisecond
	if err := s.granter.Open(s.granterClock.at(s.now), session); err != nil {
		s.t.Fatalf("%v", err)
	}
	s.now += time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "transit")) * time.Millisecond
	if s.holder, err = NewHolder(holderTerms, session, requestedAt, s.holderClock.at(s.now)); err != nil {
		s.t.Fatalf("%v", err)
	}
}

// send puts a message in transit, or loses or duplicates it.
func (s *simulation) send(m message) {
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(s.t, "copies") {
		m.due = s.now + time.Duration(rapid.SampledFrom([]int{0, 5, 50, 900, 4000, 12000}).Draw(s.t, "delay"))*time.Millisecond
		s.inTransit = append(s.inTransit, m)
	}
}

// deliver delivers the messages that are due. A response to a holder that is suspended is lost.
func (s *simulation) deliver() {
	slices.SortStableFunc(s.inTransit, func(a, b message) int { return int(a.due - b.due) })
	for len(s.inTransit) > 0 && s.inTransit[0].due <= s.now {
		m := s.inTransit[0]
		s.inTransit = s.inTransit[1:]
		switch {
		case m.request != nil:
			response := s.granter.Handle(s.granterClock.at(s.now), *m.request)
			s.send(message{response: &response})
		case !s.suspended:
			s.holder.HandleResponse(*m.response)
		}
	}
}

// change draws whether to replace the granter by one with another clock, to release the session, or to do neither.
func (s *simulation) change() {
	switch rapid.IntRange(0, 79).Draw(s.t, "change") {
	case 0:
		s.granterClock = s.drawClock("granter")
		var open []Session
		if s.granter.sessions[session] != nil {
			open = []Session{session}
		}
		next, _ := NewGranter(terms)
		next.Recover(s.granterClock.at(s.now), open, s.granter.HighestSession())
		s.granter = next
	case 1:
		request := s.holder.Release(s.holderClock.at(s.now))
		s.send(message{request: &request})
	}
}

// TestLeaseEndIsNeeded checks that the simulation detects a holder that does not observe the end of its lease, and so
// acts after its session has expired at the granter.
func TestLeaseEndIsNeeded(t *testing.T) {
	for seed := range 4000 {
		if rapid.Custom(func(t *rapid.T) string {
			return simulate(t, terms, func(h *Holder, now Time) bool { return !h.ended && now-h.lastTick < h.terms.MaxTickGap })
		}).Example(seed) != "" {
			return
		}
	}
	t.Error("no simulation violates the lease")
}

// TestDriftAllowanceIsNeeded uses the slowest holder and the fastest granter. The holder stops before the granter
// grants again if its terms allow for the drift, and acts too long if they do not.
func TestDriftAllowanceIsNeeded(t *testing.T) {
	holderClock, granterClock := driftingClock{rate: 1 - terms.Drift}, driftingClock{rate: 1 + terms.Drift}
	withoutDrift := terms
	withoutDrift.Drift = 0
	for _, test := range []struct {
		holderTerms Terms
		violates    bool
	}{{terms, false}, {withoutDrift, true}} {
		granter, _ := NewGranter(terms)
		if err := granter.Open(0, 7); err != nil {
			t.Fatal(err)
		}
		holder, err := NewHolder(test.holderTerms, 7, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		violated := false
		for real := time.Duration(0); real < 15*time.Second; real += 10 * time.Millisecond {
			holder.Tick(holderClock.at(real))
			valid, _ := holder.Valid(holderClock.at(real))
			violated = violated || valid && !granter.Active(granterClock.at(real+terms.Margin/2), 7)
		}
		if violated != test.violates {
			t.Errorf("with an allowed drift of %g the lease was violated: %v, want %v", test.holderTerms.Drift, violated, test.violates)
		}
	}
}
