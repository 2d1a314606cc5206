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
	options       Options
	log           *slog.Logger
	store         *diskStore
	replica       *records.Replica
	machine       *records.Follower
	client        *serverClient
	closeIdle     func() // closes the connections that are not in use
	traffic       Traffic
	countedBytes  int64 // bytes of the traffic that the machine has been told of
	cancelRequest context.CancelFunc
	inFlightID    uint64 // of the request on its way
	responses     chan records.Event
	heads         chan uint64
	views         chan view

	mu        sync.Mutex
	status    records.FollowerStatus
	diskError string        // what the disk said to the last write; "": it was written
	changed   chan struct{} // closed when the copy changes next
}

// view is a look at the copy by another goroutine.
type view struct {
	read func(*records.Replica)
	done chan struct{}
}

// minTickInterval is the shortest time between two ticks.
const minTickInterval = time.Millisecond

// idleTimeout is after how long a connection that is not in use is closed.
const idleTimeout = time.Minute

// Open reads the copy that an earlier run kept. Run must be called, or nothing
// more happens.
func Open(o Options) (*Follower, error) {
	if len(o.Servers) == 0 {
		return nil, errors.New("records: no server is named that a copy could follow")
	}
	folder, replica, err := openDiskStore(o.Dir, o.Log)
	if err != nil {
		return nil, err
	}
	f := &Follower{options: o, log: o.Log, store: folder, replica: replica,
		responses: make(chan records.Event), heads: make(chan uint64, 1), views: make(chan view), changed: make(chan struct{})}
	dial := f.traffic.Count(o.Dial)
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	f.client = &serverClient{http: &http.Client{Transport: transport}, base: o.BaseURL}
	f.closeIdle = transport.CloseIdleConnections
	now := time.Now()
	f.machine = records.NewFollower(records.FollowerConfig{Name: o.Name, Servers: o.Servers, BytesPerSecond: o.BytesPerSecond,
		BurstBytes: o.BurstBytes, ConfirmedAt: folder.loadConfirmation(replica.Version())}, replica, now)
	f.status = f.machine.Status(now)
	return f, nil
}

// Run follows the servers until ctx ends. It is called once.
func (f *Follower) Run(ctx context.Context) {
	var requests sync.WaitGroup
	defer f.closeIdle()
	defer f.close()
	defer requests.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(minTickInterval, time.Until(f.machine.Wake())))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f.handle(ctx, &requests, records.Tick{})
		case event := <-f.responses:
			f.handle(ctx, &requests, f.addCost(event))
		case head := <-f.heads:
			f.handle(ctx, &requests, records.HeadReceived{Version: head})
		case v := <-f.views:
			v.read(f.replica)
			close(v.done)
		}
	}
}

func (f *Follower) close() {
	if status := f.Status(); !status.ConfirmedAt.IsZero() {
		f.recordDiskResult(f.store.writeConfirmation(status.Version, status.ConfirmedAt))
	}
	f.store.closeJournal()
}

// handle gives the machine an event and does what it decides.
func (f *Follower) handle(ctx context.Context, requests *sync.WaitGroup, event records.Event) {
	now := time.Now()
	saved := false
	for _, action := range f.machine.Handle(now, event) {
		switch action := action.(type) {
		case records.Send:
			f.send(ctx, requests, action)
		case records.Cancel:
			if action.ID == f.inFlightID {
				f.cancelRequest()
			}
		case records.Persist:
			// Before anybody is told of the version: a restart must not go back behind it.
			f.recordDiskResult(f.store.persist(f.replica, action))
			saved = true
		}
	}
	status := f.machine.Status(now)
	if f.store.confirmDue(status.ConfirmedAt) {
		f.recordDiskResult(f.store.writeConfirmation(status.Version, status.ConfirmedAt))
	}
	f.publish(status, saved)
}

// recordDiskResult logs what the disk says, once.
func (f *Follower) recordDiskResult(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	f.mu.Lock()
	before := f.diskError
	f.diskError = text
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

// send sends a request. Its answer comes as an event, unless it is given up before.
func (f *Follower) send(ctx context.Context, requests *sync.WaitGroup, action records.Send) {
	asking, cancel := context.WithCancel(ctx)
	f.cancelRequest, f.inFlightID = cancel, action.ID
	requests.Go(func() {
		defer cancel()
		body, err := f.client.do(asking, action.Server, action.Request)
		event := records.Event(records.ResponseReceived{ID: action.ID, Body: body})
		if err != nil {
			event = records.RequestFailed{ID: action.ID, Reason: err.Error()}
		}
		select {
		case f.responses <- event:
		case <-ctx.Done():
		}
	})
}

// addCost adds what an answer has cost: all bytes of the connections since the last one.
func (f *Follower) addCost(event records.Event) records.Event {
	total := f.traffic.Received() + f.traffic.Sent()
	bytes := int(total - f.countedBytes)
	f.countedBytes = total
	switch event := event.(type) {
	case records.ResponseReceived:
		event.Bytes = bytes
		return event
	case records.RequestFailed:
		event.Bytes = bytes
		return event
	}
	return event
}

// NotifyHead tells the follower of a version that has been accepted. It does not wait.
func (f *Follower) NotifyHead(version uint64) {
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
	return f.diskError
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
