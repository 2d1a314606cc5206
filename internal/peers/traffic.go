package peers

import "sync/atomic"

// Traffic counts what was sent and received, and what was dropped by reason.
type Traffic struct {
	PacketsIn     uint64 `json:"packets_in"`
	PacketsOut    uint64 `json:"packets_out"`
	BytesIn       uint64 `json:"bytes_in"`  // of datagrams and connections
	BytesOut      uint64 `json:"bytes_out"` // of datagrams and connections
	StreamsIn     uint64 `json:"streams_in"`
	StreamsOut    uint64 `json:"streams_out"`
	Foreign       uint64 `json:"foreign"`   // datagrams without this site's label
	Oversized     uint64 `json:"oversized"` // datagrams longer than the limit
	Undecryptable uint64 `json:"unsealed"`  // datagrams and connections that could not be decrypted
	QueueFull     uint64 `json:"crowded"`   // datagrams beyond the queue, connections beyond the limit
	RateLimited   uint64 `json:"over"`      // datagrams not sent, beyond the rate limit
}

// trafficCounters are the counters behind Traffic. They outlive a transport.
type trafficCounters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Uint64
	foreign, oversized, unsealed, queueFull, rateLimited            atomic.Uint64
}

// snapshot returns the present counts.
func (t *trafficCounters) snapshot() Traffic {
	return Traffic{t.packetsIn.Load(), t.packetsOut.Load(), t.bytesIn.Load(), t.bytesOut.Load(), t.streamsIn.Load(), t.streamsOut.Load(),
		t.foreign.Load(), t.oversized.Load(), t.unsealed.Load(), t.queueFull.Load(), t.rateLimited.Load()}
}
