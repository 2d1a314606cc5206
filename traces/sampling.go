package traces

import "encoding/binary"

// AlwaysSample selects the outcomes of requests whose traces are exported regardless of the sample ratio.
type AlwaysSample struct{ Failed, Refused, Late, Retried bool }

// randomTraceBits is the number of low bits of a trace ID that the W3C recommendation requires to be random.
const randomTraceBits = 56

// InSample reports whether a trace belongs to the sample of the given ratio, from 0 to 1. The result depends only on
// the trace ID, so all processes make the same decision.
func InSample(id TraceID, ratio float64) bool {
	const idRange = 1 << randomTraceBits
	return float64(binary.BigEndian.Uint64(id[8:])&(idRange-1)) < ratio*idRange
}

// samplingReason returns why the trace of a finished request is exported, "" if it is discarded, and the ratio at
// which traces with that reason are sampled.
func (r *Recorder) samplingReason(req *Request) (reason string, ratio float64) {
	always, trace := r.settings.AlwaysSample, &req.trace
	final := &trace.final
	answered := final.Kind != ClientDisconnected
	switch {
	case req.ParentContext.Sampled:
		return "client", 1
	case always.Failed && answered && final.Status >= 500:
		return "failed", 1
	case always.Refused && answered && (final.Status == 429 || final.Status == 503):
		return "refused", 1
	case always.Late && answered && final.At-req.SentAt > r.settings.LatencyObjectives[req.Class]:
		return "late", 1
	case always.Retried && (req.IsRetry || len(trace.attempts) > 1):
		return "repeated", 1
	case InSample(req.SpanContext.Trace, r.settings.SampleRatio):
		return "share", r.settings.SampleRatio
	}
	return "", 0
}
