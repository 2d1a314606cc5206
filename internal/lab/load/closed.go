package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/wait"
)

// Tally is the result of a closed-loop run.
type Tally struct {
	Served, Other int
	Took          time.Duration
	Times         []time.Duration // latency from send to answer of the served requests
}

// maxLatencies bounds the latencies kept over all clients.
const maxLatencies = 1 << 20

// Closed runs a closed loop for the given length: each client sends its next request to the gateway as soon as the
// previous one is answered. With a rate above 0 the clients together send that many requests a second at even
// intervals, and skip the send times that they have missed. Nothing is reported to the sink.
func (c *Clients) Closed(ctx context.Context, gateway int, customers []*Customer, clients int, length time.Duration, rate float64) (Tally, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var t Tally
	start := time.Now()
	end := start.Add(length)
	gap := time.Duration(0)
	if rate > 0 {
		gap = time.Duration(float64(clients) / rate * float64(time.Second))
	}
	for i := range clients {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(c.Seed^uint64(start.UnixNano()), uint64(i)))
			due := start.Add(time.Duration(float64(gap) * float64(i) / float64(clients)))
			var served, other int
			var times []time.Duration
			for n := 0; ctx.Err() == nil; n++ {
				if gap > 0 {
					if !wait.Until(ctx, due) {
						break
					}
					for due = due.Add(gap); time.Now().After(due); {
						due = due.Add(gap)
					}
				}
				if !time.Now().Before(end) {
					break
				}
				k := customers[r.IntN(len(customers))]
				a := &Arrival{N: n, Customer: k, Class: r.IntN(len(c.Classes))}
				class := &c.Classes[a.Class]
				try := audit.Try{ID: randomID(r), Customer: k.ID, Plan: k.Plan, Class: a.Class, Units: c.Units, Left: class.Deadline}
				if class.Keyed {
					try.Key = randomID(r)
				}
				c.attemptOnce(ctx, gateway, a, &try, false)
				if try.Outcome != audit.Served {
					other++
					continue
				}
				served++
				if len(times) < maxLatencies/clients {
					times = append(times, try.Over.Sub(try.Sent))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			t.Served += served
			t.Other += other
			t.Times = append(t.Times, times...)
		})
	}
	wg.Wait()
	t.Took = time.Since(start)
	if ctx.Err() != nil {
		return t, errors.Join(ctx.Err(), context.Cause(ctx))
	}
	return t, nil
}
