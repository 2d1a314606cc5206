// Package recordsync is the driver of package records over HTTP and disk: a [Handler]
// responds to followers from a store, and a [Follower] replicates the store to a complete
// copy on disk.
//
// The package has the sockets, the files and the timers. It is not for decisions: what a
// follower requests when and from which server, and whether a response is valid, is decided
// by records.Follower, and what a server responds by records.Store. Nor does it replicate the
// store itself (package replica does) or authenticate servers and followers: that is for the
// dialer and for the HTTP server that the handler is part of.
//
// # Ownership
//
// A Follower's replica, its records.Follower and its files belong to the goroutine of
// [Follower.Run]. The methods of Follower may be called from any goroutine, apart from Run,
// which is called once: they use a copy of the status behind a lock, or pass a message to Run.
// A Handler has no state but counters and a cache, and may serve any number of goroutines; its
// [Source] must be safe for that.
//
// A caller must not
//   - retain a replica or a store beyond the function that it is passed to,
//   - block in that function: Run or the source wait for it,
//   - open two followers with the same directory at the same time,
//   - open a follower and not run it: no request is sent, and its journal stays open.
//
// # Files
//
// A newcomer reads follower.go (the loop that carries out the actions of records.Follower)
// and handler.go (the server). disk.go has the files of the copy, client.go and query.go the
// requests, traffic.go the counters behind the budget, and response_cache.go the responses that
// many followers have in common.
package recordsync

// Paths of the handler, all for the method GET.
const (
	ChangesPath = "/v1/records/changes"        // since=VERSION, digest=HEX, wait_ms=MILLISECONDS: a records.ChangesResponse
	RangesPath  = "/v1/records/ranges"         // records.RangeDigests
	ContentPath = "/v1/records/ranges/content" // ranges=0-9,12, max_bytes=BYTES: a records.Chunk
)
