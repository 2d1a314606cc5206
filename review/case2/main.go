// Command case2 plays case 2 of the review: clients send bookings with long bodies whose length is not told ahead.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"elderyard/review/rig"
)

const (
	backends  = 8
	memoryMB  = 48  // the pages name 32 to 192 MB
	sockets   = 512 // and 256 to 1,024 descriptors
	perSecond = 140 // requests, as many as the pages name for a gateway; half of them are bookings
	customers = 28
	playFor   = 105 * time.Second
	timeLeft  = 1800 * time.Millisecond
	bodyBytes = 66_000 // just over 64 KiB
)

// headers are those of a usual client, beside the ones that the protocol names.
var headers = "User-Agent: residents-app/4.2 (phone)\r\nAccept: application/json\r\nAccept-Language: fr-MU,fr;q=0.9,en;q=0.8\r\nCookie: session=" +
	strings.Repeat("0123456789abcdef", 64) + "\r\n"

func main() { rig.Main(run) }

func run(r *rig.Rig) (broken bool, err error) {
	var list []*rig.Backend
	for n := range backends {
		b := r.NewBackend(fmt.Sprintf("s-%d", n), n/2)
		b.Answer = rig.AnswerShort
		list = append(list, b)
	}
	r.Quiet = true
	discovery, counter, err := r.StartSite(list)
	if err != nil {
		return false, err
	}
	g, err := r.StartGateway(rig.GatewayOptions{Name: "n0", Discovery: discovery.Address, Counter: counter.Address,
		Settings: rig.Settings(2, 0, rig.Classes), MemoryMB: memoryMB, Sockets: sockets})
	if err != nil {
		return false, err
	}
	var sent, served, killed atomic.Int64
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { // the platform: over its memory limit the gateway is killed
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-g.Ended:
				return
			case <-tick.C:
			}
			resident := g.Resident()
			if n%50 == 0 {
				r.Log("resident memory %.1f MB, %d requests sent, %d served", float64(resident)/(1<<20), sent.Load(), served.Load())
			}
			if resident > memoryMB<<20 {
				r.Log("resident memory %.1f MB: over the limit of %d MB", float64(resident)/(1<<20), memoryMB)
				killed.Store(1)
				g.Signal(syscall.SIGKILL)
				return
			}
		}
	})
	var clients sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < playFor && killed.Load() == 0; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / perSecond)))
		request := rig.Request{ID: fmt.Sprintf("r-%d", n), Class: "lookup", Account: n / 2 % customers, TimeLeft: timeLeft, Headers: headers,
			Patience: 3 * time.Second}
		if n%2 == 1 {
			request.Class, request.Body, request.Chunked = "booking", bodyBytes, rig.Trouble()
		}
		clients.Go(func() {
			sent.Add(1)
			if result := r.Ask(g.Address, request); result.Whole && result.Status == 200 {
				served.Add(1)
			}
		})
	}
	close(stop)
	watch.Wait()
	clients.Wait()
	select {
	case <-g.Ended:
		broken = true
	default:
	}
	r.Log("%d requests sent, %d served; the gateway has crashed: %t", sent.Load(), served.Load(), broken)
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return broken, nil
}
