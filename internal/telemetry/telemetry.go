// Package telemetry carries what package stories makes of requests to a collector, by
// OTLP over HTTP, and never holds a request up: events are handed over without waiting, all that waits is
// bounded in bytes, and what finds no room is counted.
package telemetry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/traces"
)

const (
	mostEvents    = 1 << 13 // that wait to be taken
	mostSpans     = 64      // of one message: writing one takes the core from requests for so long
	takeEvery     = 50 * time.Millisecond
	spansEvery    = time.Second
	figuresWithin = 200 * time.Millisecond
	complainGap   = time.Minute // between lines about a collector that stays away
	tracesPath    = "/v1/traces"
	metricsPath   = "/v1/metrics"
)

// Settings say what is exported, and where to.
type Settings struct {
	Endpoint   string            // URL; the paths of the signals come behind it
	GRPC       bool              // over gRPC, with the methods of the signals behind the URL
	Headers    map[string]string // of each call
	Resource   []traces.Attr     // who exports
	Traces     bool
	Metrics    bool
	Interval   time.Duration // between metrics
	Timeout    time.Duration // of a call
	Flush      time.Duration // for what is left at the end
	QueueBytes int           // that may wait, of each signal
	Stories    traces.Settings
}

// Telemetry is the exporter of one process.
type Telemetry struct {
	set     Settings
	now     func() float64
	ask     func(context.Context) (Figures, error)
	log     *slog.Logger
	start   float64
	events  events
	missed  [traces.EventKinds]atomic.Uint64
	encoder *encoder
	counts  counts
	empty   []traces.Event // the list that is to be swapped in
	spans   []traces.Span
	senders []*sender
	stop    context.CancelFunc
	ended   chan struct{}
	told    time.Time // when the log last heard of a collector that is away
	failed  uint64    // sendings that had failed then
}

// Start begins to export. Now is the clock of the events, in seconds; ask tells the
// owner's figures, and must end with its context. Close must be called.
func Start(set Settings, now func() float64, ask func(context.Context) (Figures, error), log *slog.Logger) *Telemetry {
	t, client := prepare(set, now, ask, log)
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.run(ctx, client)
	return t
}

// prepare makes an exporter whose goroutine is not started.
func prepare(set Settings, now func() float64, ask func(context.Context) (Figures, error), log *slog.Logger) (*Telemetry, *http.Client) {
	t := &Telemetry{set: set, now: now, ask: ask, log: log, start: now(), events: newEvents(mostEvents),
		empty: make([]traces.Event, 0, mostEvents), encoder: newEncoder(set.Resource), ended: make(chan struct{})}
	transport := &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: time.Minute}
	tracesTarget, metricsTarget := tracesPath, metricsPath
	if set.GRPC {
		tracesTarget, metricsTarget = tracesCall, metricsCall
		transport.Protocols = new(http.Protocols) // HTTP/2 alone, also without TLS
		transport.Protocols.SetHTTP2(true)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	client := &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	make := func(path string, reply func() partial) *sender {
		return &sender{url: set.Endpoint + path, headers: set.Headers, client: client, grpc: set.GRPC, timeout: set.Timeout, queue: newQueue(set.QueueBytes), reply: reply}
	}
	t.counts = counts{tally: traces.NewTally(set.Stories), teller: traces.NewTeller(set.Stories, uint64(time.Now().UnixNano())),
		traces: make(tracesTarget, func() partial { return &traceReply{} }), points: make(metricsTarget, func() partial { return &metricsReply{} })}
	t.senders = []*sender{t.counts.traces, t.counts.points}
	return t, client
}

// events are those that were told and not taken. They are taken many at a time: to
// wake a goroutine for each would cost a request more than all that is told of it.
type events struct {
	wake chan struct{} // has room for one: half of the room is taken

	mu   sync.Mutex // held to add one, or to swap the lists
	list []traces.Event
}

func newEvents(most int) events {
	return events{wake: make(chan struct{}, 1), list: make([]traces.Event, 0, most)}
}

// add takes an event, unless there is no room.
func (q *events) add(e traces.Event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == cap(q.list) {
		return false
	}
	if q.list = append(q.list, e); len(q.list) == cap(q.list)/2 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// swap returns what has come, for an empty list of the same room.
func (q *events) swap(empty []traces.Event) []traces.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	full := q.list
	q.list = empty
	return full
}

// Tell hands an event over. It never waits: one that finds no room is counted.
func (t *Telemetry) Tell(e traces.Event) {
	if !t.events.add(e) {
		t.missed[e.Kind].Add(1)
	}
}

// Close takes what was told before, sends what it can within the flush time, and
// ends. Nobody may Tell any more.
func (t *Telemetry) Close() {
	t.stop()
	<-t.ended
}

// run is the exporter's goroutine, and owns all that it counts.
func (t *Telemetry) run(ctx context.Context, client *http.Client) {
	defer close(t.ended)
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	sendCtx, stopSending := context.WithCancel(context.Background())
	defer stopSending()
	for _, s := range t.senders {
		sending.Go(func() { s.run(sendCtx) })
	}
	spans := time.NewTicker(spansEvery)
	defer spans.Stop()
	points := time.NewTicker(t.set.Interval)
	defer points.Stop()
	look := time.NewTicker(takeEvery)
	defer look.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-look.C:
			t.takeAll()
		case <-t.events.wake:
			t.takeAll()
		case <-spans.C:
			t.flushSpans()
			t.complain()
		case <-points.C:
			t.flushPoints(ctx)
		}
	}
	t.takeAll()
	t.flushSpans()
	t.flushPoints(ctx)
	stopSending() // what is out is put back, and goes with the rest
	sending.Wait()
	last, cancel := context.WithTimeout(context.Background(), t.set.Flush)
	defer cancel()
	for _, s := range t.senders {
		sending.Go(func() { s.drain(last) })
	}
	sending.Wait()
	if _, lost := t.counts.traces.queue.state(); lost > 0 {
		t.log.Warn("spans were dropped for want of room or of a collector", "spans", lost)
	}
}

// takeAll takes what has been told.
func (t *Telemetry) takeAll() {
	list := t.events.swap(t.empty)
	for i := range list {
		t.take(list[i])
	}
	clear(list) // what they point to is not held
	t.empty = list[:0]
}

func (t *Telemetry) take(e traces.Event) {
	t.counts.tally.Handle(e)
	if !t.set.Traces {
		return
	}
	if t.spans = t.counts.teller.Handle(e, t.spans); len(t.spans) >= mostSpans {
		t.flushSpans()
	}
}

func (t *Telemetry) flushSpans() {
	if len(t.spans) == 0 {
		return
	}
	b, err := t.encoder.spans(t.spans)
	if err != nil {
		t.log.Error("spans could not be written", "error", err)
		t.counts.traces.queue.lose(len(t.spans))
	} else {
		t.counts.traces.queue.add(b)
	}
	clear(t.spans)
	t.spans = t.spans[:0]
}

// flushPoints takes a moment's metrics. Where the owner does not tell its figures in
// time, the last ones stand.
func (t *Telemetry) flushPoints(ctx context.Context) {
	if !t.set.Metrics {
		return
	}
	within, cancel := context.WithTimeout(ctx, figuresWithin)
	if f, err := t.ask(within); err == nil {
		t.counts.figures = f
	}
	cancel()
	for i := range t.missed {
		t.counts.missed[i] = t.missed[i].Load()
	}
	list := t.counts.metrics(&t.set.Stories, t.start, t.now())
	b, err := t.encoder.metrics(list)
	if err != nil {
		t.log.Error("metrics could not be written", "error", err)
		return
	}
	t.counts.points.queue.add(b)
}

// complain tells the log of a collector that is away, now and then, with the number
// of sendings that failed since the last line.
func (t *Telemetry) complain() {
	failed := uint64(0)
	for _, s := range t.senders {
		failed += s.failures.Load()
	}
	if failed == t.failed || time.Since(t.told) < complainGap {
		return
	}
	t.log.Warn("the collector did not take what was sent", "endpoint", t.set.Endpoint, "sendings", failed-t.failed)
	t.told, t.failed = time.Now(), failed
}
