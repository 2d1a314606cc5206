package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/loopback"
	"elderyard/internal/testwait"
	"elderyard/revisions"
	"elderyard/rollout"
)

const (
	testTimeout = time.Minute // of each wait for a condition
	heartbeat   = 200 * time.Millisecond
)

var testTime = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// voter is a store that can be stopped, and restarted on its directory.
type voter struct {
	name, dir, address string
	network            *network
	store              *Store
	bootstrap, recover bool
	injectWriteError   func() error
}

// newVoter returns a stopped voter. The end of the test stops it if it runs.
func newVoter(t testing.TB, n *network, name string) *voter {
	t.Helper()
	v := &voter{name: name, dir: filepath.Join(t.TempDir(), name), address: loopback.Host() + ":0", network: n}
	t.Cleanup(func() { v.stop() })
	return v
}

func (v *voter) start(t testing.TB) error {
	t.Helper()
	streams, err := v.network.listen(v.name, v.address)
	if err != nil {
		return err
	}
	v.address = streams.Addr().String()
	v.store, err = Open(Config{Dir: v.dir, ID: v.name, Streams: streams, Bootstrap: v.bootstrap, Recover: v.recover, HeartbeatTimeout: heartbeat,
		Log: io.Discard, InjectWriteError: v.injectWriteError})
	if err != nil {
		streams.Close()
	}
	return err
}

func (v *voter) stop() {
	if v.store != nil {
		v.store.Close()
		v.store = nil
	}
}

// startSeparate starts three stores. The first one is the site's only voter and leads; the others belong to no site.
func startSeparate(t testing.TB) (*network, []*voter) {
	t.Helper()
	n := newNetwork()
	var voters []*voter
	for i := range 3 {
		v := newVoter(t, n, fmt.Sprint("v", i))
		v.bootstrap = i == 0
		testwait.Must(t, v.start(t))
		voters = append(voters, v)
	}
	testwait.Until(t, testTimeout, "v0 leads", func() bool { return voters[0].store.VerifyLeader() == nil })
	return n, voters
}

// startThree starts a site of three voters.
func startThree(t testing.TB) (*network, []*voter) {
	t.Helper()
	n, voters := startSeparate(t)
	for i, v := range voters[1:] {
		addVoter(t, voters[:i+1], v)
	}
	return n, voters
}

// retryElections calls f until it does not fail because of a change of the leader, as may happen at any time on a busy
// machine. It returns the last error.
func retryElections(t testing.TB, f func() error) (err error) {
	t.Helper()
	testwait.Until(t, testTimeout, "no election", func() bool {
		err = f()
		return !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOutcomeUnknown)
	})
	return err
}

// addVoter has the leader add a voter, and waits until all voters have the change.
func addVoter(t testing.TB, voters []*voter, added *voter) {
	t.Helper()
	var leader *voter
	var change ConfigurationChange
	testwait.Must(t, retryElections(t, func() (err error) {
		leader = awaitLeader(t, voters)
		change, err = leader.store.AddVoter(added.name, added.address)
		return err
	}))
	expectNoneLagging(t, leader, change)
}

// expectNoneLagging fails the test unless all voters have a change within the timeout of an RPC.
func expectNoneLagging(t testing.TB, leader *voter, change ConfigurationChange) {
	t.Helper()
	if lagging, err := leader.store.LaggingVoters(t.Context(), change); err != nil || lagging != nil {
		t.Fatalf("%v lack the change, %v", lagging, err)
	}
}

// followers returns the voters except the leader.
func followers(voters []*voter, leader *voter) (others []*voter) {
	for _, v := range voters {
		if v != leader {
			others = append(others, v)
		}
	}
	return others
}

// awaitLeader waits until one of the voters leads, and returns it.
func awaitLeader(t testing.TB, voters []*voter) *voter {
	t.Helper()
	var found *voter
	testwait.Until(t, testTimeout, "a voter leads", func() bool {
		for _, v := range voters {
			if v.store != nil && v.store.VerifyLeader() == nil {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// command returns an entry with a new revision.
func command(idempotencyKey string, parent uint64, file string) fleet.Entry {
	return fleet.Entry{Command: &revisions.Command{IdempotencyKey: idempotencyKey, Parent: parent, Content: &revisions.Content{File: file}, Author: "ann", At: testTime}}
}

// rolloutApplied returns an entry that completes the rollout of a revision.
func rolloutApplied(revision uint64) fleet.Entry {
	return fleet.Entry{RolloutChange: &fleet.RolloutChange{New: revision, State: rollout.Applied, Reason: "all have it", At: testTime}}
}

// propose proposes an entry to a store, and ends the test if that fails.
func propose(t testing.TB, s *Store, e fleet.Entry) fleet.Outcome {
	t.Helper()
	out, err := s.Propose(context.Background(), e)
	testwait.Must(t, err)
	return out
}

// head returns the latest revision of a store.
func head(s *Store) (r revisions.Revision) {
	s.View(func(f *fleet.State) { r, _ = f.Head() })
	return r
}
