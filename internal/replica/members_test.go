package replica

import (
	"errors"
	"slices"
	"testing"

	"elderyard/internal/testwait"
	"elderyard/revisions"
)

func TestMembersChange(t *testing.T) {
	n, list := startThree(t)
	l := leader(t, list)
	propose(t, l.store, command("1", 0, "a"))
	removed := followers(list, l)[1]
	change, err := l.store.Remove(removed.name)
	testwait.Must(t, err)
	expectNoneLagging(t, l, change)
	if _, err := l.store.Remove(removed.name); !errors.Is(err, ErrNotMember) {
		t.Fatalf("removal of a store that is no voter: %v", err)
	}
	fresh := newVoter(t, n, "v9")
	testwait.Must(t, fresh.start(t))
	addVoter(t, l, fresh)
	testwait.Until(t, testTimeout, "the added voter has all entries", func() bool { return head(fresh.store).Number == 1 })
	members, err := l.store.Members()
	if err != nil || len(members) != 3 || members[2].Name != "v9" {
		t.Fatalf("%v %+v", err, members)
	}
	for _, v := range list {
		if _, err := fresh.store.AddVoter("x", "y"); v != l && err == nil {
			t.Fatal("a follower added a voter")
		}
	}
}

// TestLeaderFailsBeforeAllHaveAddedVoter adds a voter while another receives nothing, and stops the leader: only the added
// voter can lead, and the other must vote for it though its configuration lacks it.
func TestLeaderFailsBeforeAllHaveAddedVoter(t *testing.T) {
	n, list := startSeparate(t)
	addVoter(t, list[0], list[1])
	propose(t, list[0].store, command("1", 0, "a"))
	propose(t, list[0].store, rolloutApplied(1))
	// Calls between the leader and the second vanish.
	n.set("v0", "v1", true)
	change, err := list[0].store.AddVoter("v2", list[2].address)
	testwait.Must(t, err)
	lagging, err := list[0].store.LaggingVoters(t.Context(), change)
	if err != nil || !slices.Equal(lagging, []string{"v1"}) {
		t.Fatalf("%v lack the change, %v", lagging, err)
	}
	list[0].stop()
	if m, err := list[1].store.Members(); err != nil || len(m) != 2 {
		t.Fatalf("the second has the configuration %v, %v: this is another case", m, err)
	}
	if l := leader(t, list[1:]); l != list[2] {
		t.Fatalf("%s leads", l.name)
	}
	if out := propose(t, list[2].store, command("2", 1, "b")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	testwait.Until(t, testTimeout, "the second has all entries", func() bool {
		m, err := list[1].store.Members()
		return err == nil && len(m) == 3 && head(list[1].store).Number == 2
	})
}
