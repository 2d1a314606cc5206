package records

// Limits of what is accepted and stored.
const (
	MaxRecords       = 1 << 16  // records of a state
	MaxStateBytes    = 16 << 20 // keys and values of a state, in bytes
	MaxOperations    = 10_000   // operations of a change
	MaxNameBytes     = 128      // of a record's name, and of any name in a value
	MaxValueBytes    = 4 << 10  // of a record's value in canonical form
	MaxTextBytes     = 1 << 10  // of a change's message
	MaxLogChanges    = 4096     // changes in a store's log; the oldest are compacted
	MaxLogBytes      = 4 << 20  // of the log's keys and texts; the oldest are compacted
	MaxCachedResults = 1024     // idempotency keys whose results are cached
	MaxDeltaBytes    = 1 << 20  // of a response's delta before compression; beyond it a replica repairs by ranges
)

// recordOverhead is an estimate of the encoding overhead of a record in bytes. It is added to the size of key and
// value where encoded sizes are limited.
const recordOverhead = 48
