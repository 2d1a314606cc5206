// Package collector is a stand-in for a collector of OpenTelemetry, written from the
// specification of OTLP over HTTP with protobuf. It can be told to be slow, silent, full, in part
// unwilling or without an end; it checks what it is sent against the specification's rules and
// hands it to tests.
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
	mostMessage = 16 << 20 // bytes, unpacked
	mostFlaws   = 50
	endlessGap  = 20 * time.Millisecond
)

// Faults is what a collector can be told to do wrong. The zero value is none.
type Faults struct {
	Delay      time.Duration // answers come so much later
	Silent     bool          // it takes what is sent and never answers
	Status     int           // every message gets this status, over gRPC the one that stands for it, and is not taken
	RetryAfter string        // seconds, with that status
	Refuse     float64       // share of the messages of which one item is refused
	NoReply    float64       // share taken whose connection ends without an answer
	Endless    bool          // answers have no end
}

// Span is one that was taken, with who sent it.
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
	trouble  Faults
	rng      *rand.Rand
	spans    map[string]Span // by id: a message may come twice
	order    []string
	points   map[Series]Point
	messages int
	refused  int // items
	broken   int // calls that their callers broke off
	flaws    []string
}

// Start runs a collector behind listeners, until Close.
func Start(seed uint64, links ...*link.Link) *Collector {
	ctx, stop := context.WithCancel(context.Background())
	c := &Collector{links: links, stop: stop, rng: rand.New(rand.NewPCG(seed, 12)), spans: map[string]Span{}, points: map[Series]Point{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", c.take(c.takeTraces))
	mux.HandleFunc("POST /v1/metrics", c.take(c.takeMetrics))
	mux.HandleFunc("GET "+TracesPath, c.tell)
	mux.HandleFunc("POST /opentelemetry.proto.collector.trace.v1.TraceService/Export", c.takeCall(c.takeTraces))
	mux.HandleFunc("POST /opentelemetry.proto.collector.metrics.v1.MetricsService/Export", c.takeCall(c.takeMetrics))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	c.server = &http.Server{Handler: mux, Protocols: protocols, BaseContext: func(net.Listener) context.Context { return ctx }}
	for _, l := range links {
		c.wg.Go(func() { c.server.Serve(l) })
	}
	return c
}

// TracesPath is where people read what was taken: the stories whose id begins with the
// parameter id, as lines of OTLP's JSON.
const TracesPath = "/stories"

func (c *Collector) tell(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	c.Write(w, r.URL.Query().Get("id")) // an error means that the reader has left
}

// Write writes the stories whose id begins so as lines of OTLP's JSON, one for each
// process.
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

// Close ends it with all connections.
func (c *Collector) Close() {
	c.stop()
	c.server.Close()
	for _, l := range c.links {
		l.Close()
	}
	c.wg.Wait()
}

// Address returns where a caller finds it.
func (c *Collector) Address(peer string) string { return link.AddressFor(c.links, peer) }

// Links returns the sockets, for faults of the network.
func (c *Collector) Links() []*link.Link { return c.links }

// SetFaults replaces what goes wrong from now on.
func (c *Collector) SetFaults(t Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trouble = t
}

// draw returns the present trouble, and what of it strikes the next message.
func (c *Collector) draw() (t Faults, refuse, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trouble, c.rng.Float64() < c.trouble.Refuse, c.rng.Float64() < c.trouble.NoReply
}

// endless writes an answer that has no end, until its reader has left.
func endless(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := w.Write(make([]byte, 1<<10)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		wait.For(r.Context(), endlessGap)
	}
}

// take answers one message.
func (c *Collector) take(keep func(body []byte, refuse bool) (refused int, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t, refuse, lost := c.draw()
		body, err := read(r)
		switch {
		case errors.Is(err, errBrokenOff):
			c.brokeOff()
			panic(http.ErrAbortHandler)
		case err != nil:
			c.flaw("a message that can't be read: %v", err)
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
		refused, err := keep(body, refuse)
		if err != nil {
			c.flaw("a message that can't be decoded: %v", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if lost {
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

// reply is an export's response: empty, or with partial_success (field 1) whose
// field 1 is how many items were refused, alike for all signals.
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
	body, err := bodyOf(r)
	if err != nil {
		return nil, err
	}
	switch got := r.Header.Get("Content-Encoding"); got {
	case "":
		return body, nil
	case "gzip":
		return unpack(body)
	default:
		return nil, fmt.Errorf("content encoding %q", got)
	}
}

// errBrokenOff is what a body comes to that its caller did not send to its end. That
// breaks nothing: a caller may give up, and an exporter that ends does so.
var errBrokenOff = errors.New("it was broken off")

// bodyOf reads a body as it came. Danger: one that was broken off must be told from one
// that came whole and makes no sense, so nothing is unpacked before all of it is there.
func bodyOf(r *http.Request) ([]byte, error) {
	body, err := whole(r.Body)
	if err != nil && !errors.Is(err, errTooLong) {
		err = fmt.Errorf("%w: %w", errBrokenOff, err)
	}
	return body, err
}

func unpack(packed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	return whole(z)
}

var errTooLong = fmt.Errorf("more than %d bytes", mostMessage)

func whole(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, mostMessage+1))
	if len(text) > mostMessage {
		return nil, errTooLong
	}
	return text, err
}

// takeTraces takes an ExportTraceServiceRequest, which is on the wire what TracesData is.
func (c *Collector) takeTraces(body []byte, refuse bool) (refused int, err error) {
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
					c.flawLocked("span %q: %s", s.Name, f)
				}
				id := hex.EncodeToString(s.SpanId)
				if _, here := c.spans[id]; !here {
					c.order = append(c.order, id)
				}
				c.spans[id] = Span{s, instance, rs.Resource}
			}
		}
	}
	return refused, nil
}

// takeMetrics takes an ExportMetricsServiceRequest, which is on the wire what MetricsData is.
func (c *Collector) takeMetrics(body []byte, refuse bool) (refused int, err error) {
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
				for _, f := range c.takeMetric(instance, metric) {
					c.flawLocked("metric %s of %s: %s", metric.Name, instance, f)
				}
			}
		}
	}
	return refused, nil
}

func (c *Collector) flaw(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flawLocked(format, a...)
}

func (c *Collector) flawLocked(format string, a ...any) {
	if len(c.flaws) < mostFlaws {
		c.flaws = append(c.flaws, fmt.Sprintf(format, a...))
	}
}

func (c *Collector) brokeOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

// Aborted is how many calls their callers broke off before they had come whole.
func (c *Collector) Aborted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// Flaws are what broke the specification's rules.
func (c *Collector) Flaws() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.flaws)
}

// Counts are how many messages were taken, and how many items of them refused.
func (c *Collector) Counts() (messages, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messages, c.refused
}

// Spans are all that were taken, each once, in the order in which they came.
func (c *Collector) Spans() (list []Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.order {
		list = append(list, c.spans[id])
	}
	return list
}

// Trace are the spans of the stories whose id begins so.
func (c *Collector) Trace(id string) (list []Span) {
	for _, s := range c.Spans() {
		if strings.HasPrefix(hex.EncodeToString(s.TraceId), strings.ToLower(id)) {
			list = append(list, s)
		}
	}
	return list
}
