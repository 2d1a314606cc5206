// Package telemetry exports the traces and metrics of package traces to an OpenTelemetry collector, by OTLP over HTTP
// or gRPC. It never delays a request: events are recorded without blocking, queues are limited in bytes, and data that
// does not fit is dropped and counted.
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
	maxEvents          = 1 << 13 // limit of the event buffer
	maxSpansPerMessage = 64      // encoding a larger message would occupy a core for too long
	eventInterval      = 50 * time.Millisecond
	spanInterval       = time.Second
	statsTimeout       = 200 * time.Millisecond
	failureLogInterval = time.Minute // between log lines about failed deliveries
	tracesPath         = "/v1/traces"
	metricsPath        = "/v1/metrics"
)

// Settings select what is exported, and the collector.
type Settings struct {
	Endpoint     string            // base URL; the path of each signal is appended
	GRPC         bool              // OTLP over gRPC instead of HTTP
	Headers      map[string]string // of each request to the collector
	Resource     []traces.Attr     // attributes of this process
	Traces       bool
	Metrics      bool
	Interval     time.Duration // between exports of metrics
	Timeout      time.Duration // of a delivery
	FlushTimeout time.Duration // limit of the delivery of queued data in Close
	QueueBytes   int           // limit of each signal's queue
	Tracing      traces.Settings
}

// Exporter exports the traces and metrics of one process.
type Exporter struct {
	settings       Settings
	now            func() float64
	readStats      func(context.Context) (GatewayStats, error)
	log            *slog.Logger
	start          float64
	events         eventBuffer
	droppedEvents  [traces.EventKindCount]atomic.Uint64
	encoder        *encoder
	state          exportState
	spare          []traces.Event // empty list for the next swap of events
	spans          []traces.Span
	senders        []*sender
	stop           context.CancelFunc
	done           chan struct{}
	lastLog        time.Time // time of the last line of logFailures
	loggedFailures uint64    // failed deliveries by then
}

// Start starts an exporter. Now is the clock of the events, in seconds; readStats returns the statistics of the event
// loop and must respect its context. The caller must call Close.
func Start(set Settings, now func() float64, readStats func(context.Context) (GatewayStats, error), log *slog.Logger) *Exporter {
	t, client := newExporter(set, now, readStats, log)
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.run(ctx, client)
	return t
}

// newExporter returns an exporter whose goroutine is not running.
func newExporter(set Settings, now func() float64, readStats func(context.Context) (GatewayStats, error), log *slog.Logger) (*Exporter, *http.Client) {
	t := &Exporter{
		settings:  set,
		now:       now,
		readStats: readStats,
		log:       log,
		start:     now(),
		events:    newEventBuffer(maxEvents),
		spare:     make([]traces.Event, 0, maxEvents),
		encoder:   newEncoder(set.Resource),
		done:      make(chan struct{}),
	}
	client := newClient(set.GRPC)
	tracesTarget, metricsTarget := tracesPath, metricsPath
	if set.GRPC {
		tracesTarget, metricsTarget = tracesCall, metricsCall
	}
	t.state = exportState{
		tally:       traces.NewTally(set.Tracing),
		recorder:    traces.NewRecorder(set.Tracing, uint64(time.Now().UnixNano())),
		spanSender:  newSender(&set, tracesTarget, client, func() exportResponse { return &traceResponse{} }),
		pointSender: newSender(&set, metricsTarget, client, func() exportResponse { return &metricsResponse{} }),
	}
	t.senders = []*sender{t.state.spanSender, t.state.pointSender}
	return t, client
}

// newClient returns the HTTP client for both signals. It does not follow redirects.
func newClient(grpc bool) *http.Client {
	transport := &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: time.Minute}
	if grpc {
		transport.Protocols = new(http.Protocols) // only HTTP/2, also without TLS
		transport.Protocols.SetHTTP2(true)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirects}
}

// eventBuffer holds the recorded events that have not been handled. They are handled in batches: waking the goroutine
// for each event would cost a request more than the rest of its telemetry.
type eventBuffer struct {
	halfFull chan struct{} // has a buffer of one; signals that the list is half full

	mu   sync.Mutex // locked only to add an event or swap the lists
	list []traces.Event
}

func newEventBuffer(maxLen int) eventBuffer {
	return eventBuffer{halfFull: make(chan struct{}, 1), list: make([]traces.Event, 0, maxLen)}
}

// add appends an event. It returns false if the buffer is full.
func (q *eventBuffer) add(e traces.Event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == cap(q.list) {
		return false
	}
	if q.list = append(q.list, e); len(q.list) == cap(q.list)/2 {
		select {
		case q.halfFull <- struct{}{}:
		default:
		}
	}
	return true
}

// swap returns the buffered events and continues with replacement, an empty list of the same capacity.
func (q *eventBuffer) swap(replacement []traces.Event) []traces.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	full := q.list
	q.list = replacement
	return full
}

// Record adds an event to the buffer. It never blocks: if the buffer is full, the event is dropped and counted.
func (t *Exporter) Record(e traces.Event) {
	if !t.events.add(e) {
		t.droppedEvents[e.Kind].Add(1)
	}
}

// Close handles the events recorded so far, delivers as much as possible within Settings.FlushTimeout, and stops the
// exporter. Record must not be called afterwards.
func (t *Exporter) Close() {
	t.stop()
	<-t.done
}

// run is the exporter's goroutine. It owns all state except the event buffer and the queues.
func (t *Exporter) run(ctx context.Context, client *http.Client) {
	defer close(t.done)
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
	stopSending() // an interrupted delivery is requeued and flushed with the rest
	sending.Wait()
	t.drain()
	if _, dropped := t.state.spanSender.queue.stats(); dropped > 0 {
		t.log.Warn("spans dropped: the queue was full or the collector unavailable", "spans", dropped)
	}
}

// export handles events and queues spans and metrics until ctx is done.
func (t *Exporter) export(ctx context.Context) {
	spanTicker := time.NewTicker(spanInterval)
	defer spanTicker.Stop()
	metricTicker := time.NewTicker(t.settings.Interval)
	defer metricTicker.Stop()
	eventTicker := time.NewTicker(eventInterval)
	defer eventTicker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-eventTicker.C:
			t.handleEvents()
		case <-t.events.halfFull:
			t.handleEvents()
		case <-spanTicker.C:
			t.exportSpans()
			t.logFailures()
		case <-metricTicker.C:
			t.exportMetrics(ctx)
		}
	}
}

// drain delivers the queued batches within the flush timeout.
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
	clear(list) // releases the requests to the garbage collector
	t.spare = list[:0]
}

// handle counts an event and adds it to the trace of its request.
func (t *Exporter) handle(e traces.Event) {
	t.state.tally.Handle(e)
	if !t.settings.Traces {
		return
	}
	if t.spans = t.state.recorder.Handle(e, t.spans); len(t.spans) >= maxSpansPerMessage {
		t.exportSpans()
	}
}

// exportSpans queues the finished spans as one batch.
func (t *Exporter) exportSpans() {
	if len(t.spans) == 0 {
		return
	}
	b, err := t.encoder.spans(t.spans)
	if err != nil {
		t.log.Error("encoding spans failed", "error", err)
		t.state.spanSender.queue.countDropped(len(t.spans))
	} else {
		t.state.spanSender.queue.add(b)
	}
	clear(t.spans)
	t.spans = t.spans[:0]
}

// exportMetrics queues the current metrics. If the event loop does not return its statistics within statsTimeout, the
// previous ones are exported again.
func (t *Exporter) exportMetrics(ctx context.Context) {
	if !t.settings.Metrics {
		return
	}
	statsCtx, cancel := context.WithTimeout(ctx, statsTimeout)
	if stats, err := t.readStats(statsCtx); err == nil {
		t.state.stats = stats
	}
	cancel()
	for i := range t.droppedEvents {
		t.state.droppedEvents[i] = t.droppedEvents[i].Load()
	}
	list := t.state.metrics(&t.settings.Tracing, t.start, t.now())
	b, err := t.encoder.metrics(list)
	if err != nil {
		t.log.Error("encoding metrics failed", "error", err)
		return
	}
	t.state.pointSender.queue.add(b)
}

// logFailures logs the number of deliveries that failed since its last line, at most once per failureLogInterval.
func (t *Exporter) logFailures() {
	failed := uint64(0)
	for _, s := range t.senders {
		failed += s.failures.Load()
	}
	if failed == t.loggedFailures || time.Since(t.lastLog) < failureLogInterval {
		return
	}
	t.log.Warn("deliveries to the OTLP collector failed", "endpoint", t.settings.Endpoint, "sendings", failed-t.loggedFailures)
	t.lastLog, t.loggedFailures = time.Now(), failed
}
