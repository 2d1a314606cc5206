package replica

import (
	"context"
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
	testTimeout = time.Minute // of anything that is awaited
	heartbeat   = 200 * time.Millisecond
)

var at = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// voter is a store that can be stopped and started again on its folder.
type voter struct {
	name, dir, address string
	network            *network
	store              *Store
	bootstrap, recover bool
	injectWriteError   func() error
}

// newVoter returns a voter that is stopped, and is stopped again at the end of the test.
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

// startSeparate starts three stores, of which the first is the site's only voter and leads.
func startSeparate(t testing.TB) (*network, []*voter) {
	t.Helper()
	n := newNetwork()
	var list []*voter
	for i := range 3 {
		v := newVoter(t, n, fmt.Sprint("v", i))
		v.bootstrap = i == 0
		testwait.Must(t, v.start(t))
		list = append(list, v)
	}
	testwait.Until(t, testTimeout, "the first leads", func() bool { return list[0].store.VerifyLeader() == nil })
	return n, list
}

// startThree starts a site of three voters.
func startThree(t testing.TB) (*network, []*voter) {
	t.Helper()
	n, list := startSeparate(t)
	for _, v := range list[1:] {
		addVoter(t, list[0], v)
	}
	return n, list
}

// addVoter adds a voter, and waits until all have the change.
func addVoter(t testing.TB, l, fresh *voter) {
	t.Helper()
	change, err := l.store.AddVoter(fresh.name, fresh.address)
	testwait.Must(t, err)
	expectNoneLagging(t, l, change)
}

// expectNoneLagging fails the test unless all voters have a change within the time of a call.
func expectNoneLagging(t testing.TB, l *voter, change ConfigurationChange) {
	t.Helper()
	if lagging, err := l.store.LaggingVoters(t.Context(), change); err != nil || lagging != nil {
		t.Fatalf("%v lack the change, %v", lagging, err)
	}
}

// followers returns the voters but the one.
func followers(list []*voter, l *voter) (others []*voter) {
	for _, v := range list {
		if v != l {
			others = append(others, v)
		}
	}
	return others
}

// leader waits until one of the voters leads, and returns it.
func leader(t testing.TB, list []*voter) *voter {
	t.Helper()
	var found *voter
	testwait.Until(t, testTimeout, "one leads", func() bool {
		for _, v := range list {
			if v.store != nil && v.store.VerifyLeader() == nil {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

func command(request string, parent uint64, file string) fleet.Entry {
	return fleet.Entry{Command: &revisions.Command{IdempotencyKey: request, Parent: parent, Content: &revisions.Content{File: file}, Author: "ann", At: at}}
}

// rolloutApplied returns the entry that ends the rollout of a revision.
func rolloutApplied(revision uint64) fleet.Entry {
	return fleet.Entry{RolloutChange: &fleet.RolloutChange{New: revision, State: rollout.Applied, Reason: "all have it", At: at}}
}

func propose(t testing.TB, s *Store, e fleet.Entry) fleet.Outcome {
	t.Helper()
	out, err := s.Propose(context.Background(), e)
	testwait.Must(t, err)
	return out
}

func head(s *Store) (r revisions.Revision) {
	s.View(func(f *fleet.State) { r, _ = f.Head() })
	return r
}
