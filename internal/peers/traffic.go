package peers

import "sync/atomic"

// Traffic counts what went over the sockets, and what was dropped and why.
type Traffic struct {
	PacketsIn   uint64 `json:"packets_in"`
	PacketsOut  uint64 `json:"packets_out"`
	BytesIn     uint64 `json:"bytes_in"`  // of datagrams and connections
	BytesOut    uint64 `json:"bytes_out"` // of datagrams and connections
	StreamsIn   uint64 `json:"streams_in"`
	StreamsOut  uint64 `json:"streams_out"`
	Foreign     uint64 `json:"foreign"`   // datagrams of another site, or of none
	Oversized   uint64 `json:"oversized"` // datagrams longer than any of ours
	Unsealed    uint64 `json:"unsealed"`  // datagrams and connections of another key, or spoilt
	QueueFull   uint64 `json:"crowded"`   // datagrams and connections that there was no room for
	RateLimited uint64 `json:"over"`      // datagrams not sent, over the bytes a second
}

type trafficCounters struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Uint64
	foreign, oversized, unsealed, queueFull, rateLimited            atomic.Uint64
}

func (t *trafficCounters) snapshot() Traffic {
	return Traffic{t.packetsIn.Load(), t.packetsOut.Load(), t.bytesIn.Load(), t.bytesOut.Load(), t.streamsIn.Load(), t.streamsOut.Load(),
		t.foreign.Load(), t.oversized.Load(), t.unsealed.Load(), t.queueFull.Load(), t.rateLimited.Load()}
}
