// Package collector is a stand-in for an OpenTelemetry collector, written from the specification of OTLP over HTTP with
// protobuf, and over gRPC. It can be made to answer late, never, with an error status, with a partial success or
// without end. It checks what it receives against the rules of the specification and makes it available to tests.
package collector

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	metrics "go.opentelemetry.io/proto/otlp/metrics/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"elderyard/internal/otlpfile"
	"elderyard/internal/standin/link"
	"elderyard/internal/wait"
)

const (
	maxMessageLen   = 16 << 20 // bytes, after decompression
	maxFlaws        = 50
	endlessInterval = 20 * time.Millisecond
)

// Faults are the faults that a collector injects. The zero value injects none.
type Faults struct {
	Delay      time.Duration // added to the time of each answer
	Silent     bool          // reads each message and never answers
	Status     int           // answers every message with this status, over gRPC with the equivalent one, and discards it
	RetryAfter string        // seconds, sent along with Status
	Refuse     float64       // fraction of messages of which one item is refused
	NoReply    float64       // fraction accepted whose connection is closed without an answer
	Endless    bool          // answers are never completed
}

// Span is an accepted span and its sender.
type Span struct {
	*trace.Span
	Instance string // service.instance.id of its process
	resource *resource.Resource
}

// Collector is a running stand-in.
type Collector struct {
	links  []*link.Link
	server *http.Server
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	rng      *rand.Rand
	spans    map[string]Span // by id: a message may arrive twice
	order    []string
	points   map[Series]Point
	messages int
	refused  int // items
	aborted  int // calls that the caller ended before the body was complete
	flaws    []string
}

// Start runs a collector on the given links until Close.
func Start(seed uint64, links ...*link.Link) *Collector {
	ctx, stop := context.WithCancel(context.Background())
	c := &Collector{links: links, stop: stop, rng: rand.New(rand.NewPCG(seed, 12)), spans: map[string]Span{}, points: map[Series]Point{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", c.handleHTTP(c.acceptTraces))
	mux.HandleFunc("POST /v1/metrics", c.handleHTTP(c.acceptMetrics))
	mux.HandleFunc("GET "+TracesPath, c.serveTraces)
	mux.HandleFunc("POST /opentelemetry.proto.collector.trace.v1.TraceService/Export", c.handleGRPC(c.acceptTraces))
	mux.HandleFunc("POST /opentelemetry.proto.collector.metrics.v1.MetricsService/Export", c.handleGRPC(c.acceptMetrics))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	c.server = &http.Server{Handler: mux, Protocols: protocols, BaseContext: func(net.Listener) context.Context { return ctx }}
	for _, l := range links {
		c.wg.Go(func() { c.server.Serve(l) })
	}
	return c
}

// TracesPath serves the accepted traces whose id begins with the parameter id, as lines of OTLP JSON.
const TracesPath = "/stories"

// serveTraces answers a GET of TracesPath.
func (c *Collector) serveTraces(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	c.Write(w, r.URL.Query().Get("id")) // an error means that the client closed the connection
}

// Write writes the traces whose id begins with a prefix as lines of OTLP JSON, one line for each process.
func (c *Collector) Write(w io.Writer, id string) error {
	var order []string
	by := map[string]*trace.ResourceSpans{}
	for _, s := range c.Trace(id) {
		rs := by[s.Instance]
		if rs == nil {
			rs = &trace.ResourceSpans{Resource: s.resource, ScopeSpans: []*trace.ScopeSpans{{}}}
			by[s.Instance] = rs
			order = append(order, s.Instance)
		}
		rs.ScopeSpans[0].Spans = append(rs.ScopeSpans[0].Spans, s.Span)
	}
	for _, name := range order {
		if err := otlpfile.Write(w, []*trace.ResourceSpans{by[name]}); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the collector and closes its connections.
func (c *Collector) Close() {
	c.stop()
	c.server.Close()
	for _, l := range c.links {
		l.Close()
	}
	c.wg.Wait()
}

// Address returns the address at which a caller reaches the collector.
func (c *Collector) Address(peer string) string { return link.AddressFor(c.links, peer) }

// Links returns the links, on which network faults can be injected.
func (c *Collector) Links() []*link.Link { return c.links }

// SetFaults replaces the injected faults.
func (c *Collector) SetFaults(t Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = t
}

// draw returns the current faults, and draws which of the random ones affect the next message.
func (c *Collector) draw() (t Faults, refuse, loseReply bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.rng.Float64() < c.faults.Refuse, c.rng.Float64() < c.faults.NoReply
}

// endless writes an answer without end, until the client closes the connection.
func endless(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := w.Write(make([]byte, 1<<10)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		wait.For(r.Context(), endlessInterval)
	}
}

// handleHTTP returns the handler of one kind of message over HTTP.
func (c *Collector) handleHTTP(handle func(body []byte, refuse bool) (refused int, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t, refuse, loseReply := c.draw()
		body, err := read(r)
		switch {
		case errors.Is(err, errAborted):
			c.countAborted()
			panic(http.ErrAbortHandler)
		case err != nil:
			c.addFlaw("a message that can't be read: %v", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		case t.Silent:
			<-r.Context().Done()
			return
		case t.Status != 0:
			if t.RetryAfter != "" {
				w.Header().Set("Retry-After", t.RetryAfter)
			}
			w.WriteHeader(t.Status)
			return
		}
		wait.For(r.Context(), t.Delay)
		refused, err := handle(body, refuse)
		if err != nil {
			c.addFlaw("a message that can't be decoded: %v", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if loseReply {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/x-protobuf")
		if t.Endless {
			endless(w, r)
			return
		}
		w.Write(reply(refused))
	}
}

// reply encodes the response to an export: empty, or with partial_success (field 1) whose field 1 is the number of
// refused items. It is the same for all signals.
func reply(refused int) []byte {
	if refused == 0 {
		return nil
	}
	inner := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(refused))
	inner = protowire.AppendString(protowire.AppendTag(inner, 2, protowire.BytesType), "refused by the stand-in")
	return protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), inner)
}

func read(r *http.Request) ([]byte, error) {
	if got := r.Header.Get("Content-Type"); got != "application/x-protobuf" {
		return nil, fmt.Errorf("content type %q", got)
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	switch got := r.Header.Get("Content-Encoding"); got {
	case "":
		return body, nil
	case "gzip":
		return decompress(body)
	default:
		return nil, fmt.Errorf("content encoding %q", got)
	}
}

// errAborted means that the caller did not send the whole body. This violates no rule: a caller may cancel a call, and
// an exporter does so when it shuts down.
var errAborted = errors.New("the caller ended the call before its body was complete")

// readBody reads a body without decompressing it. The whole body must be read before any of it is decompressed:
// otherwise an aborted call can't be distinguished from a complete but invalid body.
func readBody(r *http.Request) ([]byte, error) {
	body, err := readLimited(r.Body)
	if err != nil && !errors.Is(err, errTooLong) {
		err = fmt.Errorf("%w: %w", errAborted, err)
	}
	return body, err
}

func decompress(compressed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	return readLimited(z)
}

var errTooLong = fmt.Errorf("more than %d bytes", maxMessageLen)

// readLimited reads at most maxMessageLen bytes, and fails if there are more.
func readLimited(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxMessageLen+1))
	if len(text) > maxMessageLen {
		return nil, errTooLong
	}
	return text, err
}

// acceptTraces accepts an ExportTraceServiceRequest, which has the same encoding as TracesData.
func (c *Collector) acceptTraces(body []byte, refuse bool) (refused int, err error) {
	var m trace.TracesData
	if err := proto.Unmarshal(body, &m); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	for _, rs := range m.ResourceSpans {
		instance := c.instance(rs.GetResource().GetAttributes())
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				if refuse && refused == 0 {
					refused++
					c.refused++
					continue
				}
				for _, f := range spanFlaws(s) {
					c.addFlawLocked("span %q: %s", s.Name, f)
				}
				id := hex.EncodeToString(s.SpanId)
				if _, known := c.spans[id]; !known {
					c.order = append(c.order, id)
				}
				c.spans[id] = Span{s, instance, rs.Resource}
			}
		}
	}
	return refused, nil
}

// acceptMetrics accepts an ExportMetricsServiceRequest, which has the same encoding as MetricsData.
func (c *Collector) acceptMetrics(body []byte, refuse bool) (refused int, err error) {
	var m metrics.MetricsData
	if err := proto.Unmarshal(body, &m); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	for _, rm := range m.ResourceMetrics {
		instance := c.instance(rm.GetResource().GetAttributes())
		for _, sm := range rm.ScopeMetrics {
			for _, metric := range sm.Metrics {
				if refuse && refused == 0 {
					refused++
					c.refused++
					continue
				}
				for _, f := range c.acceptMetric(instance, metric) {
					c.addFlawLocked("metric %s of %s: %s", metric.Name, instance, f)
				}
			}
		}
	}
	return refused, nil
}

// addFlaw records a violation of the specification.
func (c *Collector) addFlaw(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFlawLocked(format, a...)
}

func (c *Collector) addFlawLocked(format string, a ...any) {
	if len(c.flaws) < maxFlaws {
		c.flaws = append(c.flaws, fmt.Sprintf(format, a...))
	}
}

func (c *Collector) countAborted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted++
}

// Aborted returns how many calls the caller ended before the body was complete.
func (c *Collector) Aborted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// Flaws returns the violations of the specification that were found.
func (c *Collector) Flaws() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.flaws)
}

// Counts returns how many messages were accepted, and how many of their items were refused.
func (c *Collector) Counts() (messages, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messages, c.refused
}

// Spans returns the accepted spans, each once, in order of arrival.
func (c *Collector) Spans() (list []Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.order {
		list = append(list, c.spans[id])
	}
	return list
}

// Trace returns the spans of the traces whose id begins with a prefix.
func (c *Collector) Trace(id string) (list []Span) {
	for _, s := range c.Spans() {
		if strings.HasPrefix(hex.EncodeToString(s.TraceId), strings.ToLower(id)) {
			list = append(list, s)
		}
	}
	return list
}
