// Package recordsync is the driver of package records over HTTP and disk: a [Handler]
// responds to followers from a store, and a [Follower] maintains a complete replica of the
// store on disk.
//
// The package has the sockets, the files and the timers. It makes no decisions:
// records.Follower decides what a follower requests, when, and from which server, and whether a
// response is valid; records.Store decides what a server responds. The package does not
// replicate the store among voters, which package replica does. Nor does it authenticate
// servers and followers: the dialer and the HTTP server around the handler do.
//
// # Ownership
//
// A Follower's replica, its records.Follower and its files belong to the goroutine of
// [Follower.Run], which must be called once. All other methods are safe for concurrent use:
// they read a copy of the status under a lock, or send a message to Run. A Handler has no state
// but semaphores and a cache, and is safe for concurrent use if its [Source] is.
//
// A caller must not
//   - retain a replica or a store beyond the function that it is passed to,
//   - block in that function: Run or the source waits for it,
//   - open two followers with the same directory at the same time,
//   - open a follower without running it: no request is sent, and its journal stays open.
//
// # Files
//
// Start with follower.go (the loop that performs the actions of records.Follower) and
// handler.go (the server). disk.go has the files of the replica, client.go and query.go the
// requests, traffic.go the counters behind the traffic budget, and response_cache.go the cache
// of responses that many followers request.
package recordsync

// Paths of the handler, all for the method GET.
const (
	ChangesPath = "/v1/records/changes"        // since=VERSION, digest=HEX, wait_ms=MILLISECONDS: a records.ChangesResponse
	RangesPath  = "/v1/records/ranges"         // records.RangeDigests
	ContentPath = "/v1/records/ranges/content" // ranges=0-9,12, max_bytes=BYTES: a records.Chunk
)
