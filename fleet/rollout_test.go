package fleet

import (
	"fmt"
	"testing"

	"elderyard/revisions"
	"elderyard/rollout"
)

// TestAcceptedCommandBeginsRollout checks that a command is Busy during a rollout, and that a rollout replaces the
// revision that the instances run rather than the head.
func TestAcceptedCommandBeginsRollout(t *testing.T) {
	var s State
	if outcome := apply(t, &s, command("1", 0, "a")); outcome.Result.Status != revisions.Accepted {
		t.Fatalf("first command: %+v", outcome)
	}
	if r := s.Rollout(); r.New != 1 || r.Previous != 0 || r.State != rollout.Advancing || r.By != "ann" {
		t.Fatalf("first rollout: %+v", r)
	}
	if outcome := apply(t, &s, command("2", 1, "b")); outcome.Result.Status != Busy || outcome.Result.Revision.Number != 1 {
		t.Fatalf("second command during the first rollout: %+v", outcome)
	}
	// A repeated command returns its first result even during a rollout.
	if outcome := apply(t, &s, command("1", 0, "a")); outcome.Result.Status != revisions.Accepted || outcome.Result.Revision.Number != 1 {
		t.Fatalf("repeated command: %+v", outcome)
	}
	apply(t, &s, rolloutChange(1, rollout.Applied, "all have it"))
	if outcome := apply(t, &s, command("2", 1, "b")); outcome.Result.Status != revisions.Accepted {
		t.Fatalf("second command after the first rollout: %+v", outcome)
	}
	apply(t, &s, rolloutChange(2, rollout.RollingBack, "it broke"))
	apply(t, &s, rolloutChange(2, rollout.RolledBack, "all are back"))
	r := s.Rollout()
	if r.DesiredRevision() != 1 || r.Reason != "all are back" {
		t.Fatalf("after the rollback: %+v", r)
	}
	// The next rollout replaces the revision that the instances run, not the head.
	apply(t, &s, command("3", 2, "c"))
	if r := s.Rollout(); r.New != 3 || r.Previous != 1 {
		t.Fatalf("third rollout: %+v", r)
	}
}

// TestStaleRolloutChangeIsRejected checks that a change proposed by a leader that has lost its leadership neither turns
// a rollback into an advance nor restarts a rollout that has ended.
func TestStaleRolloutChangeIsRejected(t *testing.T) {
	for _, test := range []struct{ current, stale rollout.State }{
		{rollout.RollingBack, rollout.Advancing}, {rollout.RollingBack, rollout.Applied}, {rollout.RolledBack, rollout.PartlyApplied},
		{rollout.Applied, rollout.Advancing}, {rollout.PartlyRolledBack, rollout.RollingBack},
	} {
		var s State
		apply(t, &s, command("1", 0, "a"))
		apply(t, &s, rolloutChange(1, rollout.Applied, ""))
		apply(t, &s, command("2", 1, "b"))
		apply(t, &s, rolloutChange(2, test.current, "first"))
		if outcome := apply(t, &s, rolloutChange(2, test.stale, "late")); outcome.Rejected == "" || s.Rollout().State != test.current {
			t.Errorf("change to %q in state %q: %+v", test.stale, test.current, s.Rollout())
		}
	}
	var s State
	apply(t, &s, command("1", 0, "a"))
	if outcome := apply(t, &s, rolloutChange(7, rollout.Applied, "")); outcome.Rejected == "" || s.Rollout().State != rollout.Advancing {
		t.Error("a change of another rollout was accepted")
	}
}

// TestPreviousRevisionOutlivesHistory guards against the loss of the revision that the instances run: when more
// revisions are rolled back in a row than the history holds, it is dropped from the history but still needed.
func TestPreviousRevisionOutlivesHistory(t *testing.T) {
	var s State
	apply(t, &s, command("0", 0, "good"))
	apply(t, &s, rolloutChange(1, rollout.Applied, ""))
	for i := range uint64(revisions.MaxRevisions + 5) {
		apply(t, &s, command(fmt.Sprint("x", i), i+1, fmt.Sprint("bad", i)))
		apply(t, &s, rolloutChange(i+2, rollout.RolledBack, ""))
	}
	if r, found := s.Revision(1); !found || r.Content.File != "good" || s.Rollout().DesiredRevision() != 1 {
		t.Fatalf("revision 1 found: %v, rollout %+v", found, s.Rollout())
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(text); err != nil {
		t.Fatal(err)
	}
	if _, found := restored.Revision(1); !found {
		t.Fatal("revision 1 is not in the snapshot")
	}
}
