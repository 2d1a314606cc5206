package replica

import (
	"errors"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/revisions"
)

// TestLeaderFailureLosesNothing: after the leader fails, the next one has all committed entries, and a retry of a
// request whose response was lost has no second effect.
func TestLeaderFailureLosesNothing(t *testing.T) {
	_, voters := startThree(t)
	first := awaitLeader(t, voters)
	propose(t, first.store, command("1", 0, "a"))
	first.stop()
	next := awaitLeader(t, voters)
	if r := head(next.store); r.Number != 1 {
		t.Fatalf("%+v", r)
	}
	// A retry of the same request, as after a lost response, creates no second revision.
	if out := propose(t, next.store, command("1", 0, "a")); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 1 {
		t.Fatalf("%+v", out)
	}
	propose(t, next.store, rolloutApplied(1))
	propose(t, next.store, command("2", 1, "b"))
	testwait.Must(t, first.start(t))
	testwait.Until(t, testTimeout, "the former leader has all entries", func() bool { return head(first.store).Number == 2 })
}

// TestRemovedVoterDisturbsNobody: a removed voter that did not receive its removal starts elections, which must not
// depose the leader.
func TestRemovedVoterDisturbsNobody(t *testing.T) {
	n, voters := startThree(t)
	leader := awaitLeader(t, voters)
	others := followers(voters, leader)
	removed, other := others[0], others[1]
	n.setPartition(leader.name, removed.name, true) // the voter does not receive its removal
	change, err := leader.store.Remove(removed.name)
	testwait.Must(t, err)
	expectNoneLagging(t, leader, change)
	term := leader.store.raft.CurrentTerm()
	testwait.Until(t, testTimeout, "the removed voter has no leader", func() bool { id, _ := removed.store.Leader(); return id == "" })
	n.setPartition(leader.name, removed.name, false)
	for range 10 {
		time.Sleep(heartbeat)
		testwait.Must(t, leader.store.VerifyLeader())
	}
	if now := leader.store.raft.CurrentTerm(); now != term || !leader.store.IsLeader() {
		t.Fatalf("term %d, %d before; leading: %v", now, term, leader.store.IsLeader())
	}
	if id, _ := other.store.Leader(); id != leader.name {
		t.Fatalf("the other voter follows %q", id)
	}
}

// TestMinorityAcceptsNothingAndServesReads: a leader that is partitioned from the other voters commits nothing, still
// serves its state, and has the majority's entries after the partition is healed.
func TestMinorityAcceptsNothingAndServesReads(t *testing.T) {
	n, voters := startThree(t)
	old := awaitLeader(t, voters)
	propose(t, old.store, command("1", 0, "a"))
	others := followers(voters, old)
	for _, v := range others {
		n.setPartition(old.name, v.name, true)
	}
	if _, err := old.store.Propose(t.Context(), rolloutApplied(1)); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority accepted a change: %v", err)
	}
	if err := old.store.VerifyLeader(); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority confirmed a leader: %v", err)
	}
	if head(old.store).Number != 1 {
		t.Fatal("the minority does not serve its state")
	}
	next := awaitLeader(t, others)
	propose(t, next.store, rolloutApplied(1))
	propose(t, next.store, command("2", 1, "b"))
	n.healAll()
	testwait.Until(t, testTimeout, "the minority has all entries", func() bool { return head(old.store).Number == 2 })
}
