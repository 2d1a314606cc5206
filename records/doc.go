// Package records implements a site's configuration as typed, keyed records (routes, tenants, plans and services)
// under one monotonic version, and the replication of every change to many gateways.
//
// It consists of pure state machines. A [Store] is the authoritative copy: it applies changes in the order of a
// replicated log and has a bounded log of the changed keys. A [Replica] is a gateway's complete copy at one version.
// A [Follower] decides what a gateway requests, when and from which server. If no [Delta] is available, a [Repair]
// compares the digests of hash ranges and fetches the ranges that differ.
//
// The package does no I/O: it opens no socket or file, starts no goroutine and reads no clock. Package recordsync
// drives followers, and package replica replicates the store. The desired state of processes is in packages fleet
// and revisions.
//
// # Concurrency
//
// No type of the package is safe for concurrent use or locks anything: each Store and each Replica belongs to one
// goroutine, or is guarded by a lock of its owner. A Follower owns the Replica with which it was created, and a
// Repair the ranges that it has staged. Both read the replica, and only they write it.
//
// A caller must not
//   - modify a Record, a Value or a list that a method returned: states share them,
//   - modify a Replica that a Follower owns, or pass a Repair another Replica than the one with which it was created,
//   - apply changes in another order than that of the log, or at versions that other stores of the site do not use:
//     the results must be the same in all of them,
//   - act on a version before its Persist action has completed, if a restart must not return to an earlier version,
//   - compare error texts: errors wrap the sentinels ErrVersion, ErrCompacted, ErrFuture, ErrGap, ErrStale,
//     ErrDigest, ErrMessage, ErrSnapshot and ErrJournal, and a rejected change is a Result, not an error.
//
// # Files
//
// Start with key.go, value.go and change.go (records and changes), store.go and evaluate.go (how a change is
// applied), delta.go, replica.go and changes.go (how it is replicated), and follower.go (when). The rest:
//
//	state.go, draft.go, digest.go    immutable content in hash ranges, and its digest
//	change_log.go, result_cache.go   a store's log and its cached results
//	key_changes.go                   the history of single records
//	ranges.go, range_list.go         digests and content of hash ranges
//	repair.go                        a replica built from hash ranges
//	follower_*.go                    requests, responses, events and status
//	servers.go, budget.go, jitter.go server selection, rate limit and jitter
//	codec.go, compress.go, bounded_list.go  messages on the wire
//	snapshot.go, journal.go          files of a store and of a replica
//	limits.go                        limits of what is accepted and stored
package records
