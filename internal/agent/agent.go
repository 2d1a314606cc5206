package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"elderyard/fleet"
	"elderyard/internal/recordsync"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/revisions"
)

// Options are what an agent is started with beside its file.
type Options struct {
	Recover  bool // become the only voter
	TakeDown bool // end the gateways when the agent is asked to end
	Log      *slog.Logger
	// Started, where it is set, is told the port's address.
	Started func(address string)
}

// Agent is one agent.
type Agent struct {
	config    Config
	log       *slog.Logger
	processes map[string]*process
	self      fleet.Agent
	store     *replica.Store // nil: no voter
	lead      *lead          // nil: no voter
	port      *port          // nil: the local socket alone
	peers     *http.Client
	own       *handover            // connections of this agent to itself
	pulls     http.Handler         // answers followers of the records; nil: records are off
	records   *recordsync.Follower // this agent's copy; nil: records are off
	refusals  *refusals
	checks    chan struct{} // bounds what is parsed at once

	epoch uint64 // of the roster that is kept for the gateways, 0: none is; of the goroutine that reports

	mu      sync.Mutex
	leader  string                        // its address, as last heard
	cutOff  string                        // why this agent has no leader; "": it has
	refused map[string]refusedRevision    // by instance
	kept    map[uint64]revisions.Revision // contents that instances here are told
}

type refusedRevision struct {
	revision uint64
	why      string
}

const (
	reportLimit   = 10 * time.Second // over all voters
	voterLimit    = 2 * time.Second  // of one
	mostKept      = 8                // contents
	checksAtOnce  = 2
	takeDownLimit = time.Minute
	lastFile      = "revision.json"
)

// Run runs an agent until ctx ends. Its gateways stay, unless Options say
// otherwise.
func Run(ctx context.Context, c Config, o Options) (err error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return fmt.Errorf("agent's folder: %w", err)
	}
	unlock, err := lockFolder(c.Dir)
	if err != nil {
		return err
	}
	defer unlock()
	if info, err := os.Stat(c.Gateway); len(c.Instances) > 0 && (err != nil || info.IsDir()) {
		return fmt.Errorf("gateway's program: %s is not there", c.Gateway)
	}
	a := &Agent{config: c, log: o.Log, processes: map[string]*process{}, refused: map[string]refusedRevision{}, kept: map[uint64]revisions.Revision{},
		checks: make(chan struct{}, checksAtOnce)}
	if a.refusals, err = openRefusals(filepath.Join(c.Dir, "refused.log")); err != nil {
		return err
	}
	defer a.refusals.close()
	a.loadKept()
	if c.Listen != "" {
		if a.port, err = openPort(&c, a.refusals.add); err != nil {
			return err
		}
		defer a.port.close()
		if o.Started != nil {
			o.Started(a.port.listener.Addr().String())
		}
		if _, port, _ := net.SplitHostPort(c.Advertise); port == "0" {
			c.Advertise = a.port.listener.Addr().String()
			a.port.raft.addr = advertised(c.Advertise)
		}
	}
	a.self = fleet.Agent{Name: c.Name, Address: c.Advertise, Instances: []string{}}
	for _, e := range c.Instances {
		a.self.Instances = append(a.self.Instances, e.Name)
		if a.processes[e.Name], err = newProcess(&a.config, e, o.Log); err != nil {
			return err
		}
	}
	a.peers = &http.Client{Transport: a.transport()}
	defer a.peers.CloseIdleConnections()

	inner, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if c.Voter {
		if a.store, err = a.openStore(o.Recover); err != nil {
			return err
		}
		defer a.store.Close()
		defer wg.Wait() // the lead uses the store
		defer stop()
		a.lead = newLead(c.Name, c.Advertise, a.store, time.Duration(c.Timing.Settle), c.Roster, o.Log)
		wg.Go(func() { a.lead.run(inner) })
		if c.ServiceFrom != "" {
			wg.Go(func() { a.watchService(inner) })
		}
	}
	a.own = newHandover(advertised(localServer))
	if c.Records {
		a.pulls = a.newPulls()
		if a.records, err = a.openRecords(); err != nil {
			return err
		}
		wg.Go(func() { a.records.Run(inner) })
	}
	local, err := listenLocal(c.Socket)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	serve := func(l net.Listener) {
		s := a.server()
		wg.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve: %w", err)
			}
		})
		wg.Go(func() { <-inner.Done(); s.Close() })
	}
	serve(local)
	serve(a.own)
	if a.port != nil {
		serve(a.port.http)
	}
	for _, p := range a.processes {
		wg.Go(func() { p.run(inner) })
	}
	wg.Go(func() { a.report(inner) })
	if c.RESP.Listen != "" {
		limits := &limitFront{a: a, instance: c.Instances[0].Name}
		wg.Go(func() { limits.run(inner) })
	}
	o.Log.Info("agent", "name", c.Name, "listen", c.Advertise, "socket", c.Socket, "voter", c.Voter, "instances", len(a.processes))
	var broken <-chan struct{}
	if a.store != nil {
		broken = a.store.Broken()
	}
	select {
	case err = <-failed:
	case <-broken:
		err = fmt.Errorf("voter's store in %s: %w: the voter has stopped, and the agent must be started anew; gateways go on", c.Dir, a.store.DiskError())
	case <-ctx.Done():
	}
	if o.TakeDown && err == nil {
		a.takeDown(inner)
	}
	return err
}

func (a *Agent) openStore(recover bool) (*replica.Store, error) {
	c := replica.Config{Dir: filepath.Join(a.config.Dir, "voter"), ID: a.config.Name, Bootstrap: len(a.config.Voters) == 0, Recover: recover,
		Heartbeat: time.Duration(a.config.Timing.Heartbeat), Log: newQuiet(a.log)}
	if a.port != nil {
		c.Streams = streams{a.port.raft, a.port}
	} else {
		c.Streams = alone{newHandover(advertised(a.config.Name))}
	}
	return replica.Open(c)
}

// takeDown ends the gateways.
func (a *Agent) takeDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeDownLimit)
	defer cancel()
	for _, p := range a.processes {
		p.set(ctx, nil)
	}
	for _, p := range a.processes {
		for ctx.Err() == nil {
			if s := p.peek(); s.pid == 0 {
				break
			}
			wait.For(ctx, 10*time.Millisecond)
		}
	}
}
