package lease

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var terms = Terms{Duration: 10 * time.Second, Drift: 0.05, Margin: 200 * time.Millisecond, RenewInterval: 2 * time.Second, MaxTickGap: time.Second}

// side is a clock that runs at a rate of its own, from an offset of its own.
type side struct {
	rate   float64
	offset time.Duration
}

func (s side) at(real time.Duration) Time {
	return s.offset + time.Duration(float64(real)*s.rate)
}

// message is under way: it may come late, twice, in another order, or never.
type message struct {
	due    time.Duration
	ask    *Request
	answer *Response
}

// Whatever the network does, and however clocks run within the drift: while the
// holder may act, the granter keeps the session to it; a change of granters and a
// sleep of the holder change nothing of that.
func TestHolderStopsBeforeGranterGivesAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broke := play(t, terms, func(h *Holder, now Time) bool { may, _ := h.Valid(now); return may }); broke != "" {
			t.Fatal(broke)
		}
	})
}

// play draws one history and returns what broke in it.
func play(t *rapid.T, agreed Terms, may func(*Holder, Time) bool) (broke string) {
	drift := rapid.Float64Range(-terms.Drift, terms.Drift)
	there := side{1 + drift.Draw(t, "holder's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "holder's start"))}
	here := side{1 + drift.Draw(t, "granter's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "granter's start"))}
	g, err := NewGranter(terms)
	if err != nil {
		t.Fatalf("%v", err)
	}
	real := time.Duration(0)
	asked := there.at(real)
	real += time.Duration(rapid.IntRange(0, 3000).Draw(t, "way")) * time.Millisecond
	if err := g.Open(here.at(real), 7); err != nil {
		t.Fatalf("%v", err)
	}
	real += time.Duration(rapid.IntRange(0, 3000).Draw(t, "way")) * time.Millisecond
	h, err := NewHolder(agreed, 7, asked, there.at(real))
	if err != nil {
		t.Fatalf("%v", err)
	}
	var net []message
	send := func(m message) {
		for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "copies") {
			m.due = real + time.Duration(rapid.SampledFrom([]int{0, 5, 50, 900, 4000, 12000}).Draw(t, "delay"))*time.Millisecond
			net = append(net, m)
		}
	}
	asleep := false
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		real += time.Duration(rapid.SampledFrom([]int{10, 100, 300, 900}).Draw(t, "pass")) * time.Millisecond
		if rapid.IntRange(0, 19).Draw(t, "sleep") == 0 {
			asleep = !asleep
		}
		if !asleep {
			if a, due := h.Tick(there.at(real)); due {
				send(message{ask: &a})
			}
		}
		slices.SortStableFunc(net, func(a, b message) int { return int(a.due - b.due) })
		for len(net) > 0 && net[0].due <= real {
			m := net[0]
			net = net[1:]
			switch {
			case m.ask != nil:
				a := g.Handle(here.at(real), *m.ask)
				send(message{answer: &a})
			case !asleep:
				h.HandleResponse(*m.answer)
			}
		}
		switch rapid.IntRange(0, 79).Draw(t, "change") {
		case 0: // another granter, with a clock of its own
			here = side{1 + drift.Draw(t, "granter's drift"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "granter's start"))}
			open := slices.Collect(func(yield func(Session) bool) {
				if g.sessions[7] != nil {
					yield(7)
				}
			})
			next, _ := NewGranter(terms)
			next.Recover(here.at(real), open, g.Last())
			g = next
		case 1:
			a := h.Release(there.at(real))
			send(message{ask: &a})
		}
		g.Expire(here.at(real))
		// Acting takes up to the margin.
		end := real + terms.Margin/2
		if may(h, there.at(real)) && !g.Active(here.at(end), 7) {
			return "the holder may act, and the granter would give it to another"
		}
	}
	return ""
}

// Without an end that the holder keeps to by itself, a history is found in which it
// acts and the session is another's.
func TestEndIsNeeded(t *testing.T) {
	for seed := range 4000 {
		if rapid.Custom(func(t *rapid.T) string {
			return play(t, terms, func(h *Holder, now Time) bool { return !h.ended && now-h.lastTick < h.terms.MaxTickGap })
		}).Example(seed) != "" {
			return
		}
	}
	t.Error("no history breaks the lease")
}

// The slowest holder and the fastest granter: with the drift allowed for, the holder
// stops first, and without it it does not.
func TestDriftIsNeeded(t *testing.T) {
	there, here := side{rate: 1 - terms.Drift}, side{rate: 1 + terms.Drift}
	blind := terms
	blind.Drift = 0
	for _, c := range []struct {
		agreed Terms
		breaks bool
	}{{terms, false}, {blind, true}} {
		g, _ := NewGranter(terms)
		if err := g.Open(0, 7); err != nil {
			t.Fatal(err)
		}
		h, err := NewHolder(c.agreed, 7, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		broke := false
		for real := time.Duration(0); real < 15*time.Second; real += 10 * time.Millisecond {
			h.Tick(there.at(real))
			may, _ := h.Valid(there.at(real))
			broke = broke || may && !g.Active(here.at(real+terms.Margin/2), 7)
		}
		if broke != c.breaks {
			t.Errorf("a drift of %g allowed for: breaks %v, want %v", c.agreed.Drift, broke, c.breaks)
		}
	}
}

func holder(t *testing.T) *Holder {
	t.Helper()
	h, err := NewHolder(terms, 7, 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func TestHolderCountsFromBeforeItAsked(t *testing.T) {
	h := holder(t)
	if want := terms.holderDuration(); h.Until() != want || want >= terms.Duration {
		t.Errorf("until %v, want %v, less than %v", h.Until(), want, terms.Duration)
	}
	a, due := h.Tick(3 * time.Second)
	if !due {
		t.Fatal("no ask is due after the time between asks")
	}
	h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, a.Number, true})
	if want := 3*time.Second + terms.holderDuration(); h.Until() != want {
		t.Errorf("until %v, want %v, from when it asked", h.Until(), want)
	}
}

func TestOldRepeatedAndForeignAnswersDoNothing(t *testing.T) {
	h := holder(t)
	first, _ := h.Tick(2 * time.Second)
	second, _ := h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, second.Number, true})
	until := h.Until()
	for _, a := range []Response{{7, first.Number, true}, {7, second.Number, true}, {7, 99, true}, {8, second.Number, true}, {8, second.Number, false}} {
		h.HandleResponse(a)
		if h.Until() != until {
			t.Errorf("%+v moved the end from %v to %v", a, until, h.Until())
		}
	}
	if may, why := h.Valid(4 * time.Second); !may {
		t.Errorf("it may not act: %s", why)
	}
	h.HandleResponse(Response{Session: 7})
	if may, _ := h.Valid(4 * time.Second); may {
		t.Error("it acts after its session has ended")
	}
}

func TestSleepIsNoticedBeforeTheEffect(t *testing.T) {
	h := holder(t)
	if may, why := h.Valid(1500 * time.Millisecond); !may {
		t.Errorf("%s", why)
	}
	if may, why := h.Valid(3 * time.Second); may || why != "this process slept" {
		t.Errorf("may %v: %s", may, why)
	}
}

func TestEndedSessionStaysEnded(t *testing.T) {
	g, _ := NewGranter(terms)
	if err := g.Open(0, 7); err != nil {
		t.Fatal(err)
	}
	if !g.Handle(5*time.Second, Request{Session: 7, Number: 1}).Granted {
		t.Fatal("refused in time")
	}
	g.Handle(6*time.Second, Request{Session: 7, Number: 3, Release: true})
	if g.Handle(6*time.Second, Request{Session: 7, Number: 2}).Granted {
		t.Error("an ask that came after the release brought the session back")
	}
	if err := g.Open(7*time.Second, 7); err == nil {
		t.Error("a number was given twice")
	}
	g.Recover(7*time.Second, nil, 12)
	if err := g.Open(7*time.Second, 12); err == nil {
		t.Error("a number of the granter before was given again")
	}
	if err := g.Open(7*time.Second, 13); err != nil {
		t.Error(err)
	}
	if ended := g.Expire(17 * time.Second); len(ended) != 1 || ended[0] != 13 {
		t.Errorf("ended: %v", ended)
	}
}

func TestTermsCheck(t *testing.T) {
	for _, bad := range []func(*Terms){
		func(t *Terms) { t.Drift = -1 }, func(t *Terms) { t.Drift = math.NaN() }, func(t *Terms) { t.Duration = 0 }, func(t *Terms) { t.RenewInterval = 4 * time.Second },
		func(t *Terms) { t.Margin = 9 * time.Second }, func(t *Terms) { t.MaxTickGap = 0 },
	} {
		b := terms
		bad(&b)
		if _, err := NewGranter(b); err == nil {
			t.Errorf("taken: %+v", b)
		}
		if _, err := NewHolder(b, 1, 0, 0); err == nil {
			t.Errorf("taken: %+v", b)
		}
	}
}
