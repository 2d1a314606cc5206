package replica

import (
	"errors"
	"slices"
	"testing"

	"elderyard/internal/testwait"
	"elderyard/revisions"
)

// TestMembersChange removes a voter and adds another. Only the leader can change the members.
func TestMembersChange(t *testing.T) {
	n, voters := startThree(t)
	leader := awaitLeader(t, voters)
	propose(t, leader.store, command("1", 0, "a"))
	removed := followers(voters, leader)[1]
	change, err := leader.store.Remove(removed.name)
	testwait.Must(t, err)
	expectNoneLagging(t, leader, change)
	if _, err := leader.store.Remove(removed.name); !errors.Is(err, ErrNotMember) {
		t.Fatalf("removal of a store that is not a member: %v", err)
	}
	added := newVoter(t, n, "v9")
	testwait.Must(t, added.start(t))
	addVoter(t, []*voter{leader}, added)
	testwait.Until(t, testTimeout, "the added voter has all entries", func() bool { return head(added.store).Number == 1 })
	members, err := leader.store.Members()
	if err != nil || len(members) != 3 || members[2].Name != "v9" {
		t.Fatalf("%v %+v", err, members)
	}
	for _, v := range voters {
		if _, err := added.store.AddVoter("x", "y"); v != leader && err == nil {
			t.Fatal("a follower added a voter")
		}
	}
}

// TestLeaderFailsBeforeAllHaveAddedVoter adds a voter while another one is partitioned, and stops the leader: only the
// added voter can lead, and the other one must vote for it although its configuration lacks it.
func TestLeaderFailsBeforeAllHaveAddedVoter(t *testing.T) {
	n, voters := startSeparate(t)
	addVoter(t, voters[:1], voters[1])
	propose(t, voters[0].store, command("1", 0, "a"))
	propose(t, voters[0].store, rolloutApplied(1))
	n.setPartition("v0", "v1", true)
	change, err := voters[0].store.AddVoter("v2", voters[2].address)
	testwait.Must(t, err)
	lagging, err := voters[0].store.LaggingVoters(t.Context(), change)
	if err != nil || !slices.Equal(lagging, []string{"v1"}) {
		t.Fatalf("%v lack the change, %v", lagging, err)
	}
	voters[0].stop()
	if m, err := voters[1].store.Members(); err != nil || len(m) != 2 {
		t.Fatalf("v1 has the configuration %v, %v: want one without v2", m, err)
	}
	if leader := awaitLeader(t, voters[1:]); leader != voters[2] {
		t.Fatalf("%s leads", leader.name)
	}
	if out := propose(t, voters[2].store, command("2", 1, "b")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	testwait.Until(t, testTimeout, "v1 has all entries", func() bool {
		m, err := voters[1].store.Members()
		return err == nil && len(m) == 3 && head(voters[1].store).Number == 2
	})
}
