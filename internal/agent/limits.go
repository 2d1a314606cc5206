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

const limitsPollInterval = 250 * time.Millisecond // between looks for other files of the instance

// errNotCounted tells of a site whose gateways would give away the local shares
// that this front needs.
var errNotCounted = errors.New("quotas.fronts of the revision is 0: gateways must count the fronts that grant units beside them")

// limitFront serves limit commands with the settings that an instance of this
// machine runs with: the same plans, the same counter. It follows that instance's files, so
// that it knows them after its own restart as well, and when no leader can be asked.
type limitFront struct {
	a           *Agent
	instance    string
	servedFiles [][]byte // the files that the running front was made of, or that none can be made of
	failedFiles [][]byte // the files of the last start that failed
	stop        func()   // ends the running front; nil: none runs
}

// run follows the files until ctx ends.
func (f *limitFront) run(ctx context.Context) {
	defer f.end()
	for {
		f.poll(ctx)
		if !wait.For(ctx, limitsPollInterval) {
			return
		}
	}
}

func (f *limitFront) end() {
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
}

// poll starts the front anew if the files are others. Danger: both are replaced one
// after the other; two looks must agree before they count.
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
			f.a.log.Error("limit commands are not served", "instance", f.instance, "error", err)
		}
		f.failedFiles = files
		return
	}
	f.failedFiles = nil
	f.a.log.Info("limit commands are served", "listen", f.a.config.RESP.Listen, "as", f.instance)
	f.stop = stop
}

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

// start serves with these files and returns what ends that.
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
	set.Fronts = s.Quotas.Fronts
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
	front, err := respfront.Open(f.a.config.RESP, o, set, c.PlanNames)
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
		unserve() // the front ends before what answers it
		above.Wait()
		cancel()
		below.Wait()
	}, nil
}
