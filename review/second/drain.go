package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// playDrainRestart restarts a gateway while discovery is down, after a backend began to drain in between.
func playDrainRestart(r *rig) error {
	const (
		grace    = 2 * time.Second
		slack    = 200 * time.Millisecond // 50 ms on sockets, and 0.15 s that a gateway may be held up
		downFor  = 8 * time.Second
		drained  = 2
		accounts = 20
	)
	b, list, err := r.serveBackends(8, work)
	if err != nil {
		return err
	}
	discovery, err := r.serveDiscovery(list)
	if err != nil {
		return err
	}
	_, counter, err := r.serveCounter(nil)
	if err != nil {
		return err
	}
	council := plan{"name": "council", "unitsPerS": 5.0, "depth": 10.0, "pays": 1.1, "beyondCosts": 1.0}
	start := func(address string, known []instance) (*process, error) {
		return r.startGatewayAt(address, "g0", discovery.address, counter, "", settings(0, 1, council), known)
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	gateway, err := start(address, nil)
	if err != nil {
		return err
	}
	play := func(seconds time.Duration, prefix int) {
		ctx, cancel := context.WithTimeout(context.Background(), seconds)
		defer cancel()
		var all []account
		for n := range accounts {
			all = append(all, account{key: accountKey(prefix + n), plan: "council", rate: 3})
		}
		c := r.newClients(b, []*process{gateway})
		c.play(ctx, all)
		r.say("answers by status: %v", c.answers)
	}
	play(3*time.Second, 0)
	gateway.terminate()
	select {
	case <-gateway.ended:
	case <-time.After(endWithin):
		return errors.New("the gateway does not end")
	}
	r.say("g0 has ended")

	discovery.drain(drained)
	b.mu.Lock()
	b.draining = list[drained].ID
	b.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	var back sync.WaitGroup
	if r.trouble {
		discovery.setDown(true)
		back.Go(func() { time.Sleep(downFor); discovery.setDown(false) })
	}
	told := time.Now() // the first moment of the new process
	if gateway, err = start(address, list); err != nil {
		return err
	}
	play(downFor-time.Since(told), accounts)
	back.Wait()
	play(3*time.Second, 2*accounts)

	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	for _, a := range b.arrivals {
		if a.backend == list[drained].ID && a.at.Sub(told) > grace+slack {
			late++
		}
	}
	r.say("rule: nothing new to %s later than %v after the new process began; %s", list[drained].ID, grace+slack, fmt.Sprintf("%d requests came later", late))
	if late > 0 {
		return errBroken
	}
	return nil
}
