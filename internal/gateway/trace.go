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

// beginTrace starts the trace of a request. It joins the trace of the client's context if that is valid,
// else the one derived from the request's key, else a new one. It sets the headers for the backend accordingly.
func (f *frontend) beginTrace(ex *exchange) *traces.Request {
	header := ex.header
	client, valid := traces.ParseContext(header[parentHeader], header[stateHeader])
	key := header.Get(keyHeader)
	self := client
	binary.BigEndian.PutUint64(self.Span[:], max(rand.Uint64(), 1))
	if !valid {
		self.TraceState = ""
		if key != "" {
			self.Trace = traces.TraceIDFromKey(uint64(ex.request.Customer), key)
		} else {
			binary.BigEndian.PutUint64(self.Trace[:8], max(rand.Uint64(), 1))
			binary.BigEndian.PutUint64(self.Trace[8:], rand.Uint64())
		}
		self.Sampled = traces.InSample(self.Trace, f.loop.sampleRatio)
	}
	delete(header, stateHeader)
	if self.TraceState != "" {
		header[stateHeader] = []string{self.TraceState}
	}
	return &traces.Request{ParentContext: client, SpanContext: self, RequestID: ex.correlationID, Class: ex.request.Class, Plan: ex.request.Plan,
		Units: ex.request.Units, Method: ex.method, HasIdempotencyKey: key != "", IsRetry: ex.request.IsRetry, SentAt: ex.request.SentAt}
}

// recordEvent records an event of a traced request.
func (l *Loop) recordEvent(ex *exchange, e traces.Event) {
	if ex.trace == nil {
		return
	}
	e.Request, e.At = ex.trace, l.Clock.Now()
	l.telemetry.Record(e)
}

// recordAttempt records an attempt and sets the trace context that is sent with it.
func (l *Loop) recordAttempt(attempt *attempt, admittedAt float64) {
	if attempt.exchange.trace == nil {
		return
	}
	traceContext := attempt.exchange.trace.SpanContext
	binary.BigEndian.PutUint64(traceContext.Span[:], max(rand.Uint64(), 1))
	attempt.traceParent = traceContext.Traceparent()
	backend := l.readyBackends[attempt.backend]
	l.recordEvent(attempt.exchange, traces.Event{Kind: traces.AttemptStarted, Attempt: attempt.number, SpanID: traceContext.Span, Backend: backend.name, Zone: backend.zone, AdmittedAt: admittedAt})
}

// figures returns the decision module's statistics for the exporter.
func (l *Loop) figures(ctx context.Context) (figures telemetry.GatewayStats, err error) {
	figures.Stats, figures.CounterCalls, err = l.Stats(ctx)
	return figures, err
}

// responseEvent returns the event for a response.
func responseEvent(response response) traces.Event {
	return traces.Event{Kind: traces.FinalResponse, Status: response.status, Reason: response.reason, AdmittedAt: response.admittedAt, RetryAfter: response.retryAfter}
}

// setDeployment adds the deployment's classes and plans to the trace settings.
func setDeployment(settings *traces.Settings, classes []rules.Class, names, plans []string) {
	settings.Classes, settings.Plans = names, plans
	for _, class := range classes {
		settings.LatencyObjectives = append(settings.LatencyObjectives, class.LatencyObjective)
	}
}
