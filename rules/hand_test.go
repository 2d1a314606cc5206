package rules

import "testing"

// A backend taken out by hand gets nothing until it is put back, whatever the list says
// of it meanwhile, and then counts as cold although the list has not told of a new start.
func TestDetachedBackendGetsNothingUntilAttach(t *testing.T) {
	set := testSettings()
	set.HasCounter = false
	set.Plans[1].Rate = 0
	d := start(t, set, ready(1), ready(2))
	d.handle(Detach{Backend: 1})
	d.handle(Detach{Backend: 1}) // told twice, ended once
	d.handle(Detach{Backend: 3}) // not listed yet
	sends := func(n int) (to map[BackendID]int) {
		to = map[BackendID]int{}
		for range n {
			d.now += 0.02
			id := d.ask(0, 1, 9)
			for _, s := range find[Send](d.last) {
				to[s.Backend]++
				d.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: Served, RequestDone: true})
			}
		}
		return to
	}
	for _, list := range []Backends{{Kind: DeltaList}, {Kind: DeltaList, Entries: []Backend{{ID: 1, State: Removed}}},
		{Kind: DeltaList, Entries: []Backend{{ID: 1, State: Ready, StartedAt: d.now + 1}}},
		{Kind: FullList, Entries: []Backend{ready(1), ready(2), ready(3)}}} {
		d.handle(list)
		if to := sends(50); to[1] != 0 || to[3] != 0 || to[2] != 50 {
			t.Fatalf("after %+v: sent %v", list, to)
		}
	}
	d.now += 60 // whatever start the list told of is long past
	sends(200)
	d.handle(Attach{Backend: 1})
	to := sends(50) // a second's worth
	if to[1] == 0 || to[1] > 15 {
		t.Errorf("just put back: sent %v", to)
	}
	if to[3] != 0 {
		t.Errorf("the other call out has ended too: %v", to)
	}
	d.now += set.WarmUpTime
	sends(100)
	if to := sends(100); to[1] < 30 {
		t.Errorf("warm again: sent %v", to)
	}
	d.handle(Attach{Backend: 2}) // never out: it stays warm
	if to := sends(100); to[2] < 30 {
		t.Errorf("a call for one that is not out made it cold: %v", to)
	}
}
