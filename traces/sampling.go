package traces

import "encoding/binary"

// AlwaysSample selects traces that are exported whatever the sample ratio.
type AlwaysSample struct{ Failed, Refused, Late, Retried bool }

// randomTraceBits is how many low bits of a trace ID W3C asks to be random.
const randomTraceBits = 56

// InSample reports whether a trace belongs to the sample of the given ratio, from 0 to 1. It depends on the trace
// ID alone, so all processes decide alike.
func InSample(id TraceID, ratio float64) bool {
	const span = 1 << randomTraceBits
	return float64(binary.BigEndian.Uint64(id[8:])&(span-1)) < ratio*span
}

// samplingReason returns why a finished request's trace is exported, "" if it is not, and the ratio at which
// traces of its kind are sampled.
func (r *Recorder) samplingReason(b *Request) (reason string, ratio float64) {
	keep, trace := r.settings.AlwaysSample, &b.trace
	final := &trace.final
	answered := final.Kind != ClientDisconnected
	switch {
	case b.ParentContext.Sampled:
		return "client", 1
	case keep.Failed && answered && final.Status >= 500:
		return "failed", 1
	case keep.Refused && answered && (final.Status == 429 || final.Status == 503):
		return "refused", 1
	case keep.Late && answered && final.At-b.SentAt > r.settings.LatencyObjectives[b.Class]:
		return "late", 1
	case keep.Retried && (b.IsRetry || len(trace.attempts) > 1):
		return "repeated", 1
	case InSample(b.SpanContext.Trace, r.settings.SampleRatio):
		return "share", r.settings.SampleRatio
	}
	return "", 0
}
