// Command case1 plays case 1 of the review: clients write long bodies at 66 kB a second.
package main

import (
	"fmt"
	"sync"
	"time"

	"elderyard/review/rig"
)

const (
	backends = 8
	timeLeft = 2500 * time.Millisecond // of the 3 s that the class allows
	slowRate = 66_000                  // bytes a second; the pages allow a client to write 64 kB a second
)

// sizes are the bodies of the clients, in bytes. At slowRate they take 6, 20 and 27 s.
var sizes = []int{400_000, 1_300_000, 1_800_000}

func main() { rig.Main(run) }

func run(r *rig.Rig) (broken bool, err error) {
	var list []*rig.Backend
	for n := range backends {
		b := r.NewBackend(fmt.Sprintf("s-%d", n), n/2)
		b.Answer = rig.AnswerShort
		list = append(list, b)
	}
	discovery, counter, err := r.StartSite(list)
	if err != nil {
		return false, err
	}
	g, err := r.StartGateway(rig.GatewayOptions{Name: "n0", Discovery: discovery.Address, Counter: counter.Address, Settings: rig.Settings(2, 0, rig.Classes)})
	if err != nil {
		return false, err
	}
	rate := 0
	if rig.Trouble() {
		rate = slowRate
	}
	results := make([]rig.Result, len(sizes))
	var clients sync.WaitGroup
	for n, size := range sizes {
		clients.Go(func() {
			results[n] = r.Ask(g.Address, rig.Request{ID: fmt.Sprintf("booking-%d", n), Class: "booking", TimeLeft: timeLeft, Body: size, Rate: rate,
				Patience: timeLeft + 3*time.Second})
		})
	}
	clients.Wait()
	ran := map[string]int{}
	for _, b := range list {
		for _, a := range b.Attempts() {
			ran[a.ID]++
		}
	}
	for _, result := range results {
		if !result.Written && result.Status == 0 {
			continue // its last byte was never written, so the gateway has not taken it
		}
		lost := !result.Whole || result.AnsweredAt > result.Due()
		if result.Whole && result.Status == 200 && string(result.Body) != rig.ShortBody(result.ID) {
			lost = true
		}
		r.Log("%s: last byte after %.3f s, came whole to a backend %d times, status %d, lost: %t", result.ID, result.WrittenAt.Seconds(), ran[result.ID],
			result.Status, lost)
		broken = broken || lost
	}
	return broken, nil
}
