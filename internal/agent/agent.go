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
	"slices"
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

// Options configure a run of an agent, in addition to its configuration file.
type Options struct {
	Recover      bool // make this voter the only one, after a majority was lost
	StopGateways bool // stop the gateways when ctx ends
	Log          *slog.Logger
	// Started, if set, is called with the address of the agent's port once it listens.
	Started func(address string)
}

// Agent is one agent. Run owns it. The fields below mu are shared between the goroutine of
// runReports and those of calls.
type Agent struct {
	config         Config
	log            *slog.Logger
	processes      map[string]*process.Process // by instance
	self           fleet.Agent                 // this agent as enrolled in the site
	store          *replica.Store              // nil: not a voter
	leader         *leader.Leader              // nil: not a voter
	port           *port                       // nil: only the local socket is served
	peerClient     *http.Client
	loopback       *connListener        // connections of this agent to itself
	recordsHandler http.Handler         // serves followers of the records; nil: records are disabled
	records        *recordsync.Follower // this agent's copy; nil: records are disabled
	refusals       *refusals
	checkSlots     chan struct{} // limits concurrent checks of contents

	goroutines sync.WaitGroup // all end with the context of Run's steps
	failed     chan error     // errors of the servers
	closers    []func()       // one for each part that the steps have opened

	rosterEpoch uint64 // of the roster file, 0: there is none; owned by the goroutine of runReports

	mu              sync.Mutex
	leaderAddress   string                        // from the last orders; "": unknown
	leaderError     string                        // why no leader can be reached; "": one can
	rejected        map[string]rejectedRevision   // by instance
	cachedRevisions map[uint64]revisions.Revision // by number
}

// rejectedRevision is an ordered revision that an instance can't run.
type rejectedRevision struct {
	revision uint64
	reason   string
}

const (
	reportTimeout       = 10 * time.Second // for a report to all voters in turn
	voterTimeout        = 2 * time.Second  // for a report to one voter
	maxCachedRevisions  = 8
	maxConcurrentChecks = 2
	stopTimeout         = time.Minute // for all gateways together
	revisionsFile       = "revision.json"
	refusalsFile        = "refused.log"
)

// Run runs an agent until ctx ends or a part of it fails. It returns the error of that
// part, or nil if ctx has ended. The gateways keep running unless Options.StopGateways is
// set.
//
// It opens the agent's parts step by step; the error of a step names the part that could
// not be opened. At the end, Run first stops all goroutines and waits for them, and then
// closes the parts in reverse order: the store must outlive the leader that uses it, and
// the directory must stay locked until nothing writes to it any more.
func Run(ctx context.Context, config Config, options Options) error {
	a := &Agent{config: config, log: options.Log, processes: map[string]*process.Process{}, rejected: map[string]rejectedRevision{}, cachedRevisions: map[uint64]revisions.Revision{},
		checkSlots: make(chan struct{}, maxConcurrentChecks), failed: make(chan error, 2),
		self: fleet.Agent{Name: config.Name, Address: config.Advertise, Instances: []string{}}}
	// The parts must not end with ctx, because they are needed to stop the gateways.
	running, stop := context.WithCancel(context.Background())
	defer a.close()
	defer a.goroutines.Wait()
	defer stop()
	for _, step := range []func() error{
		a.openFolder,
		func() error { return a.listen(options.Started) },
		a.openProcesses,
		a.openPeerClient,
		func() error { return a.startVoter(running, options.Recover) },
		func() error { return a.startRecords(running) },
		func() error { return a.startServers(running) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	a.startInstances(running)
	options.Log.Info("agent started", "name", config.Name, "listen", a.self.Address, "socket", config.Socket, "voter", config.Voter, "instances", len(a.processes))
	err := a.awaitEnd(ctx)
	if options.StopGateways && err == nil {
		a.stopGateways(running)
	}
	return err
}

// onClose registers a function that close calls.
func (a *Agent) onClose(closer func()) { a.closers = append(a.closers, closer) }

// close closes the parts that the steps of Run have opened, in reverse order.
func (a *Agent) close() {
	for _, closer := range slices.Backward(a.closers) {
		closer()
	}
}

// openFolder creates and locks the agent's directory, and opens its files.
func (a *Agent) openFolder() error {
	if err := os.MkdirAll(a.config.Dir, 0o700); err != nil {
		return fmt.Errorf("agent's folder: %w", err)
	}
	unlock, err := lockFolder(a.config.Dir)
	if err != nil {
		return err
	}
	a.onClose(unlock)
	if info, err := os.Stat(a.config.Gateway); len(a.config.Instances) > 0 && (err != nil || info.IsDir()) {
		return fmt.Errorf("gateway's program: %s does not exist or is a folder", a.config.Gateway)
	}
	if a.refusals, err = openRefusals(filepath.Join(a.config.Dir, refusalsFile)); err != nil {
		return err
	}
	a.onClose(a.refusals.close)
	a.loadCachedRevisions()
	return nil
}

// listen opens the agent's port, if one is configured. With port 0, the advertised address
// is the one that the system has assigned.
func (a *Agent) listen(started func(address string)) (err error) {
	if a.config.Listen == "" {
		return nil
	}
	if a.port, err = openPort(&a.config, a.refusals.add); err != nil {
		return err
	}
	a.onClose(a.port.close)
	address := a.port.listener.Addr().String()
	if started != nil {
		started(address)
	}
	if _, port, _ := net.SplitHostPort(a.config.Advertise); port == "0" {
		a.self.Address = address
		a.port.raft.addr = advertisedAddr(address)
	}
	return nil
}

// openProcesses opens the instances' processes and adopts the gateways that are running.
func (a *Agent) openProcesses() (err error) {
	for _, entry := range a.config.Instances {
		a.self.Instances = append(a.self.Instances, entry.Name)
		if a.processes[entry.Name], err = process.Open(a.processOptions(entry)); err != nil {
			return err
		}
	}
	return nil
}

// openPeerClient creates the HTTP client for calls to other agents.
func (a *Agent) openPeerClient() error {
	a.peerClient = &http.Client{Transport: a.transport()}
	a.onClose(a.peerClient.CloseIdleConnections)
	return nil
}

// startVoter opens the store of a voter and starts its leader.
func (a *Agent) startVoter(ctx context.Context, recover bool) (err error) {
	if !a.config.Voter {
		return nil
	}
	if a.store, err = a.openStore(recover); err != nil {
		return err
	}
	a.onClose(func() { a.store.Close() })
	a.leader = leader.New(leader.Options{Name: a.self.Name, Address: a.self.Address, Store: a.store, SettleTime: time.Duration(a.config.Timing.Settle),
		Roster: a.config.Roster, Log: a.log})
	a.goroutines.Go(func() { a.leader.Run(ctx) })
	if url := a.config.ServiceFrom; url != "" {
		a.goroutines.Go(func() { a.leader.WatchService(ctx, url) })
	}
	return nil
}

// openStore opens the voter's store.
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

// startRecords opens the copy of the records and starts following them, if they are
// enabled.
func (a *Agent) startRecords(ctx context.Context) (err error) {
	a.loopback = newConnListener(advertisedAddr(localServer))
	if !a.config.Records {
		return nil
	}
	a.recordsHandler = a.newRecordsHandler()
	if a.records, err = a.openRecords(); err != nil {
		return err
	}
	a.goroutines.Go(func() { a.records.Run(ctx) })
	return nil
}

// startServers serves calls on the local socket, on this agent's connections to itself and
// on the port.
func (a *Agent) startServers(ctx context.Context) error {
	local, err := listenLocal(a.config.Socket)
	if err != nil {
		return err
	}
	a.serve(ctx, local)
	a.serve(ctx, a.loopback)
	if a.port != nil {
		a.serve(ctx, a.port.http)
	}
	return nil
}

// serve serves calls on a listener until ctx ends. An earlier failure is sent to failed.
func (a *Agent) serve(ctx context.Context, l net.Listener) {
	s := a.server()
	a.goroutines.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.failed <- fmt.Errorf("serve: %w", err)
		}
	})
	a.goroutines.Go(func() { <-ctx.Done(); s.Close() })
}

// startInstances runs the processes, the reports that fetch their orders, and the limit
// commands.
func (a *Agent) startInstances(ctx context.Context) {
	for _, p := range a.processes {
		a.goroutines.Go(func() { p.Run(ctx) })
	}
	a.goroutines.Go(func() { a.runReports(ctx) })
	if a.config.RESP.Listen != "" {
		limits := &limitServer{agent: a, instance: a.config.Instances[0].Name}
		a.goroutines.Go(func() { limits.run(ctx) })
	}
}

// awaitEnd waits until ctx ends or a part fails, and returns the error of that part.
func (a *Agent) awaitEnd(ctx context.Context) error {
	var storeFailed <-chan struct{}
	if a.store != nil {
		storeFailed = a.store.Failed()
	}
	select {
	case err := <-a.failed:
		return err
	case <-storeFailed:
		return fmt.Errorf("voter's store in %s: %w: the voter has stopped and the agent must be restarted; gateways keep running", a.config.Dir, a.store.DiskError())
	case <-ctx.Done():
		return nil
	}
}

// stopGateways terminates the gateways and waits for their exit, at most stopTimeout.
func (a *Agent) stopGateways(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, p := range a.processes {
		p.SetDesired(ctx, nil)
	}
	for _, p := range a.processes {
		for ctx.Err() == nil && p.State().PID != 0 {
			wait.For(ctx, 10*time.Millisecond)
		}
	}
}
