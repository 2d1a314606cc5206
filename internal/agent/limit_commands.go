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

const limitsPollInterval = 250 * time.Millisecond // between two reads of the instance's files

// errNotCounted is returned for a site whose gateways would use up the local quotas of
// this front.
var errNotCounted = errors.New("quotas.fronts of the revision is 0: gateways must count the fronts that grant units beside them")

// limitFront serves limit commands with the settings that an instance of this
// machine runs with: the same plans, the same counter. It reads them from that instance's
// files, which also exist after the agent's restart and while there is no leader.
type limitFront struct {
	a           *Agent
	instance    string
	servedFiles [][]byte // contents that the running front was started with, or that it can't be started with
	failedFiles [][]byte // contents of the last start that failed
	stop        func()   // stops the running front; nil: none runs
}

// run follows the files until ctx ends, and then stops the front.
func (f *limitFront) run(ctx context.Context) {
	defer f.end()
	for {
		f.poll(ctx)
		if !wait.For(ctx, limitsPollInterval) {
			return
		}
	}
}

// end stops the running front, if there is one.
func (f *limitFront) end() {
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
}

// poll restarts the front if the files have changed. The two files are replaced one
// after the other, so two reads, a poll interval apart, must agree before they are used.
func (f *limitFront) poll(ctx context.Context) {
	files, err := f.read()
	if err != nil {
		return // nothing has been applied yet
	}
	if sameFiles(files, f.servedFiles) || !wait.For(ctx, limitsPollInterval) {
		return
	}
	if again, err := f.read(); err != nil || !sameFiles(files, again) {
		return
	}
	f.end()
	f.servedFiles = files
	stop, err := f.start(files[0], files[1])
	if errors.Is(err, syscall.EADDRINUSE) {
		// A gateway that this agent is just starting holds a copy of the closed listener until it executes its program.
		f.servedFiles = nil // the next poll starts the front again
	}
	if err != nil {
		if !sameFiles(files, f.failedFiles) {
			f.a.log.Error("failed to serve limit commands", "instance", f.instance, "error", err)
		}
		f.failedFiles = files
		return
	}
	f.failedFiles = nil
	f.a.log.Info("serving limit commands", "listen", f.a.config.RESP.Listen, "instance", f.instance)
	f.stop = stop
}

// read returns the contents of the instance's files.
func (f *limitFront) read() (list [][]byte, err error) {
	for _, name := range []string{process.ConfigFile, process.SiteFile} {
		text, err := os.ReadFile(filepath.Join(f.a.config.instanceDir(f.instance), name))
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

// start serves with these files. The returned function stops that and waits for it.
func (f *limitFront) start(platforms, operators []byte) (stop func(), err error) {
	c, err := config.Parse(platforms)
	if err != nil {
		return nil, err
	}
	s, err := site.Parse(process.SiteFile, operators)
	if err != nil {
		return nil, err
	}
	if s.Quotas.Fronts == 0 {
		return nil, errNotCounted
	}
	set := c.Settings
	set.CheckFrontends = s.Quotas.Fronts
	calls, err := counter.Open(s.Counter, set, c.Counter)
	if err != nil {
		return nil, err
	}
	var shared owner.Counter
	if calls != nil {
		shared = calls
	}
	var seed [8]byte
	rand.Read(seed[:])
	o := owner.New(set, binary.LittleEndian.Uint64(seed[:]), shared)
	o.Start(nil)
	front, err := respfront.FromSite(f.a.config.RESP, o, set, c.PlanNames)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", f.a.config.RESP.Listen)
	if err != nil {
		return nil, fmt.Errorf("resp: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serving, unserve := context.WithCancel(ctx)
	var below, above sync.WaitGroup
	below.Go(func() { o.Run(ctx) })
	if calls != nil {
		below.Go(func() { calls.Run(ctx) })
	}
	above.Go(func() { front.Serve(serving, l) })
	return func() {
		unserve() // the front must end before the owner that answers it
		above.Wait()
		cancel()
		below.Wait()
	}, nil
}
