package peers

import "sync/atomic"

// Traffic counts sent and received traffic, and dropped traffic by reason.
type Traffic struct {
	PacketsIn     uint64 `json:"packets_in"`
	PacketsOut    uint64 `json:"packets_out"`
	BytesIn       uint64 `json:"bytes_in"`  // of datagrams and connections
	BytesOut      uint64 `json:"bytes_out"` // of datagrams and connections
	StreamsIn     uint64 `json:"streams_in"`
	StreamsOut    uint64 `json:"streams_out"`
	Foreign       uint64 `json:"foreign"`   // datagrams without the label of this site
	Oversized     uint64 `json:"oversized"` // datagrams longer than the limit
	Undecryptable uint64 `json:"unsealed"`  // datagrams and connections that could not be decrypted
	QueueFull     uint64 `json:"crowded"`   // datagrams above packetQueueSize, connections above maxInboundStreams
	RateLimited   uint64 `json:"over"`      // datagrams dropped by the rate limit before they were sent
}

// trafficCounters are the counters behind Traffic. They persist across transports of one process.
type trafficCounters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Uint64
	foreign, oversized, undecryptable, queueFull, rateLimited       atomic.Uint64
}

// snapshot returns the current counts.
func (t *trafficCounters) snapshot() Traffic {
	return Traffic{t.packetsIn.Load(), t.packetsOut.Load(), t.bytesIn.Load(), t.bytesOut.Load(), t.streamsIn.Load(), t.streamsOut.Load(),
		t.foreign.Load(), t.oversized.Load(), t.undecryptable.Load(), t.queueFull.Load(), t.rateLimited.Load()}
}
