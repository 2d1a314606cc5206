package gateway

import (
	"context"
	"fmt"
	"log"
	"net"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/owner"
	"elderyard/internal/respfront"
)

const (
	rebindInterval    = 100 * time.Millisecond // between attempts to bind an address that the old process still holds
	finalReplyTimeout = 100 * time.Millisecond // for the last replies, which ends before exitMargin begins
)

// openLimitServer opens the front end for limit commands with at most maxClients clients, and returns the function
// that serves it. During an upgrade the old process holds the address until it ends; binding is retried until then.
func openLimitServer(c *config.Config, maxClients int, owner *owner.EventLoop) (serve func(context.Context), err error) {
	settings := c.Site.RESP
	if maxClients < settings.Most {
		log.Printf("resp.most_clients: %d descriptors allow %d clients, not %d", c.Sockets, maxClients, settings.Most)
		settings.Most = maxClients
	}
	stop := respfront.StopTimeouts{Wait: minKillDelay(c) - finalResponseMargin, Reply: finalReplyTimeout}
	front, err := respfront.FromSite(settings, owner, c.Settings, c.PlanNames, stop)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil && !c.InheritedListener {
		return nil, fmt.Errorf("limit commands: %w", err)
	}
	return func(ctx context.Context) {
		if listener == nil {
			listener = listenAgain(ctx, settings.Listen)
		}
		if listener != nil {
			front.Serve(ctx, listener)
		}
	}, nil
}

// listenAgain retries to listen on an address until it succeeds. It returns nil if ctx ends first.
func listenAgain(ctx context.Context, address string) net.Listener {
	retry := time.NewTicker(rebindInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.C:
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			return listener
		}
	}
}
