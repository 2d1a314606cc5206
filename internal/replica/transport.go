package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/raft"
)

// transport is raft's network transport with two additions for configuration changes: it obtains votes from voters
// whose configuration lacks the candidate, and it tracks the log positions that other voters acknowledge.
//
// A configuration change is committed by a majority, and the other voters may not have it yet. In the library, a voter
// rejects a candidate that is not in its own configuration, so that a removed voter can't disrupt the others. Suppose
// v0 adds v2, only v2 acknowledges the change, and v0 fails: v1 rejects v2, which is not in its configuration, v1's log
// is too short to win, and there is no leader until v0 returns. The raft protocol lets a voter vote for a candidate
// that is not in its configuration (Ongaro's dissertation, section 4.2.2, describes this case). A removed voter still
// disrupts nobody: its candidacy begins with a pre-vote, which every voter that has a leader rejects.
type transport struct {
	*raft.NetworkTransport

	mu        sync.Mutex
	positions map[raft.ServerID]position // last position that each voter acknowledged to this leader
	changed   chan struct{}              // closed at the next change of positions
}

// position identifies the last entry that a voter's log shares with the log of the leader of a term.
type position struct{ term, index uint64 }

// before reports whether a log at position p lacks the entry at other.
func (p position) before(other position) bool {
	return p.term < other.term || p.term == other.term && p.index < other.index
}

// newTransport wraps a network transport.
func newTransport(network *raft.NetworkTransport) *transport {
	return &transport{NetworkTransport: network, positions: map[raft.ServerID]position{}, changed: make(chan struct{})}
}

// RequestVote requests a vote. It omits the candidate's ID: the receiver would look it up in its configuration.
func (t *transport) RequestVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	withoutID := *request
	withoutID.ID = nil
	return t.NetworkTransport.RequestVote(id, to, &withoutID, response)
}

// RequestPreVote requests a pre-vote with the receiver's own ID, which its configuration always contains. The receiver
// uses the ID of this RPC for that lookup alone, and rejects an RPC without an ID.
func (t *transport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	withReceiverID := *request
	withReceiverID.ID = []byte(id)
	return t.NetworkTransport.RequestPreVote(id, to, &withReceiverID, response)
}

// AppendEntries sends entries to a voter, and records the position that it acknowledges.
func (t *transport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	err := t.NetworkTransport.AppendEntries(id, to, request, response)
	if err != nil || !response.Success {
		return err
	}
	acknowledged := position{request.Term, request.PrevLogEntry}
	if n := len(request.Entries); n > 0 {
		acknowledged.index = request.Entries[n-1].Index
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// A higher term takes precedence over a higher index: entries acknowledged in an earlier term may have been
	// truncated.
	if t.positions[id].before(acknowledged) {
		t.positions[id] = acknowledged
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return nil
}

// lagging returns the names of the voters that have not acknowledged an entry, sorted, and a channel that is closed
// when a position changes.
func (t *transport) lagging(ids []raft.ServerID, at position) (names []string, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if t.positions[id].before(at) {
			names = append(names, string(id))
		}
	}
	slices.Sort(names)
	return names, t.changed
}

// awaitPosition waits until all of the voters have acknowledged an entry, and returns the names of those that have not
// when the context ends.
func (t *transport) awaitPosition(ctx context.Context, ids []raft.ServerID, at position) []string {
	for {
		names, changed := t.lagging(ids, at)
		if len(names) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return names
		}
	}
}
