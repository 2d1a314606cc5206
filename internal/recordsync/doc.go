// Package recordsync moves records between the control machines and the gateways'
// agents: an HTTP handler answers from a store, and a follower keeps a whole copy
// up to date on disk. The decisions of a follower are those of package records;
// this package has the sockets, the file and the timers.
package recordsync

// The paths that the handler answers, all with GET.
const (
	ChangesPath = "/v1/records/changes"        // since=VERSION, digest=HEX, wait_ms=MILLISECONDS: an Answer
	RangesPath  = "/v1/records/ranges"         // RangeDigests
	ContentPath = "/v1/records/ranges/content" // ranges=0-9,12, max_bytes=BYTES: a Chunk
)
