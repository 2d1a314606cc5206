// Package records implements a site's configuration as typed, keyed records (routes,
// tenants, plans and services) under one version that only grows, and the replication of
// every change of them to many gateways.
//
// It consists of pure state machines. A [Store] is the authority: it applies changes
// in the order of a replicated log and has a bounded log of what changed. A [Replica]
// is one gateway's complete copy at one version. A [Follower] decides when a gateway
// requests what from which server, and a [Repair] collects by ranges of keys what a
// [Delta] cannot bring.
//
// The package is not for I/O: it opens no socket or file, starts no goroutine and
// reads no clock; package recordsync does these for followers, and package replica
// replicates the store. It is not for the desired state of processes either, which
// is in packages fleet and revisions.
//
// # Ownership
//
// Each Store and each Replica belongs to one goroutine, or to one lock of its owner.
// No type of the package locks anything, and none may be used by several goroutines at
// once. A Follower owns the Replica that it is made with, a Repair the ranges that it
// has staged; both read the replica and only they write it.
//
// A caller must not
//   - change a Record, a Value or a list that a method returned: states share them,
//   - change a Replica that a Follower has, or pass a Repair another Replica than the
//     one that it began with,
//   - apply changes in another order than that of the log, or at versions that other
//     stores of the site do not use: the results must be the same everywhere,
//   - act on a version before the Persist action for it is done, where a restart must
//     not go back behind that version,
//   - compare error texts: errors wrap the sentinels ErrVersion, ErrCompacted,
//     ErrFuture, ErrGap, ErrBehind, ErrDigest, ErrMessage, ErrSnapshot and ErrJournal,
//     and a rejected change is a Result, not an error.
//
// # Files
//
// A newcomer reads key.go, value.go and change.go (what a record and a change are),
// store.go and evaluate.go (how a change is applied), delta.go, replica.go and
// changes.go (how it reaches a copy), and follower.go (when it does). The rest:
//
//	state.go, draft.go, digest.go    immutable content in ranges, and its digest
//	change_log.go, result_cache.go   what a store remembers of earlier changes
//	key_changes.go                   the history of single records
//	ranges.go, range_list.go         digests and content by ranges of keys
//	repair.go                        a copy built from ranges
//	follower_*.go                    requests, responses, events and status
//	servers.go, budget.go, jitter.go which server, at what rate, at what time
//	codec.go, compress.go, bounded_list.go  messages on the wire
//	snapshot.go, journal.go          files of a store and of a replica
//	limits.go                        bounds of what is accepted and stored
package records
