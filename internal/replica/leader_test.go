package replica

import (
	"errors"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/revisions"
)

func TestLeaderFailureLosesNothing(t *testing.T) {
	_, list := startThree(t)
	first := leader(t, list)
	propose(t, first.store, command("1", 0, "a"))
	first.stop()
	next := leader(t, list)
	if r := head(next.store); r.Number != 1 {
		t.Fatalf("%+v", r)
	}
	// The response was lost: the same request creates no second revision.
	if out := propose(t, next.store, command("1", 0, "a")); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 1 {
		t.Fatalf("%+v", out)
	}
	propose(t, next.store, rolloutApplied(1))
	propose(t, next.store, command("2", 1, "b"))
	testwait.Must(t, first.start(t))
	testwait.Until(t, testTimeout, "the former leader has all entries", func() bool { return head(first.store).Number == 2 })
}

// TestRemovedVoterDisturbsNobody: a removed voter that did not receive its removal must not depose the leader.
func TestRemovedVoterDisturbsNobody(t *testing.T) {
	n, list := startThree(t)
	l := leader(t, list)
	others := followers(list, l)
	removed, other := others[0], others[1]
	n.set(l.name, removed.name, true) // its removal does not reach it
	change, err := l.store.Remove(removed.name)
	testwait.Must(t, err)
	expectNoneLagging(t, l, change)
	term := l.store.raft.CurrentTerm()
	testwait.Until(t, testTimeout, "the removed voter has no leader", func() bool { id, _ := removed.store.Leader(); return id == "" })
	n.set(l.name, removed.name, false)
	for range 10 {
		time.Sleep(heartbeat)
		testwait.Must(t, l.store.VerifyLeader())
	}
	if now := l.store.raft.CurrentTerm(); now != term || !l.store.IsLeader() {
		t.Fatalf("term %d, %d before; leading: %v", now, term, l.store.IsLeader())
	}
	if id, _ := other.store.Leader(); id != l.name {
		t.Fatalf("the other follows %q", id)
	}
}

func TestMinorityAcceptsNothingAndServesReads(t *testing.T) {
	n, list := startThree(t)
	old := leader(t, list)
	propose(t, old.store, command("1", 0, "a"))
	others := followers(list, old)
	for _, v := range others {
		n.set(old.name, v.name, true)
	}
	if _, err := old.store.Propose(t.Context(), rolloutApplied(1)); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority accepted a change: %v", err)
	}
	if err := old.store.VerifyLeader(); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority confirmed a leader: %v", err)
	}
	if head(old.store).Number != 1 {
		t.Fatal("it does not serve its state")
	}
	next := leader(t, others)
	propose(t, next.store, rolloutApplied(1))
	propose(t, next.store, command("2", 1, "b"))
	n.healAll()
	testwait.Until(t, testTimeout, "the minority follows", func() bool { return head(old.store).Number == 2 })
}
