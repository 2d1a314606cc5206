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

func sameFiles(a, b [][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// start starts a server with the contents of config.json and site.toml. The returned
// function stops the server and does not wait until it has ended.
func (srv *limitServer) start(platformConfig, siteConfig []byte) (stop func(), err error) {
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
	callClient, err := counter.Open(s.Counter, set, c.Counter)
	if err != nil {
		return nil, err
	}
	var shared owner.Counter
	if callClient != nil {
		shared = callClient
	}
	var seed [8]byte
	rand.Read(seed[:])
	loop := owner.New(set, binary.LittleEndian.Uint64(seed[:]), shared)
	loop.Start(nil)
	handler, err := respfront.FromSite(srv.agent.config.RESP, loop, set, c.PlanNames, limitsStopTimeouts)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", srv.agent.config.RESP.Listen)
	if err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { loop.Run(ctx) })
	if callClient != nil {
		loops.Go(func() { callClient.Run(ctx) })
	}
	serving, stopServing := context.WithCancel(ctx)
	srv.servers.Go(func() {
		handler.Serve(serving, l)
		cancel() // the event loop decides the commands, so it ends after the server
		loops.Wait()
	})
	return func() {
		l.Close() // before the next server listens on its address
		stopServing()
	}, nil
}
