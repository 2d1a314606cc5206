package recordsync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"elderyard/records"
)

// Options are what a follower is opened with.
type Options struct {
	Name           string   // of the follower, one in the site
	Servers        []string // any of which may be asked
	Dir            string   // folder of the copy; it is made if it is not there
	BytesPerSecond int      // budget; 0: records.DefaultBytesPerSecond
	BurstBytes     int      // 0: records.DefaultBurstBytes
	Dial           Dialer   // opens a connection to a server, with TLS where BaseURL says https
	BaseURL        func(server string) string
	Log            *slog.Logger
}

// Follower keeps a whole copy of the records up to date. One goroutine, that of
// Run, owns the machine which decides, the copy and the files; the methods may be
// called by others.
type Follower struct {
	options Options
	log     *slog.Logger
	folder  *folder
	replica *records.Replica
	machine *records.Follower
	client  *wireClient
	idle    func() // closes the connections that are not in use
	traffic Traffic
	counted int64 // bytes of the traffic that the machine has been told of
	cancel  context.CancelFunc
	openID  uint64 // of the request on its way
	answers chan records.Event
	heads   chan uint64
	views   chan view

	mu      sync.Mutex
	status  records.FollowerStatus
	disk    string        // what the disk said to the last write; "": it was written
	changed chan struct{} // closed when the copy changes next
}

// view is a look at the copy by another goroutine.
type view struct {
	read func(*records.Replica)
	done chan struct{}
}

// leastWait is the shortest time between two ticks.
const leastWait = time.Millisecond

// idleTimeout is after how long a connection that is not in use is closed.
const idleTimeout = time.Minute

// Open reads the copy that an earlier run kept. Run must be called, or nothing
// more happens.
func Open(o Options) (*Follower, error) {
	if len(o.Servers) == 0 {
		return nil, errors.New("records: no server is named that a copy could follow")
	}
	folder, replica, err := openFolder(o.Dir, o.Log)
	if err != nil {
		return nil, err
	}
	f := &Follower{options: o, log: o.Log, folder: folder, replica: replica,
		answers: make(chan records.Event), heads: make(chan uint64, 1), views: make(chan view), changed: make(chan struct{})}
	dial := f.traffic.Count(o.Dial)
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	f.client = &wireClient{http: &http.Client{Transport: transport}, base: o.BaseURL}
	f.idle = transport.CloseIdleConnections
	now := time.Now()
	f.machine = records.NewFollower(records.FollowerConfig{Name: o.Name, Servers: o.Servers, BytesPerSecond: o.BytesPerSecond,
		BurstBytes: o.BurstBytes, Confirmed: folder.confirmed(replica.Version())}, replica, now)
	f.status = f.machine.Status(now)
	return f, nil
}

// Run follows the servers until ctx ends. It is called once.
func (f *Follower) Run(ctx context.Context) {
	var asks sync.WaitGroup
	defer f.idle()
	defer f.close()
	defer asks.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(leastWait, time.Until(f.machine.Wake())))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f.handle(ctx, &asks, records.Tick{})
		case event := <-f.answers:
			f.handle(ctx, &asks, f.price(event))
		case head := <-f.heads:
			f.handle(ctx, &asks, records.ToldHead{Version: head})
		case v := <-f.views:
			v.read(f.replica)
			close(v.done)
		}
	}
}

func (f *Follower) close() {
	if status := f.Status(); !status.Confirmed.IsZero() {
		f.note(f.folder.confirm(status.Version, status.Confirmed))
	}
	f.folder.closeJournal()
}

// handle gives the machine an event and does what it decides.
func (f *Follower) handle(ctx context.Context, asks *sync.WaitGroup, event records.Event) {
	now := time.Now()
	saved := false
	for _, action := range f.machine.Handle(now, event) {
		switch action := action.(type) {
		case records.Ask:
			f.ask(ctx, asks, action)
		case records.Cancel:
			if action.ID == f.openID {
				f.cancel()
			}
		case records.Save:
			// Before anybody is told of the version: a restart must not go back behind it.
			f.note(f.folder.save(f.replica, action))
			saved = true
		}
	}
	status := f.machine.Status(now)
	if f.folder.confirmDue(status.Confirmed) {
		f.note(f.folder.confirm(status.Version, status.Confirmed))
	}
	f.publish(status, saved)
}

// note logs what the disk says, once.
func (f *Follower) note(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	f.mu.Lock()
	before := f.disk
	f.disk = text
	f.mu.Unlock()
	if text != "" && text != before {
		f.log.Error("records can't be kept across a restart", "error", err)
	}
}

func (f *Follower) publish(status records.FollowerStatus, saved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.State != f.status.State {
		f.log.Info("records", "state", status.State, "version", status.Version, "reason", status.Reason)
	}
	f.status = status
	if saved {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// ask sends a request. Its answer comes as an event, unless it is given up before.
func (f *Follower) ask(ctx context.Context, asks *sync.WaitGroup, ask records.Ask) {
	asking, cancel := context.WithCancel(ctx)
	f.cancel, f.openID = cancel, ask.ID
	asks.Go(func() {
		defer cancel()
		body, err := f.client.ask(asking, ask.Server, ask.Request)
		event := records.Event(records.Answered{ID: ask.ID, Body: body})
		if err != nil {
			event = records.Failed{ID: ask.ID, Reason: err.Error()}
		}
		select {
		case f.answers <- event:
		case <-ctx.Done():
		}
	})
}

// price adds what an answer has cost: all bytes of the connections since the last one.
func (f *Follower) price(event records.Event) records.Event {
	total := f.traffic.Read() + f.traffic.Written()
	bytes := int(total - f.counted)
	f.counted = total
	switch event := event.(type) {
	case records.Answered:
		event.Bytes = bytes
		return event
	case records.Failed:
		event.Bytes = bytes
		return event
	}
	return event
}

// TellHead tells the follower of a version that has been accepted. It does not wait.
func (f *Follower) TellHead(version uint64) {
	for {
		select {
		case f.heads <- version:
			return
		default:
		}
		select { // the newest counts
		case old := <-f.heads:
			version = max(version, old)
		default:
		}
	}
}

// Status returns where the copy is.
func (f *Follower) Status() records.FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// DiskError returns what the disk said to the last write of the copy; "": it was written.
func (f *Follower) DiskError() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disk
}

// Changed returns a channel that is closed when the copy comes to its next version.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Traffic counts the bytes of all connections to servers.
func (f *Follower) Traffic() *Traffic { return &f.traffic }

// View reads the copy. The replica must be read only, and not be kept. The error is
// that of ctx, if that ends before Run has come to it.
func (f *Follower) View(ctx context.Context, read func(*records.Replica)) error {
	v := view{read: read, done: make(chan struct{})}
	select {
	case f.views <- v:
	case <-ctx.Done():
		return fmt.Errorf("read the records: %w", ctx.Err())
	}
	<-v.done
	return nil
}
