package fleet

import (
	"fmt"
	"testing"

	"elderyard/revisions"
	"elderyard/rollout"
)

func TestAcceptedCommandBeginsRollout(t *testing.T) {
	var s State
	if out := apply(t, &s, command("1", 0, "a")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	if r := s.Rollout(); r.New != 1 || r.Previous != 0 || r.State != rollout.Advancing || r.By != "ann" {
		t.Fatalf("%+v", r)
	}
	if out := apply(t, &s, command("2", 1, "b")); out.Result.Status != Busy || out.Result.Revision.Number != 1 {
		t.Fatalf("a second rollout during the first: %+v", out)
	}
	// A repeat gets its result again, busy or not.
	if out := apply(t, &s, command("1", 0, "a")); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 1 {
		t.Fatalf("%+v", out)
	}
	apply(t, &s, rolloutChange(1, rollout.Applied, "all have it"))
	if out := apply(t, &s, command("2", 1, "b")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	apply(t, &s, rolloutChange(2, rollout.RollingBack, "it broke"))
	apply(t, &s, rolloutChange(2, rollout.RolledBack, "all are back"))
	r := s.Rollout()
	if r.DesiredRevision() != 1 || r.Reason != "all are back" {
		t.Fatalf("%+v", r)
	}
	// The next one replaces the revision that runs, not the head.
	apply(t, &s, command("3", 2, "c"))
	if r := s.Rollout(); r.New != 3 || r.Previous != 1 {
		t.Fatalf("%+v", r)
	}
}

func TestLateRolloutChangeRevertsNothing(t *testing.T) {
	for _, test := range []struct{ current, late rollout.State }{
		{rollout.RollingBack, rollout.Advancing}, {rollout.RollingBack, rollout.Applied}, {rollout.RolledBack, rollout.PartlyApplied},
		{rollout.Applied, rollout.Advancing}, {rollout.PartlyRolledBack, rollout.RollingBack},
	} {
		var s State
		apply(t, &s, command("1", 0, "a"))
		apply(t, &s, rolloutChange(1, rollout.Applied, ""))
		apply(t, &s, command("2", 1, "b"))
		apply(t, &s, rolloutChange(2, test.current, "first"))
		if out := apply(t, &s, rolloutChange(2, test.late, "late")); out.Rejected == "" || s.Rollout().State != test.current {
			t.Errorf("%s after %s: %+v", test.late, test.current, s.Rollout())
		}
	}
	var s State
	apply(t, &s, command("1", 0, "a"))
	if out := apply(t, &s, rolloutChange(7, rollout.Applied, "")); out.Rejected == "" || s.Rollout().State != rollout.Advancing {
		t.Error("a change of another rollout was accepted")
	}
}

func TestPreviousRevisionOutlivesHistory(t *testing.T) {
	var s State
	apply(t, &s, command("0", 0, "good"))
	apply(t, &s, rolloutChange(1, rollout.Applied, ""))
	for i := range uint64(revisions.MaxRevisions + 5) {
		apply(t, &s, command(fmt.Sprint("x", i), i+1, fmt.Sprint("bad", i)))
		apply(t, &s, rolloutChange(i+2, rollout.RolledBack, ""))
	}
	if r, found := s.Revision(1); !found || r.Content.File != "good" || s.Rollout().DesiredRevision() != 1 {
		t.Fatalf("%v %+v", found, s.Rollout())
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
		t.Fatal("it is not in the snapshot")
	}
}
