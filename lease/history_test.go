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

// play draws one history of a holder with the given terms, and returns the violation in it, if any. valid decides
// whether the holder acts.
func play(t *rapid.T, holderTerms Terms, valid func(*Holder, Time) bool) (violation string) {
	drift := rapid.Float64Range(-terms.Drift, terms.Drift)
	holderSide := side{1 + drift.Draw(t, "holder's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "holder's start"))}
	granterSide := side{1 + drift.Draw(t, "granter's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "granter's start"))}
	g, err := NewGranter(terms)
	if err != nil {
		t.Fatalf("%v", err)
	}
	real := time.Duration(0)
	requestedAt := holderSide.at(real)
	real += time.Duration(rapid.IntRange(0, 3000).Draw(t, "transit")) * time.Millisecond
	if err := g.Open(granterSide.at(real), 7); err != nil {
		t.Fatalf("%v", err)
	}
	real += time.Duration(rapid.IntRange(0, 3000).Draw(t, "transit")) * time.Millisecond
	h, err := NewHolder(holderTerms, 7, requestedAt, holderSide.at(real))
	if err != nil {
		t.Fatalf("%v", err)
	}
	var inTransit []message
	send := func(m message) {
		for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "copies") {
			m.due = real + time.Duration(rapid.SampledFrom([]int{0, 5, 50, 900, 4000, 12000}).Draw(t, "delay"))*time.Millisecond
			inTransit = append(inTransit, m)
		}
	}
	suspended := false
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		real += time.Duration(rapid.SampledFrom([]int{10, 100, 300, 900}).Draw(t, "pass")) * time.Millisecond
		if rapid.IntRange(0, 19).Draw(t, "suspension") == 0 {
			suspended = !suspended
		}
		if !suspended {
			if request, due := h.Tick(holderSide.at(real)); due {
				send(message{request: &request})
			}
		}
		slices.SortStableFunc(inTransit, func(a, b message) int { return int(a.due - b.due) })
		for len(inTransit) > 0 && inTransit[0].due <= real {
			m := inTransit[0]
			inTransit = inTransit[1:]
			switch {
			case m.request != nil:
				response := g.Handle(granterSide.at(real), *m.request)
				send(message{response: &response})
			case !suspended:
				h.HandleResponse(*m.response)
			}
		}
		switch rapid.IntRange(0, 79).Draw(t, "change") {
		case 0: // another granter, with a clock of its own
			granterSide = side{1 + drift.Draw(t, "granter's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "granter's start"))}
			open := slices.Collect(func(yield func(Session) bool) {
				if g.sessions[7] != nil {
					yield(7)
				}
			})
			next, _ := NewGranter(terms)
			next.Recover(granterSide.at(real), open, g.Last())
			g = next
		case 1:
			request := h.Release(holderSide.at(real))
			send(message{request: &request})
		}
		g.Expire(granterSide.at(real))
		// Acting takes up to the margin.
		end := real + terms.Margin/2
		if valid(h, holderSide.at(real)) && !g.Active(granterSide.at(end), 7) {
			return "the holder may act, and the granter would grant its session's resource to another"
		}
	}
	return ""
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
