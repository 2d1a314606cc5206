package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/raft"
)

// transport is raft's transport with two additions for sites whose voters change: votes for candidates that a voter does
// not know, and the positions of the other voters.
//
// A change of the voters is committed by a majority, and the rest may not have it yet. The library has a voter reject a
// candidate that its own configuration lacks, so that a removed voter can't disturb the others. Say v0 adds v2 with the
// consent of v2 alone and fails: v1 does not know v2 and rejects it, v1's log is too short to win, and there is no leader
// until v0 returns. Raft itself lets a voter vote for a candidate that it does not know (Ongaro's dissertation, section
// 4.2.2, describes this case). A removed voter disturbs nobody all the same: its candidacy begins with a pre-vote, which
// every voter with a leader rejects.
type transport struct {
	*raft.NetworkTransport

	mu        sync.Mutex
	positions map[raft.ServerID]position // last position that each voter acknowledged to this one as leader
	changed   chan struct{}              // closed at the next change of positions
}

// position is the last entry that a voter's log shares with that of the leader of a term.
type position struct{ term, index uint64 }

// before reports whether a log at p lacks an entry at other.
func (p position) before(other position) bool {
	return p.term < other.term || p.term == other.term && p.index < other.index
}

func newTransport(network *raft.NetworkTransport) *transport {
	return &transport{NetworkTransport: network, positions: map[raft.ServerID]position{}, changed: make(chan struct{})}
}

// RequestVote requests a vote without the candidate's name, by which the receiver would look it up in its configuration.
func (t *transport) RequestVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	nameless := *request
	nameless.ID = nil
	return t.NetworkTransport.RequestVote(id, to, &nameless, response)
}

// RequestPreVote requests a pre-vote in the name of its receiver, which the receiver's configuration surely has. The name in
// this call is read for that look-up alone, and a call without a name is rejected.
func (t *transport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	known := *request
	known.ID = []byte(id)
	return t.NetworkTransport.RequestPreVote(id, to, &known, response)
}

// AppendEntries records the position that the voter acknowledges.
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
	// A higher term replaces a higher index: what a voter acknowledged in an earlier term may have been truncated since.
	if t.positions[id].before(acknowledged) {
		t.positions[id] = acknowledged
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return nil
}

// lagging returns which of the voters are not known to have an entry, by name, and a channel that is closed when a position
// changes.
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

// awaitPosition waits until all of the voters have an entry, and returns those that don't when the context ends.
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
