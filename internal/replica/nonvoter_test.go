package replica

import (
	"errors"
	"strings"
	"testing"

	"elderyard/fleet"
	"elderyard/internal/testwait"
)

// TestNonVoter adds a non-voter: it replicates the log, and does not count towards a majority.
func TestNonVoter(t *testing.T) {
	t.Parallel()
	n, voters := startThree(t)
	nonVoter := newVoter(t, n, "r0")
	testwait.Must(t, nonVoter.start(t))
	testwait.Must(t, retryElections(t, func() error {
		_, err := awaitLeader(t, voters).store.AddNonVoter(nonVoter.name, nonVoter.address)
		return err
	}))
	err := retryElections(t, func() error {
		_, err := awaitLeader(t, voters).store.AddNonVoter(voters[0].name, voters[0].address)
		return err
	})
	if !errors.Is(err, ErrIsVoter) || !strings.Contains(err.Error(), "is a voter") {
		t.Fatalf("demotion of a voter: %v", err)
	}
	commit(t, voters, command("1", 0, "a"))
	testwait.Until(t, testTimeout, "the non-voter has the revision", func() (has bool) {
		nonVoter.store.View(func(s *fleet.State) { r, found := s.Head(); has = found && r.Number == 1 })
		return has
	})
	members, err := nonVoter.store.Members()
	testwait.Must(t, err)
	if len(members) != 4 || !members[0].NonVoter || members[0].Name != nonVoter.name {
		t.Fatalf("%+v", members)
	}

	// Without two of three voters there is no leader, although the non-voter runs.
	var remaining *voter
	for _, v := range voters {
		if remaining == nil {
			remaining = v
			continue
		}
		v.stop()
	}
	testwait.Until(t, testTimeout, "no leader", func() bool { return !remaining.store.IsLeader() && remaining.store.VerifyLeader() != nil })
	if nonVoter.store.IsLeader() {
		t.Fatal("a non-voter leads")
	}
}

// TestOnlyVoterIsNotRemoved: the only voter can't be removed, even if the site has a non-voter.
func TestOnlyVoterIsNotRemoved(t *testing.T) {
	t.Parallel()
	n, voters := startSeparate(t)
	nonVoter := newVoter(t, n, "r0")
	testwait.Must(t, nonVoter.start(t))
	change, err := voters[0].store.AddNonVoter(nonVoter.name, nonVoter.address)
	testwait.Must(t, err)
	expectNoneLagging(t, voters[0], change)
	if _, err := voters[0].store.Remove(voters[0].name); !errors.Is(err, ErrOnlyVoter) || !strings.Contains(err.Error(), "only voter") {
		t.Fatalf("removal of the only voter: %v", err)
	}
	_, err = voters[0].store.Remove(nonVoter.name)
	testwait.Must(t, err)
}
