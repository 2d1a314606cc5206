// Package telemetry exports the traces and metrics that package traces makes of requests to a collector, by OTLP
// over HTTP or gRPC. It never delays a request: events are recorded without blocking, queues are bounded in bytes,
// and what does not fit is dropped and counted.
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
	maxEvents          = 1 << 13 // that may wait to be handled
	maxSpansPerMessage = 64      // larger messages would keep a core from requests for longer
	eventInterval      = 50 * time.Millisecond
	spanInterval       = time.Second
	figuresTimeout     = 200 * time.Millisecond
	warningInterval    = time.Minute // between log lines about an unreachable collector
	tracesPath         = "/v1/traces"
	metricsPath        = "/v1/metrics"
)

// Settings say what is exported, and to which collector.
type Settings struct {
	Endpoint     string            // URL, to which the paths of the signals are appended
	GRPC         bool              // OTLP over gRPC instead of HTTP
	Headers      map[string]string // of each call
	Resource     []traces.Attr     // attributes of this process
	Traces       bool
	Metrics      bool
	Interval     time.Duration // between exports of metrics
	Timeout      time.Duration // of a call
	FlushTimeout time.Duration // how long Close may take to deliver what is queued
	QueueBytes   int           // limit of each signal's queue
	Tracing      traces.Settings
}

// Exporter is the exporter of one process.
type Exporter struct {
	settings       Settings
	now            func() float64
	readFigures    func(context.Context) (GatewayStats, error)
	log            *slog.Logger
	start          float64
	events         eventBuffer
	missed         [traces.EventKindCount]atomic.Uint64
	encoder        *encoder
	state          exportState
	spare          []traces.Event // the list that is swapped in next
	spans          []traces.Span
	senders        []*sender
	stop           context.CancelFunc
	ended          chan struct{}
	lastWarning    time.Time // when warnUndelivered last logged
	warnedFailures uint64    // failed deliveries at that time
}

// Start starts the exporter. Now is the clock of the events, in seconds; readFigures returns the owner's figures
// and must respect its context. The caller must call Close.
func Start(set Settings, now func() float64, readFigures func(context.Context) (GatewayStats, error), log *slog.Logger) *Exporter {
	t, client := newTelemetry(set, now, readFigures, log)
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.run(ctx, client)
	return t
}

// newTelemetry makes an exporter whose goroutine is not started.
func newTelemetry(set Settings, now func() float64, readFigures func(context.Context) (GatewayStats, error), log *slog.Logger) (*Exporter, *http.Client) {
	t := &Exporter{
		settings:    set,
		now:         now,
		readFigures: readFigures,
		log:         log,
		start:       now(),
		events:      newEventBuffer(maxEvents),
		spare:       make([]traces.Event, 0, maxEvents),
		encoder:     newEncoder(set.Resource),
		ended:       make(chan struct{}),
	}
	client := newClient(set.GRPC)
	tracesTarget, metricsTarget := tracesPath, metricsPath
	if set.GRPC {
		tracesTarget, metricsTarget = tracesCall, metricsCall
	}
	t.state = exportState{
		tally:       traces.NewTally(set.Tracing),
		recorder:    traces.NewRecorder(set.Tracing, uint64(time.Now().UnixNano())),
		spanSender:  newSender(&set, tracesTarget, client, func() exportReply { return &traceReply{} }),
		pointSender: newSender(&set, metricsTarget, client, func() exportReply { return &metricsReply{} }),
	}
	t.senders = []*sender{t.state.spanSender, t.state.pointSender}
	return t, client
}

// newClient returns the client for both signals. It follows no redirects.
func newClient(grpc bool) *http.Client {
	transport := &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: time.Minute}
	if grpc {
		transport.Protocols = new(http.Protocols) // HTTP/2 alone, also without TLS
		transport.Protocols.SetHTTP2(true)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirects}
}

// eventBuffer holds recorded events that have not been handled. They are handled in batches: waking a goroutine
// for each would cost a request more than the rest of its telemetry.
type eventBuffer struct {
	wake chan struct{} // buffered by one: the buffer is half full

	mu   sync.Mutex // held only to add an event or swap the lists
	list []traces.Event
}

func newEventBuffer(most int) eventBuffer {
	return eventBuffer{wake: make(chan struct{}, 1), list: make([]traces.Event, 0, most)}
}

// add appends an event and reports whether there was room.
func (q *eventBuffer) add(e traces.Event) bool {
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

// swap returns the waiting events and replaces them with an empty list of the same capacity.
func (q *eventBuffer) swap(empty []traces.Event) []traces.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	full := q.list
	q.list = empty
	return full
}

// Record hands over an event. It never blocks: an event that does not fit is dropped and counted.
func (t *Exporter) Record(e traces.Event) {
	if !t.events.add(e) {
		t.missed[e.Kind].Add(1)
	}
}

// Close handles the events recorded so far, delivers what it can within Settings.Flush, and stops the exporter.
// Record must not be called afterwards.
func (t *Exporter) Close() {
	t.stop()
	<-t.ended
}

// run is the exporter's goroutine, which owns all of its state but the event buffer and the queues.
func (t *Exporter) run(ctx context.Context, client *http.Client) {
	defer close(t.ended)
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	sendCtx, stopSending := context.WithCancel(context.Background())
	defer stopSending()
	for _, s := range t.senders {
		sending.Go(func() { s.run(sendCtx) })
	}
	t.export(ctx)
	t.handleEvents()
	t.exportSpans()
	t.exportMetrics(ctx)
	stopSending() // a delivery in progress is requeued and flushed with the rest
	sending.Wait()
	t.drain()
	if _, lost := t.state.spanSender.queue.state(); lost > 0 {
		t.log.Warn("spans were dropped for want of room or of a collector", "spans", lost)
	}
}

// export handles events and queues spans and metrics until ctx ends.
func (t *Exporter) export(ctx context.Context) {
	spans := time.NewTicker(spanInterval)
	defer spans.Stop()
	points := time.NewTicker(t.settings.Interval)
	defer points.Stop()
	look := time.NewTicker(eventInterval)
	defer look.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-look.C:
			t.handleEvents()
		case <-t.events.wake:
			t.handleEvents()
		case <-spans.C:
			t.exportSpans()
			t.warnUndelivered()
		case <-points.C:
			t.exportMetrics(ctx)
		}
	}
}

// drain delivers what is queued, within the flush time.
func (t *Exporter) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), t.settings.FlushTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, s := range t.senders {
		sending.Go(func() { s.drain(ctx) })
	}
	sending.Wait()
}

// handleEvents handles the events recorded since the last call.
func (t *Exporter) handleEvents() {
	list := t.events.swap(t.spare)
	for i := range list {
		t.handle(list[i])
	}
	clear(list) // so that the requests can be collected
	t.spare = list[:0]
}

func (t *Exporter) handle(e traces.Event) {
	t.state.tally.Handle(e)
	if !t.settings.Traces {
		return
	}
	if t.spans = t.state.recorder.Handle(e, t.spans); len(t.spans) >= maxSpansPerMessage {
		t.exportSpans()
	}
}

func (t *Exporter) exportSpans() {
	if len(t.spans) == 0 {
		return
	}
	b, err := t.encoder.spans(t.spans)
	if err != nil {
		t.log.Error("spans could not be written", "error", err)
		t.state.spanSender.queue.countDropped(len(t.spans))
	} else {
		t.state.spanSender.queue.add(b)
	}
	clear(t.spans)
	t.spans = t.spans[:0]
}

// exportMetrics queues the current metrics. If the owner does not return its figures in time, the previous ones
// are exported again.
func (t *Exporter) exportMetrics(ctx context.Context) {
	if !t.settings.Metrics {
		return
	}
	within, cancel := context.WithTimeout(ctx, figuresTimeout)
	if f, err := t.readFigures(within); err == nil {
		t.state.figures = f
	}
	cancel()
	for i := range t.missed {
		t.state.missed[i] = t.missed[i].Load()
	}
	list := t.state.metrics(&t.settings.Tracing, t.start, t.now())
	b, err := t.encoder.metrics(list)
	if err != nil {
		t.log.Error("metrics could not be written", "error", err)
		return
	}
	t.state.pointSender.queue.add(b)
}

// warnUndelivered logs the number of deliveries that failed since its last line, at most once per
// warningInterval.
func (t *Exporter) warnUndelivered() {
	failed := uint64(0)
	for _, s := range t.senders {
		failed += s.failures.Load()
	}
	if failed == t.warnedFailures || time.Since(t.lastWarning) < warningInterval {
		return
	}
	t.log.Warn("the collector did not take what was sent", "endpoint", t.settings.Endpoint, "sendings", failed-t.warnedFailures)
	t.lastWarning, t.warnedFailures = time.Now(), failed
}
