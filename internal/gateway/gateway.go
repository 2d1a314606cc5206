package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"linnetbend/rules"
)

const (
	reserved    = 64                     // descriptors for the counter, discovery and the runtime
	clientShare = 0.55                   // of the other descriptors, for clients; backends get the rest
	softShare   = 0.8                    // of the clients' part; above it connections close after an answer
	knownAfter  = 3 * time.Second        // without discovery, the list known from before has to do
	stayFor     = 600 * time.Millisecond // new connections still come so long after a stop was asked for
	stopMargin  = 500 * time.Millisecond // for the last answers after the longest deadline
)

// Run serves clients until ctx ends, then answers what it holds and returns.
func Run(ctx context.Context, c *Config) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return serve(ctx, c, listener)
}

func serve(ctx context.Context, c *Config, listener net.Listener) error {
	clients := int(float64(c.Sockets-reserved) * clientShare)
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepAlive), c.Sockets-reserved-clients)
	var calls *counter
	if c.Settings.Counter {
		calls = newCounter(c.Counter, seconds(c.CounterTimeout))
	}
	front := &frontend{deploy: &c.Deployment, fresh: map[net.Conn]struct{}{}, mostConns: int(softShare * float64(clients))}
	front.loop = newLoop(c, pools, calls, func() { front.ready.Store(true) })

	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer front.loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer wg.Wait()
	defer stop()
	front.loop.list(c.Known, rules.CachedList)
	wg.Go(func() { front.loop.run(inner) })
	wg.Go(func() { pools.sweep(inner) })
	if calls != nil {
		wg.Go(func() { calls.run(inner) })
	}
	watch := newWatcher(c.Discovery, func(l Listing) {
		kind := rules.Delta
		if l.Reset {
			kind = rules.FullList
		}
		front.loop.post(news{l, kind})
	})
	wg.Go(func() { watch.run(inner) })
	known := time.AfterFunc(knownAfter, func() {
		if len(c.Known.Instances) > 0 {
			front.ready.Store(true)
		}
	})
	defer known.Stop()

	server := front.server(longest(c))
	limited := netutil.LimitListener(listener, clients)
	failed := make(chan error, 1)
	wg.Go(func() { failed <- server.Serve(limited) })
	select {
	case err := <-failed:
		return fmt.Errorf("clients: %w", err)
	case <-ctx.Done():
	}
	return shutdown(c, front, server)
}

// shutdown takes what still comes for a while, answers what is held, and ends.
// Danger: a request may cross the closing of its idle connection; its client
// then sends it again on a new one. So idle connections go at once, while new
// ones are still taken, and the listener goes later.
func shutdown(c *Config, front *frontend, server *http.Server) error {
	front.leaving.Store(true)
	server.SetKeepAlivesEnabled(false)
	time.Sleep(stayFor)
	ctx, cancel := context.WithTimeout(context.Background(), longest(c)+stopMargin-stayFor)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
		return fmt.Errorf("clients that were still open at the end: %w", err)
	}
	return nil
}

// longest is how long a request may be held.
func longest(c *Config) time.Duration {
	most := 0.0
	for _, class := range c.Classes {
		most = max(most, class.Deadline)
	}
	return seconds(most + c.AnswerSlack)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
