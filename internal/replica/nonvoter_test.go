package replica

import (
	"context"
	"strings"
	"testing"

	"elderyard/fleet"
)

// TestNonVoter adds a replica without a vote: it follows the log, no majority
// needs it, and it makes no majority up.
func TestNonVoter(t *testing.T) {
	t.Parallel()
	n, list := three(t)
	replica := newVoter(t, n, "r0")
	must(t, replica.start(t))
	until(t, "the replica is added", func() bool {
		_, err := leader(t, list).store.AddNonVoter(replica.name, replica.address)
		return err == nil
	})
	if _, err := leader(t, list).store.AddNonVoter(list[0].name, list[0].address); err == nil || !strings.Contains(err.Error(), "is a voter") {
		t.Fatalf("a voter is demoted: %v", err)
	}
	agree(t, list, command("1", 0, "a"))
	until(t, "the replica has it", func() (has bool) {
		replica.store.View(func(s *fleet.State) { r, found := s.Head(); has = found && r.Number == 1 })
		return has
	})
	members, err := replica.store.Members()
	must(t, err)
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
	until(t, "no leader", func() bool { return !left.store.IsLeader() && left.store.VerifyLeader() != nil })
	if replica.store.IsLeader() {
		t.Fatal("a replica without a vote leads")
	}
}

// TestLastVoterStays refuses to take the only voter out, though a replica stays.
func TestLastVoterStays(t *testing.T) {
	t.Parallel()
	n, list := apart(t)
	replica := newVoter(t, n, "r0")
	must(t, replica.start(t))
	change, err := list[0].store.AddNonVoter(replica.name, replica.address)
	must(t, err)
	if lacking, err := list[0].store.LaggingVoters(context.Background(), change); err != nil || lacking != nil {
		t.Fatalf("%v lack it, %v", lacking, err)
	}
	if _, err := list[0].store.Remove(list[0].name); err == nil || !strings.Contains(err.Error(), "only voter") {
		t.Fatalf("the only voter was taken out: %v", err)
	}
	_, err = list[0].store.Remove(replica.name)
	must(t, err)
}
