package rules

import "testing"

// A detached backend gets nothing until it is attached, whatever the list contains meanwhile, and then counts as cold
// although the list has reported no new start.
func TestDetachedBackendGetsNothingUntilAttach(t *testing.T) {
	set := testSettings()
	set.HasCounter = false
	set.Plans[1].Rate = 0
	gw := newTestGateway(t, set, readyBackend(1), readyBackend(2))
	gw.handle(Detach{Backend: 1})
	gw.handle(Detach{Backend: 1}) // repeated; one Attach ends it
	gw.handle(Detach{Backend: 3}) // not listed yet
	sends := func(n int) (to map[BackendID]int) {
		to = map[BackendID]int{}
		for range n {
			gw.now += 0.02
			id := gw.sendRequest(0, 1, 9)
			for _, s := range actionsOf[Send](gw.last) {
				to[s.Backend]++
				gw.handle(AttemptEnd{Request: id, Backend: s.Backend, Outcome: Served, RequestDone: true})
			}
		}
		return to
	}
	for _, list := range []Backends{{Kind: DeltaList}, {Kind: DeltaList, Entries: []Backend{{ID: 1, State: Removed}}},
		{Kind: DeltaList, Entries: []Backend{{ID: 1, State: Ready, StartedAt: gw.now + 1}}},
		{Kind: FullList, Entries: []Backend{readyBackend(1), readyBackend(2), readyBackend(3)}}} {
		gw.handle(list)
		if to := sends(50); to[1] != 0 || to[3] != 0 || to[2] != 50 {
			t.Fatalf("after %+v: sent %v", list, to)
		}
	}
	gw.now += 60 // the start that the list reported is long past
	sends(200)
	gw.handle(Attach{Backend: 1})
	to := sends(50) // one second
	if to[1] == 0 || to[1] > 15 {
		t.Errorf("just attached: sent %v", to)
	}
	if to[3] != 0 {
		t.Errorf("the other Detach has ended too: sent %v", to)
	}
	gw.now += set.WarmUpTime
	sends(100)
	if to := sends(100); to[1] < 30 {
		t.Errorf("warm again: sent %v", to)
	}
	gw.handle(Attach{Backend: 2}) // never detached: it stays warm
	if to := sends(100); to[2] < 30 {
		t.Errorf("Attach of a backend that was not detached made it cold: sent %v", to)
	}
}
