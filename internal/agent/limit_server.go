package agent

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/counter"
	"elderyard/internal/owner"
	"elderyard/internal/process"
	"elderyard/internal/respfront"
	"elderyard/internal/site"
	"elderyard/internal/wait"
)

const (
	limitsPollInterval = 250 * time.Millisecond // between two reads of the instance's files
	maxCustomers       = 1 << 15                // whose state a server of limit commands keeps
)

// limitsStopTimeouts are those of a server of limit commands. No platform kills an agent at a set time.
var limitsStopTimeouts = respfront.StopTimeouts{Wait: 3 * time.Second, Reply: 3 * time.Second}

// errFrontsNotCounted is returned for a revision that does not count the servers of limit
// commands: its gateways would use the whole quota, including this server's share.
var errFrontsNotCounted = errors.New("quotas.fronts of the revision is 0: it must count the agents that serve limit commands")

// limitServer serves limit commands with the plans and the counter of an instance of this
// machine. It reads them from that instance's files, which also exist after a restart of
// the agent and while there is no leader.
type limitServer struct {
	agent       *Agent
	instance    string
	servedFiles [][]byte       // contents of the last start, whether it succeeded or failed
	failedFiles [][]byte       // contents of the last start, if it failed
	stop        func()         // stops the running server; nil: none is running
	servers     sync.WaitGroup // that are running, or have been stopped and have not ended yet
}

// run follows the files until ctx ends, and then stops the server and waits for its end.
func (srv *limitServer) run(ctx context.Context) {
	defer srv.servers.Wait()
	defer srv.stopServing()
	for {
		srv.poll(ctx)
		if !wait.For(ctx, limitsPollInterval) {
			return
		}
	}
}

// stopServing stops the running server, if there is one: its address is free at once, while its
// connections reply to the commands that they have received and then end.
func (srv *limitServer) stopServing() {
	if srv.stop != nil {
		srv.stop()
		srv.stop = nil
	}
}

// poll restarts the server if the files have changed. The two files are replaced one after
// the other, so they are only used if two reads, a poll interval apart, have the same
// contents.
func (srv *limitServer) poll(ctx context.Context) {
	files, err := srv.read()
	if err != nil {
		return // no revision has been applied yet
	}
	if sameFiles(files, srv.servedFiles) || !wait.For(ctx, limitsPollInterval) {
		return
	}
	if again, err := srv.read(); err != nil || !sameFiles(files, again) {
		return
	}
	srv.stopServing()
	srv.servedFiles = files
	stop, err := srv.start(files[0], files[1])
	if errors.Is(err, syscall.EADDRINUSE) {
		// A gateway that is just being forked holds a copy of the closed listener until it executes its program.
		srv.servedFiles = nil // the next poll starts the server again
	}
	if err != nil {
		if !sameFiles(files, srv.failedFiles) {
			srv.agent.log.Error("failed to serve limit commands", "instance", srv.instance, "error", err)
		}
		srv.failedFiles = files
		return
	}
	srv.failedFiles = nil
	srv.agent.log.Info("serving limit commands", "listen", srv.agent.config.RESP.Listen, "instance", srv.instance)
	srv.stop = stop
}

// read returns the contents of the instance's files.
func (srv *limitServer) read() (list [][]byte, err error) {
	for _, name := range []string{process.ConfigFile, process.SiteFile} {
		text, err := os.ReadFile(filepath.Join(srv.agent.config.instanceDir(srv.instance), name))
		if err != nil {
			return nil, err
		}
		list = append(list, text)
	}
	return list, nil
}

func sameFiles(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }

// start starts a server with the contents of config.json and site.toml. The returned
// function stops the server and does not wait until it has ended.
func (srv *limitServer) start(platformConfig, siteConfig []byte) (stop func(), err error) {
	front, err := openLimitFront(srv.agent.config.RESP, platformConfig, siteConfig)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", srv.agent.config.RESP.Listen)
	if err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	srv.servers.Go(func() { front.serve(l) })
	return func() { l.Close() }, nil // so the next server can listen on its address at once
}

// limitFront is a server of limit commands with what decides them.
type limitFront struct {
	server *respfront.Server
	loop   *owner.EventLoop
	client counter.Client // nil: there is no counter
}

// openLimitFront returns a server with the contents of config.json and site.toml. It opens no socket.
func openLimitFront(settings site.RESP, platformConfig, siteConfig []byte) (*limitFront, error) {
	c, err := config.Parse(platformConfig)
	if err != nil {
		return nil, err
	}
	s, err := site.Parse(process.SiteFile, siteConfig)
	if err != nil {
		return nil, err
	}
	if s.Quotas.Fronts == 0 {
		return nil, errFrontsNotCounted
	}
	set := c.Settings
	set.CheckFrontends = s.Quotas.Fronts
	set.MaxCustomers = maxCustomers
	client, err := counter.Open(s.Counter, set, c.Counter)
	if err != nil {
		return nil, err
	}
	var shared owner.Counter
	if client != nil {
		shared = client
	}
	var seed [8]byte
	rand.Read(seed[:])
	loop := owner.New(set, binary.LittleEndian.Uint64(seed[:]), shared)
	server, err := respfront.FromSite(settings, loop, set, c.PlanNames, limitsStopTimeouts)
	if err != nil {
		return nil, err
	}
	return &limitFront{server, loop, client}, nil
}

// serve serves until the listener is closed and all connections have ended. The event loop decides the commands, so it
// ends last.
func (f *limitFront) serve(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	f.loop.Start(nil)
	var running sync.WaitGroup
	running.Go(func() { f.loop.Run(ctx) })
	if f.client != nil {
		running.Go(func() { f.client.Run(ctx) })
	}
	f.server.Serve(ctx, l)
	cancel()
	running.Wait()
}
