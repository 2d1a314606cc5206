// Command case3 plays case 3 of the review: a backend falls silent while a long body is on its way to it.
package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"elderyard/review/rig"
)

const (
	backends  = 8 // one of them is 12.5%; the pages let up to 17% fall silent
	timeLeft  = 2500 * time.Millisecond
	silentFor = 12 * time.Second // the pages name 11 to 26 s
)

// bodies are the sizes of the bodies, in bytes; the pages allow 32 MB. Each is played at a site of its own, all side by
// side. How much of a body the sockets hold differs between machines: a shorter one has come to the backend's socket as
// a whole, and of a longer one the client never writes the last byte, so that the gateway has not taken it.
var bodies = []int{2 << 20, 4 << 20, 5 << 20, 6 << 20, 8 << 20}

func main() { rig.Main(run) }

func run(r *rig.Rig) (broken bool, err error) {
	results := make([]rig.Result, len(bodies))
	errs := make([]error, len(bodies))
	var sites sync.WaitGroup
	for n, size := range bodies {
		sites.Go(func() { results[n], errs[n] = playSite(r, fmt.Sprintf("n%d", n), size) })
	}
	sites.Wait()
	taken := 0
	for n, result := range results {
		switch {
		case errs[n] != nil:
			return false, errs[n]
		case !result.Written:
			r.Log("%s: its last byte was never written, so the gateway has not taken it", result.ID)
			continue
		}
		taken++
		lost := !result.Whole || result.AnsweredAt > result.Due()
		r.Log("%s: last byte written after %.3f s, an answer was due by %.3f s, and came after %.3f s: status %d, whole: %t, lost: %t", result.ID,
			result.WrittenAt.Seconds(), result.Due().Seconds(), result.AnsweredAt.Seconds(), result.Status, result.Whole, lost)
		broken = broken || lost
	}
	if taken == 0 {
		return false, errors.New("no request was written to its end")
	}
	return broken, nil
}

// playSite sends one request with a long body to a site of one gateway. Its backend falls silent when the head has come.
func playSite(r *rig.Rig, name string, size int) (rig.Result, error) {
	var list []*rig.Backend
	hit := make(chan *rig.Backend, 1)
	for n := range backends {
		b := r.NewBackend(fmt.Sprintf("%s-s-%d", name, n), n/2)
		b.Answer = rig.AnswerShort
		b.Began = func(string) {
			if rig.Trouble() {
				b.FallSilent()
				hit <- b
			}
		}
		list = append(list, b)
	}
	discovery, counter, err := r.StartSite(list)
	if err != nil {
		return rig.Result{}, err
	}
	g, err := r.StartGateway(rig.GatewayOptions{Name: name, Discovery: discovery.Address, Counter: counter.Address, Settings: rig.Settings(2, 0, rig.Classes)})
	if err != nil {
		return rig.Result{}, err
	}
	go func() {
		b := <-hit
		time.Sleep(silentFor)
		b.ComeBack()
	}()
	return r.Ask(g.Address, rig.Request{ID: fmt.Sprintf("booking-%d", size), Class: "booking", TimeLeft: timeLeft, Body: size,
		Patience: silentFor + 5*time.Second}), nil
}
