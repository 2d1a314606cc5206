package replica

import (
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/raft"
)

// wire is raft's transport, with what the library leaves out where voters come and go.
//
// Danger: a change of the voters is agreed on by a majority, and the others may not have it yet. The library
// has a voter turn down a candidate that its own, older list lacks, so that one voter that was taken out can't
// disturb the rest. Say v2 was added by v0 and v2 alone and v0 dies: v1 does not know v2 and refuses it, its
// own log is too short to win, and no leader comes till v0 is back. Raft itself lets a voter vote for one it
// does not know (Ongaro's dissertation, 4.2.2, gives this very case). Who was taken out disturbs nobody all
// the same: it asks first (pre-vote), and whoever hears a leader says no.
type wire struct {
	*raft.NetworkTransport

	mu    sync.Mutex
	held  map[raft.ServerID]position // what each voter said it has, to this one as leader
	moved chan struct{}              // closed when held changes
}

// position is the last entry that a voter has of the leader's log, as the leader of a term was told.
type position struct{ term, index uint64 }

func newWire(t *raft.NetworkTransport) *wire {
	return &wire{NetworkTransport: t, held: map[raft.ServerID]position{}, moved: make(chan struct{})}
}

// RequestVote leaves the candidate's name out, by which the library would look it up in the list of voters.
func (w *wire) RequestVote(id raft.ServerID, to raft.ServerAddress, ask *raft.RequestVoteRequest, got *raft.RequestVoteResponse) error {
	nameless := *ask
	nameless.ID = nil
	return w.NetworkTransport.RequestVote(id, to, &nameless, got)
}

// RequestPreVote gives the name of the voter that is asked, the one that its list surely has: this call's name is
// read for nothing but that look-up, and one without a name is turned down.
func (w *wire) RequestPreVote(id raft.ServerID, to raft.ServerAddress, ask *raft.RequestPreVoteRequest, got *raft.RequestPreVoteResponse) error {
	known := *ask
	known.ID = []byte(id)
	return w.NetworkTransport.RequestPreVote(id, to, &known, got)
}

// AppendEntries notes what the voter that answers has now.
func (w *wire) AppendEntries(id raft.ServerID, to raft.ServerAddress, ask *raft.AppendEntriesRequest, got *raft.AppendEntriesResponse) error {
	err := w.NetworkTransport.AppendEntries(id, to, ask, got)
	if err != nil || !got.Success {
		return err
	}
	has := position{ask.Term, ask.PrevLogEntry}
	if n := len(ask.Entries); n > 0 {
		has.index = ask.Entries[n-1].Index
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Danger: what was said to this one in an earlier lead may have been cut back since.
	if was := w.held[id]; has.term > was.term || has.term == was.term && has.index > was.index {
		w.held[id] = has
		close(w.moved)
		w.moved = make(chan struct{})
	}
	return nil
}

// lacking tells which of these voters are not known to have an entry, and returns what is closed when one moves.
func (w *wire) lacking(ids []raft.ServerID, at position) (names []string, moved <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if has := w.held[id]; has.term < at.term || has.term == at.term && has.index < at.index {
			names = append(names, string(id))
		}
	}
	slices.Sort(names)
	return names, w.moved
}

// settled waits until all of these voters have an entry, and returns those that lack it when the time is over.
func (w *wire) settled(ctx context.Context, ids []raft.ServerID, at position) []string {
	for {
		names, moved := w.lacking(ids, at)
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
