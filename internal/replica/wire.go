package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/raft"
)

// transport is raft's transport, with what the library leaves out where voters come and go.
//
// Danger: a change of the voters is agreed on by a majority, and the others may not have it yet. The library
// has a voter turn down a candidate that its own, older list lacks, so that one voter that was taken out can't
// disturb the rest. Say v2 was added by v0 and v2 alone and v0 dies: v1 does not know v2 and refuses it, its
// own log is too short to win, and no leader comes till v0 is back. Raft itself lets a voter vote for one it
// does not know (Ongaro's dissertation, 4.2.2, gives this very case). Who was taken out disturbs nobody all
// the same: it asks first (pre-vote), and whoever hears a leader says no.
type transport struct {
	*raft.NetworkTransport

	mu        sync.Mutex
	positions map[raft.ServerID]position // what each voter said it has, to this one as leader
	changed   chan struct{}              // closed when held changes
}

// position is the last entry that a voter has of the leader's log, as the leader of a term was told.
type position struct{ term, index uint64 }

func newTransport(t *raft.NetworkTransport) *transport {
	return &transport{NetworkTransport: t, positions: map[raft.ServerID]position{}, changed: make(chan struct{})}
}

// RequestVote leaves the candidate's name out, by which the library would look it up in the list of voters.
func (w *transport) RequestVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	nameless := *request
	nameless.ID = nil
	return w.NetworkTransport.RequestVote(id, to, &nameless, response)
}

// RequestPreVote gives the name of the voter that is asked, the one that its list surely has: this call's name is
// read for nothing but that look-up, and one without a name is turned down.
func (w *transport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	known := *request
	known.ID = []byte(id)
	return w.NetworkTransport.RequestPreVote(id, to, &known, response)
}

// AppendEntries notes what the voter that answers has now.
func (w *transport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	err := w.NetworkTransport.AppendEntries(id, to, request, response)
	if err != nil || !response.Success {
		return err
	}
	has := position{request.Term, request.PrevLogEntry}
	if n := len(request.Entries); n > 0 {
		has.index = request.Entries[n-1].Index
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Danger: what was said to this one in an earlier lead may have been cut back since.
	if was := w.positions[id]; has.term > was.term || has.term == was.term && has.index > was.index {
		w.positions[id] = has
		close(w.changed)
		w.changed = make(chan struct{})
	}
	return nil
}

// lagging tells which of these voters are not known to have an entry, and returns what is closed when one moves.
func (w *transport) lagging(ids []raft.ServerID, at position) (names []string, moved <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if has := w.positions[id]; has.term < at.term || has.term == at.term && has.index < at.index {
			names = append(names, string(id))
		}
	}
	slices.Sort(names)
	return names, w.changed
}

// awaitPosition waits until all of these voters have an entry, and returns those that lack it when the time is over.
func (w *transport) awaitPosition(ctx context.Context, ids []raft.ServerID, at position) []string {
	for {
		names, moved := w.lagging(ids, at)
		if len(names) == 0 {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return names
		}
	}
}
