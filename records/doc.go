// Package records holds a site's configuration as typed, keyed records (routes,
// tenants, plans and services) under one version that only grows, and the means
// to bring every change of them to many gateways.
//
// A Store is the authority: a replicated state machine that applies changes in
// the order of a log and keeps a bounded log of what changed. A Replica is one
// gateway's whole copy at one version. A Follower decides when a gateway asks
// which server for what, and a Repair collects by ranges of keys what a delta
// cannot bring.
//
// The package does no I/O, starts no goroutine and reads no clock. None of its
// types may be used by several goroutines at once.
package records

// Bounds of what is accepted and kept.
const (
	MaxRecords    = 1 << 16  // records of a state
	MaxStateBytes = 16 << 20 // keys and values of a state, in bytes
	MaxOperations = 10_000   // operations of a change
	MaxNameBytes  = 128      // of a record's name, and of any name in a value
	MaxValueBytes = 4 << 10  // of a record's value in canonical form
	MaxTextBytes  = 1 << 10  // of a change's message
	MaxLogChanges = 4096     // changes kept in a store's log; the oldest are compacted
	MaxLogBytes   = 4 << 20  // of the log's keys and texts; the oldest are compacted
	MaxRequests   = 1024     // request keys whose results are remembered
	MaxDeltaBytes = 1 << 20  // of an answer's delta before compression; beyond it a replica repairs by ranges
)

// recordOverhead is what a record counts for beside its key and value, in bytes,
// where encoded sizes are bounded.
const recordOverhead = 48
