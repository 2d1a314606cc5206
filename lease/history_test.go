package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// side is a clock that runs at a rate of its own, from an offset of its own.
type side struct {
	rate   float64
	offset time.Duration
}

func (s side) at(real time.Duration) Time {
	return s.offset + time.Duration(float64(real)*s.rate)
}

// message is in transit: it may arrive late, twice, out of order, or never.
type message struct {
	due      time.Duration
	request  *Request
	response *Response
}

// TestHolderStopsBeforeGranterGrantsAgain: whatever the network does, and however clocks run within the drift, the
// session is active at the granter while the holder may act; neither a change of granters nor a suspension of the
// holder changes that.
func TestHolderStopsBeforeGranterGrantsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := play(t, terms, func(h *Holder, now Time) bool { valid, _ := h.Valid(now); return valid }); violation != "" {
			t.Fatal(violation)
		}
	})
}

// history is one drawn history of a holder and its granter.
type history struct {
	t                       *rapid.T
	now                     time.Duration
	holderSide, granterSide side
	holder                  *Holder
	granter                 *Granter
	inTransit               []message
	suspended               bool // the holder
}

const session Session = 7

// play draws one history of a holder with the given terms, and returns the violation in it, if any. valid decides
// whether the holder acts.
func play(t *rapid.T, holderTerms Terms, valid func(*Holder, Time) bool) (violation string) {
	h := &history{t: t}
	h.holderSide, h.granterSide = h.drawSide("holder"), h.drawSide("granter")
	h.open(holderTerms)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		h.now += time.Duration(rapid.SampledFrom([]int{10, 100, 300, 900}).Draw(t, "pass")) * time.Millisecond
		if rapid.IntRange(0, 19).Draw(t, "suspension") == 0 {
			h.suspended = !h.suspended
		}
		if !h.suspended {
			if request, due := h.holder.Tick(h.holderSide.at(h.now)); due {
				h.send(message{request: &request})
			}
		}
		h.deliver()
		h.change()
		h.granter.Expire(h.granterSide.at(h.now))
		// Acting takes up to the margin.
		end := h.now + terms.Margin/2
		if valid(h.holder, h.holderSide.at(h.now)) && !h.granter.Active(h.granterSide.at(end), session) {
			return "the holder may act, and the granter would grant its session's resource to another"
		}
	}
	return ""
}

func (h *history) drawSide(name string) side {
	drift := rapid.Float64Range(-terms.Drift, terms.Drift).Draw(h.t, name+"'s drift")
	return side{1 + drift, time.Duration(rapid.IntRange(0, 1e9).Draw(h.t, name+"'s start"))}
}

// open opens the session, by messages that take up to 3 s each.
func (h *history) open(holderTerms Terms) {
	var err error
	if h.granter, err = NewGranter(terms); err != nil {
		h.t.Fatalf("%v", err)
	}
	requestedAt := h.holderSide.at(h.now)
	h.now += time.Duration(rapid.IntRange(0, 3000).Draw(h.t, "transit")) * time.Millisecond
	if err := h.granter.Open(h.granterSide.at(h.now), session); err != nil {
		h.t.Fatalf("%v", err)
	}
	h.now += time.Duration(rapid.IntRange(0, 3000).Draw(h.t, "transit")) * time.Millisecond
	if h.holder, err = NewHolder(holderTerms, session, requestedAt, h.holderSide.at(h.now)); err != nil {
		h.t.Fatalf("%v", err)
	}
}

// send puts a message in transit, or loses or duplicates it.
func (h *history) send(m message) {
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(h.t, "copies") {
		m.due = h.now + time.Duration(rapid.SampledFrom([]int{0, 5, 50, 900, 4000, 12000}).Draw(h.t, "delay"))*time.Millisecond
		h.inTransit = append(h.inTransit, m)
	}
}

// deliver delivers the messages that are due. A response to a holder that is suspended is lost.
func (h *history) deliver() {
	slices.SortStableFunc(h.inTransit, func(a, b message) int { return int(a.due - b.due) })
	for len(h.inTransit) > 0 && h.inTransit[0].due <= h.now {
		m := h.inTransit[0]
		h.inTransit = h.inTransit[1:]
		switch {
		case m.request != nil:
			response := h.granter.Handle(h.granterSide.at(h.now), *m.request)
			h.send(message{response: &response})
		case !h.suspended:
			h.holder.HandleResponse(*m.response)
		}
	}
}

// change replaces the granter by one with a clock of its own, or releases the session, or does neither.
func (h *history) change() {
	switch rapid.IntRange(0, 79).Draw(h.t, "change") {
	case 0:
		h.granterSide = h.drawSide("granter")
		var open []Session
		if h.granter.sessions[session] != nil {
			open = []Session{session}
		}
		next, _ := NewGranter(terms)
		next.Recover(h.granterSide.at(h.now), open, h.granter.HighestSession())
		h.granter = next
	case 1:
		request := h.holder.Release(h.holderSide.at(h.now))
		h.send(message{request: &request})
	}
}

// TestLeaseEndIsNeeded: where the holder does not observe the end of its lease, a history is found in which it acts after
// its session expired at the granter.
func TestLeaseEndIsNeeded(t *testing.T) {
	for seed := range 4000 {
		if rapid.Custom(func(t *rapid.T) string {
			return play(t, terms, func(h *Holder, now Time) bool { return !h.ended && now-h.lastTick < h.terms.MaxTickGap })
		}).Example(seed) != "" {
			return
		}
	}
	t.Error("no history breaks the lease")
}

// TestDriftAllowanceIsNeeded: of the slowest holder and the fastest granter the holder stops first if its terms allow
// for the drift, and does not otherwise.
func TestDriftAllowanceIsNeeded(t *testing.T) {
	holderSide, granterSide := side{rate: 1 - terms.Drift}, side{rate: 1 + terms.Drift}
	withoutDrift := terms
	withoutDrift.Drift = 0
	for _, test := range []struct {
		holderTerms Terms
		violates    bool
	}{{terms, false}, {withoutDrift, true}} {
		g, _ := NewGranter(terms)
		if err := g.Open(0, 7); err != nil {
			t.Fatal(err)
		}
		h, err := NewHolder(test.holderTerms, 7, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		violated := false
		for real := time.Duration(0); real < 15*time.Second; real += 10 * time.Millisecond {
			h.Tick(holderSide.at(real))
			valid, _ := h.Valid(holderSide.at(real))
			violated = violated || valid && !g.Active(granterSide.at(real+terms.Margin/2), 7)
		}
		if violated != test.violates {
			t.Errorf("with a drift of %g allowed for, violated: %v, want %v", test.holderTerms.Drift, violated, test.violates)
		}
	}
}
