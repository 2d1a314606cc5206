package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"

	"elderyard/internal/telemetry"
	"elderyard/rules"
	"elderyard/traces"
)

const (
	parentHeader = "Traceparent"
	stateHeader  = "Tracestate"
)

// beginTrace begins the trace of a request: it joins the client's where that sent a valid
// context, else the one that the request's key stands for, else it starts a new one. The headers
// for the backend follow it.
func (f *frontend) beginTrace(x *exchange) *traces.Begin {
	h := x.header
	client, valid := traces.ParseContext(h[parentHeader], h[stateHeader])
	key := h.Get(keyHeader)
	self := client
	binary.BigEndian.PutUint64(self.Span[:], max(rand.Uint64(), 1))
	if !valid {
		self.State = ""
		if key != "" {
			self.Trace = traces.TraceIDFromKey(uint64(x.ask.Customer), key)
		} else {
			binary.BigEndian.PutUint64(self.Trace[:8], max(rand.Uint64(), 1))
			binary.BigEndian.PutUint64(self.Trace[8:], rand.Uint64())
		}
		self.Sampled = traces.InSample(self.Trace, f.loop.share)
	}
	delete(h, stateHeader)
	if self.State != "" {
		h[stateHeader] = []string{self.State}
	}
	return &traces.Begin{Context: client, Self: self, Client: x.id, Class: x.ask.Class, Plan: x.ask.Plan,
		Units: x.ask.Units, Method: x.method, Key: key != "", Repeated: x.ask.IsRetry, Sent: x.ask.SentAt}
}

// recordEvent records an event of a request that is traced.
func (l *Loop) recordEvent(x *exchange, e traces.Event) {
	if x.trace == nil {
		return
	}
	e.Begin, e.At = x.trace, l.Clock.Now()
	l.telemetry.Record(e)
}

// recordAttempt records an attempt, and gives it the trace context that is sent with it.
func (l *Loop) recordAttempt(a *attempt, paid float64) {
	if a.x.trace == nil {
		return
	}
	at := a.x.trace.Self
	binary.BigEndian.PutUint64(at.Span[:], max(rand.Uint64(), 1))
	a.context = at.Parent()
	b := l.names[a.backend]
	l.recordEvent(a.x, traces.Event{Kind: traces.Sent, Attempt: a.number, Span: at.Span, Backend: b.name, Zone: b.zone, Paid: paid})
}

// figures returns the module's figures for the exporter.
func (l *Loop) figures(ctx context.Context) (f telemetry.Figures, err error) {
	f.Stats, f.Calls, err = l.Stats(ctx)
	return f, err
}

// answered is the event of a final answer.
func answered(a answer) traces.Event {
	return traces.Event{Kind: traces.Answered, Status: a.status, Reason: a.why, Paid: a.paid, RetryAfter: a.retryAfter}
}

// deployed sets what traces need to know of a deployment.
func deployed(set *traces.Settings, classes []rules.Class, names, plans []string) {
	set.Classes, set.Plans = names, plans
	for _, c := range classes {
		set.LatencyTargets = append(set.LatencyTargets, c.LatencyObjective)
	}
}
