// Command case3 plays case 3 of the review: a backend is started anew, and the list tells that some seconds late,
// while the new process gives long answers.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"elderyard/review/rig"
)

const (
	backends    = 8
	timeLeft    = 1800 * time.Millisecond
	interval    = 20 * time.Millisecond // between requests; of a customer, 0.4 s
	customers   = 20
	crashAfter  = 5 * time.Second
	downFor     = time.Second
	listLateBy  = 5 * time.Second // the list is seconds late
	listedFor   = 3 * time.Second // of requests after the list has told the start
	answerBytes = 256 << 10
	chunkBytes  = 8 << 10
	minWork     = 110 * time.Millisecond // before the first byte of an answer
	maxWork     = 130 * time.Millisecond
	chunkEvery  = 100 * time.Millisecond // so an answer takes 3.2 s
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (broken bool, err error) {
	var mu sync.Mutex
	ends := map[string]error{} // of the answers, by request
	var list []*rig.Backend
	for n := range backends {
		b := r.NewBackend(fmt.Sprintf("s-%d", n), n/2)
		b.Answer = func(conn net.Conn, a rig.Attempt) bool {
			err := giveLongAnswer(conn)
			if err != nil {
				r.Log("backend %s: %s: its answer broke: %v", a.Backend, a.ID, err)
			}
			mu.Lock()
			defer mu.Unlock()
			ends[a.ID] = err
			return err == nil
		}
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
	restarted := list[0]
	failed := make(chan error, 1)
	if rig.Trouble() {
		go func() {
			time.Sleep(crashAfter)
			restarted.Crash()
			time.Sleep(downFor)
			instance := restarted.Instance
			instance.StartedAtMs = time.Now().UnixMilli()
			if err := restarted.Restart(); err != nil {
				failed <- err
				return
			}
			time.Sleep(listLateBy)
			discovery.Set(instance)
		}()
	}
	var results []rig.Result
	var clients sync.WaitGroup
	total := crashAfter + downFor + listLateBy + listedFor
	for n := range int(total / interval) {
		clients.Go(func() {
			result := r.Ask(g.Address, rig.Request{ID: fmt.Sprintf("lookup-%d", n), Class: "lookup", Account: n % customers, TimeLeft: timeLeft, Patience: 30 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	select {
	case err := <-failed:
		return false, err
	default:
	}
	cutByCrash := map[string]bool{} // requests that the crash itself may have cut off
	for _, a := range restarted.Attempts() {
		if a.Life == 0 && rig.Trouble() {
			cutByCrash[a.ID] = true
		}
	}
	whole, refused := 0, 0
	for _, result := range results {
		switch {
		case result.Whole && result.Status == 200 && len(result.Body) == answerBytes:
			whole++
		case result.Whole && result.Status != 200:
			refused++
		case result.Status == 200 && !cutByCrash[result.ID]:
			r.Log("%s: the client got %d of %d bytes, while its backend was still giving: lost (the backend's writes ended with: %v)", result.ID,
				len(result.Body), answerBytes, ends[result.ID])
			broken = true
		}
	}
	r.Log("%d requests, %d served whole, %d refused or failed", len(results), whole, refused)
	if whole == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return broken, nil
}

// giveLongAnswer writes an answer in pieces.
func giveLongAnswer(conn net.Conn) error {
	time.Sleep(minWork + rand.N(maxWork-minWork))
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes); err != nil {
		return err
	}
	chunk := make([]byte, chunkBytes)
	for n := 0; n < answerBytes; n += chunkBytes {
		if _, err := conn.Write(chunk); err != nil {
			return err
		}
		time.Sleep(chunkEvery)
	}
	return nil
}
