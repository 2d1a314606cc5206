package replica

import (
	"errors"
	"strings"
	"testing"

	"elderyard/fleet"
	"elderyard/internal/testwait"
)

// TestNonVoter adds a replica without a vote: it follows the log, and counts for no majority.
func TestNonVoter(t *testing.T) {
	t.Parallel()
	n, list := startThree(t)
	replica := newVoter(t, n, "r0")
	testwait.Must(t, replica.start(t))
	testwait.Until(t, testTimeout, "the replica is added", func() bool {
		_, err := leader(t, list).store.AddNonVoter(replica.name, replica.address)
		return err == nil
	})
	if _, err := leader(t, list).store.AddNonVoter(list[0].name, list[0].address); !errors.Is(err, ErrIsVoter) || !strings.Contains(err.Error(), "is a voter") {
		t.Fatalf("demotion of a voter: %v", err)
	}
	commit(t, list, command("1", 0, "a"))
	testwait.Until(t, testTimeout, "the replica has the revision", func() (has bool) {
		replica.store.View(func(s *fleet.State) { r, found := s.Head(); has = found && r.Number == 1 })
		return has
	})
	members, err := replica.store.Members()
	testwait.Must(t, err)
	if len(members) != 4 || !members[0].NonVoter || members[0].Name != replica.name {
		t.Fatalf("%+v", members)
	}

	// With two of three voters gone there is no leader, replica or not.
	var left *voter
	for _, v := range list {
		if left == nil {
			left = v
			continue
		}
		v.stop()
	}
	testwait.Until(t, testTimeout, "no leader", func() bool { return !left.store.IsLeader() && left.store.VerifyLeader() != nil })
	if replica.store.IsLeader() {
		t.Fatal("a replica without a vote leads")
	}
}

// TestOnlyVoterIsNotRemoved: the only voter can't be removed, though a replica remains.
func TestOnlyVoterIsNotRemoved(t *testing.T) {
	t.Parallel()
	n, list := startSeparate(t)
	replica := newVoter(t, n, "r0")
	testwait.Must(t, replica.start(t))
	change, err := list[0].store.AddNonVoter(replica.name, replica.address)
	testwait.Must(t, err)
	expectNoneLagging(t, list[0], change)
	if _, err := list[0].store.Remove(list[0].name); !errors.Is(err, ErrOnlyVoter) || !strings.Contains(err.Error(), "only voter") {
		t.Fatalf("removal of the only voter: %v", err)
	}
	_, err = list[0].store.Remove(replica.name)
	testwait.Must(t, err)
}
