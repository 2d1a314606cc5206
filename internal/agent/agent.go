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
	"elderyard/internal/leader"
	"elderyard/internal/process"
	"elderyard/internal/recordsync"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/revisions"
)

// Options are what an agent is started with beside its file.
type Options struct {
	Recover      bool // become the only voter
	StopGateways bool // end the gateways when the agent is asked to end
	Log          *slog.Logger
	// Started, where it is set, is told the port's address.
	Started func(address string)
}

// Agent is one agent.
type Agent struct {
	config         Config
	log            *slog.Logger
	processes      map[string]*process.Process
	self           fleet.Agent
	store          *replica.Store // nil: no voter
	leader         *leader.Leader // nil: no voter
	port           *port          // nil: the local socket alone
	peerClient     *http.Client
	loopback       *connListener        // connections of this agent to itself
	recordsHandler http.Handler         // answers followers of the records; nil: records are off
	records        *recordsync.Follower // this agent's copy; nil: records are off
	refusals       *refusals
	checkSlots     chan struct{} // bounds what is parsed at once

	rosterEpoch uint64 // of the roster that is kept for the gateways, 0: none is; of the goroutine that reports

	mu              sync.Mutex
	leaderAddress   string                        // its address, as last heard
	leaderError     string                        // why this agent has no leader; "": it has
	rejected        map[string]rejectedRevision   // by instance
	cachedRevisions map[uint64]revisions.Revision // contents that instances here are told
}

type rejectedRevision struct {
	revision uint64
	why      string
}

const (
	reportTimeout       = 10 * time.Second // over all voters
	voterTimeout        = 2 * time.Second  // of one
	maxCachedRevisions  = 8                // contents
	maxConcurrentChecks = 2
	stopTimeout         = time.Minute
	revisionsFile       = "revision.json"
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
	a := &Agent{config: c, log: o.Log, processes: map[string]*process.Process{}, rejected: map[string]rejectedRevision{}, cachedRevisions: map[uint64]revisions.Revision{},
		checkSlots: make(chan struct{}, maxConcurrentChecks)}
	if a.refusals, err = openRefusals(filepath.Join(c.Dir, "refused.log")); err != nil {
		return err
	}
	defer a.refusals.close()
	a.loadCachedRevisions()
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
			a.port.raft.addr = advertisedAddr(c.Advertise)
		}
	}
	a.self = fleet.Agent{Name: c.Name, Address: c.Advertise, Instances: []string{}}
	for _, e := range c.Instances {
		a.self.Instances = append(a.self.Instances, e.Name)
		if a.processes[e.Name], err = process.Open(a.processOptions(e)); err != nil {
			return err
		}
	}
	a.peerClient = &http.Client{Transport: a.transport()}
	defer a.peerClient.CloseIdleConnections()

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
		a.leader = leader.New(leader.Options{Name: c.Name, Address: c.Advertise, Store: a.store, SettleTime: time.Duration(c.Timing.Settle), Roster: c.Roster, Log: o.Log})
		wg.Go(func() { a.leader.Run(inner) })
		if c.ServiceFrom != "" {
			wg.Go(func() { a.leader.WatchService(inner, c.ServiceFrom) })
		}
	}
	a.loopback = newConnListener(advertisedAddr(localServer))
	if c.Records {
		a.recordsHandler = a.newRecordsHandler()
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
	serve(a.loopback)
	if a.port != nil {
		serve(a.port.http)
	}
	for _, p := range a.processes {
		wg.Go(func() { p.Run(inner) })
	}
	wg.Go(func() { a.runReports(inner) })
	if c.RESP.Listen != "" {
		limits := &limitFront{a: a, instance: c.Instances[0].Name}
		wg.Go(func() { limits.run(inner) })
	}
	o.Log.Info("agent", "name", c.Name, "listen", c.Advertise, "socket", c.Socket, "voter", c.Voter, "instances", len(a.processes))
	var broken <-chan struct{}
	if a.store != nil {
		broken = a.store.Failed()
	}
	select {
	case err = <-failed:
	case <-broken:
		err = fmt.Errorf("voter's store in %s: %w: the voter has stopped, and the agent must be started anew; gateways go on", c.Dir, a.store.DiskError())
	case <-ctx.Done():
	}
	if o.StopGateways && err == nil {
		a.stopGateways(inner)
	}
	return err
}

func (a *Agent) openStore(recover bool) (*replica.Store, error) {
	c := replica.Config{Dir: filepath.Join(a.config.Dir, "voter"), ID: a.config.Name, Bootstrap: len(a.config.Voters) == 0, Recover: recover,
		HeartbeatTimeout: time.Duration(a.config.Timing.Heartbeat), Log: newRaftLogFilter(a.log)}
	if a.port != nil {
		c.Streams = raftStreams{a.port.raft, a.port}
	} else {
		c.Streams = noStreams{newConnListener(advertisedAddr(a.config.Name))}
	}
	return replica.Open(c)
}

// stopGateways ends the gateways.
func (a *Agent) stopGateways(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, p := range a.processes {
		p.SetDesired(ctx, nil)
	}
	for _, p := range a.processes {
		for ctx.Err() == nil {
			if s := p.State(); s.PID == 0 {
				break
			}
			wait.For(ctx, 10*time.Millisecond)
		}
	}
}
