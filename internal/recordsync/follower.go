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

// Options configure a follower.
type Options struct {
	Name           string                     // of the follower; unique in the site
	Servers        []string                   // names of the servers, all of which have the same records
	Dir            string                     // directory of the replica, created if it does not exist
	BytesPerSecond int                        // traffic budget; 0 means records.DefaultBytesPerSecond
	BurstBytes     int                        // 0 means records.DefaultBurstBytes
	Dial           Dialer                     // opens connections to servers, with TLS if the URL's scheme is https
	BaseURL        func(server string) string // returns the URL of a server without a path
	Log            *slog.Logger
}

// Follower maintains a complete replica of the servers' records on disk. The goroutine of Run owns
// the state machine, the replica and the files; all other methods are safe for concurrent use.
type Follower struct {
	// The goroutine of Run owns these.
	log           *slog.Logger
	store         *diskStore
	replica       *records.Replica
	machine       *records.Follower
	client        *serverClient
	closeIdle     func() // closes the idle connections
	countedBytes  int64  // traffic that was already reported to the machine
	cancelRequest context.CancelFunc
	inFlightID    uint64 // of the request that cancelRequest cancels

	// Messages to Run, and the counters.
	responses chan records.Event
	heads     chan uint64 // buffers the newest version
	views     chan view
	traffic   Traffic

	mu        sync.Mutex // guards the fields below
	status    records.FollowerStatus
	diskError string        // error of the last write, empty if it succeeded
	changed   chan struct{} // closed when the replica reaches its next version
}

// view is a read of the replica that Run performs for another goroutine.
type view struct {
	read func(*records.Replica)
	done chan struct{} // closed when read has returned
}

// minTickInterval is the shortest time to the next tick. It prevents a busy loop if the wake time
// is in the past.
const minTickInterval = time.Millisecond

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = time.Minute

// Open returns a follower with the replica that an earlier run has persisted. Status describes it
// at once; everything else needs Run. Open returns an error for options without servers and for a
// directory that cannot be created or written.
func Open(options Options) (*Follower, error) {
	if len(options.Servers) == 0 {
		return nil, errors.New("records: no server is configured")
	}
	store, replica, err := openDiskStore(options.Dir, options.Log)
	if err != nil {
		return nil, err
	}
	f := &Follower{log: options.Log, store: store, replica: replica,
		responses: make(chan records.Event), heads: make(chan uint64, 1), views: make(chan view), changed: make(chan struct{})}
	dial := f.traffic.Count(options.Dial)
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	f.client = &serverClient{http: &http.Client{Transport: transport}, baseURL: options.BaseURL}
	f.closeIdle = transport.CloseIdleConnections
	now := time.Now()
	f.machine = records.NewFollower(records.FollowerConfig{Name: options.Name, Servers: options.Servers, BytesPerSecond: options.BytesPerSecond,
		BurstBytes: options.BurstBytes, ConfirmedAt: store.loadConfirmation(replica.Version())}, replica, now)
	f.status = f.machine.Status(now)
	return f, nil
}

// Run follows the servers until the context ends. It must be called once. When it returns, no
// goroutine of the follower runs, the journal is closed and the confirmation is written.
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
		timer.Reset(max(minTickInterval, time.Until(f.machine.NextTick())))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f.handle(ctx, &requests, records.Tick{})
		case event := <-f.responses:
			f.handle(ctx, &requests, f.setTraffic(event))
		case head := <-f.heads:
			f.handle(ctx, &requests, records.HeadReceived{Version: head})
		case requested := <-f.views:
			requested.read(f.replica)
			close(requested.done)
		}
	}
}

// close writes the confirmation, and closes the journal.
func (f *Follower) close() {
	if status := f.Status(); !status.ConfirmedAt.IsZero() {
		f.recordDiskResult(f.store.writeConfirmation(status.Version, status.ConfirmedAt))
	}
	f.store.closeJournal()
}

// handle passes an event to the machine, and performs its actions.
func (f *Follower) handle(ctx context.Context, requests *sync.WaitGroup, event records.Event) {
	now := time.Now()
	persisted := false
	for _, action := range f.machine.Handle(now, event) {
		switch action := action.(type) {
		case records.Send:
			f.send(ctx, requests, action)
		case records.Cancel:
			if action.ID == f.inFlightID {
				f.cancelRequest()
			}
		case records.Persist:
			// Must precede publish: otherwise a restart could return to a version below one that
			// was published.
			f.recordDiskResult(f.store.persist(f.replica, action))
			persisted = true
		}
	}
	status := f.machine.Status(now)
	if f.store.confirmDue(status.ConfirmedAt) {
		f.recordDiskResult(f.store.writeConfirmation(status.Version, status.ConfirmedAt))
	}
	f.publish(status, persisted)
}

// recordDiskResult sets the disk error, and logs it if it differs from the previous one. The
// follower continues without persistence.
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
		f.log.Error("failed to persist records", "error", err)
	}
}

// publish sets the status that other goroutines read, and closes the channel of Changed if the
// replica is at a new version.
func (f *Follower) publish(status records.FollowerStatus, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.State != f.status.State {
		f.log.Info("records follower changed state", "state", status.State, "version", status.Version, "reason", status.Reason)
	}
	f.status = status
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// send sends a request in a goroutine, which ends with the response or the cancellation of the
// request, and for which Run waits. The result becomes an event of Run, also after a cancellation:
// the machine then ignores everything but its traffic.
func (f *Follower) send(ctx context.Context, requests *sync.WaitGroup, action records.Send) {
	requestCtx, cancel := context.WithCancel(ctx)
	f.cancelRequest, f.inFlightID = cancel, action.ID
	requests.Go(func() {
		defer cancel()
		body, err := f.client.do(requestCtx, action.Server, action.Request)
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

// setTraffic sets the bytes of a response's event to the traffic of all connections since the
// previous such event.
func (f *Follower) setTraffic(event records.Event) records.Event {
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

// NotifyHead informs the follower that the servers have a version. It does not block.
func (f *Follower) NotifyHead(version uint64) {
	for {
		select {
		case f.heads <- version:
			return
		default:
		}
		select { // replace a pending version that Run has not received yet, unless it is newer
		case pending := <-f.heads:
			version = max(version, pending)
		default:
		}
	}
}

// Status returns the status after the latest event.
func (f *Follower) Status() records.FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// DiskError returns the error of the last write, or an empty string if it succeeded.
func (f *Follower) DiskError() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.diskError
}

// Changed returns a channel that is closed when the replica reaches its next version. A caller must
// get the channel before it reads the status: otherwise it can miss a version.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Traffic returns the counters of all connections to servers.
func (f *Follower) Traffic() *Traffic { return &f.traffic }

// View calls read with the replica in the goroutine of Run, and waits until it has returned. The
// function must neither modify nor retain the replica. If the context ends first, read is not called,
// and the error wraps that of the context. Once Run has ended, View waits until the context ends.
func (f *Follower) View(ctx context.Context, read func(*records.Replica)) error {
	requested := view{read: read, done: make(chan struct{})}
	select {
	case f.views <- requested:
	case <-ctx.Done():
		return fmt.Errorf("read the records: %w", ctx.Err())
	}
	<-requested.done
	return nil
}
