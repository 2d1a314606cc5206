package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
	"elderyard/internal/loopback"
	"elderyard/revisions"
	"elderyard/rollout"
)

const (
	patience  = time.Minute
	heartbeat = 200 * time.Millisecond
)

var at = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// voter is one store that can be ended and started again on its folder.
type voter struct {
	name, dir, address string
	n                  *network
	store              *Store
	bootstrap, recover bool
	spoil              func() error
}

func newVoter(t testing.TB, n *network, name string) *voter {
	v := &voter{name: name, dir: filepath.Join(t.TempDir(), name), address: loopback.Host() + ":0", n: n}
	t.Cleanup(func() { v.stop() })
	return v
}

func (v *voter) start(t testing.TB) error {
	t.Helper()
	s, err := v.n.listen(v.name, v.address)
	if err != nil {
		return err
	}
	v.address = s.Addr().String()
	v.store, err = Open(Config{Dir: v.dir, ID: v.name, Streams: s, Bootstrap: v.bootstrap, Recover: v.recover, HeartbeatTimeout: heartbeat,
		Log: io.Discard, InjectWriteError: v.spoil})
	if err != nil {
		s.Close()
	}
	return err
}

func (v *voter) stop() {
	if v.store != nil {
		v.store.Close()
		v.store = nil
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

// apart starts three voters, of which the first is the site's only one and leads.
func apart(t testing.TB) (*network, []*voter) {
	t.Helper()
	n := newNetwork()
	var list []*voter
	for i := range 3 {
		v := newVoter(t, n, fmt.Sprint("v", i))
		v.bootstrap = i == 0
		must(t, v.start(t))
		list = append(list, v)
	}
	until(t, "the first leads", func() bool { return list[0].store.VerifyLeader() == nil })
	return n, list
}

// three starts three voters that have found each other.
func three(t testing.TB) (*network, []*voter) {
	t.Helper()
	n, list := apart(t)
	for _, v := range list[1:] {
		add(t, list[0], v)
	}
	return n, list
}

// add makes one a voter, and waits until all have noted it.
func add(t testing.TB, l, fresh *voter) {
	t.Helper()
	change, err := l.store.AddVoter(fresh.name, fresh.address)
	must(t, err)
	if lacking, err := l.store.LaggingVoters(context.Background(), change); err != nil || lacking != nil {
		t.Fatalf("%v lack it, %v", lacking, err)
	}
}

func leader(t testing.TB, list []*voter) *voter {
	t.Helper()
	var found *voter
	until(t, "one leads", func() bool {
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
	return fleet.Entry{Command: &revisions.Command{Request: request, Parent: parent, Content: &revisions.Content{File: file}, Author: "ann", At: at}}
}

func turn(n uint64) fleet.Entry {
	return fleet.Entry{RolloutChange: &fleet.RolloutChange{New: n, State: rollout.Applied, Reason: "all have it", At: at}}
}

func propose(t testing.TB, s *Store, e fleet.Entry) fleet.Outcome {
	t.Helper()
	out, err := s.Propose(context.Background(), e)
	must(t, err)
	return out
}

func head(s *Store) (r revisions.Revision) {
	s.View(func(f *fleet.State) { r, _ = f.Head() })
	return r
}

func TestOneVoterKeepsWhatItTook(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	must(t, v.start(t))
	until(t, "it leads", func() bool { return v.store.VerifyLeader() == nil })
	changed := v.store.Changed()
	propose(t, v.store, command("1", 0, "a"))
	<-changed
	propose(t, v.store, turn(1))
	must(t, v.store.raft.Snapshot().Error())
	propose(t, v.store, command("2", 1, "b")) // in the log alone
	for range 2 {
		v.stop()
		must(t, v.start(t)) // Bootstrap means nothing to a folder that is not empty
		until(t, "it leads again", func() bool { return v.store.VerifyLeader() == nil })
		if r := head(v.store); r.Number != 2 || r.Content.File != "b" {
			t.Fatalf("%+v", r)
		}
	}
	if _, err := v.store.Remove("v0"); err == nil {
		t.Fatal("the only voter was removed")
	}
}

func TestALeaderDiesAndNothingIsLost(t *testing.T) {
	_, list := three(t)
	first := leader(t, list)
	propose(t, first.store, command("1", 0, "a"))
	first.stop()
	next := leader(t, list)
	if r := head(next.store); r.Number != 1 {
		t.Fatalf("%+v", r)
	}
	// The answer was lost: the same request makes no second revision.
	if out := propose(t, next.store, command("1", 0, "a")); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 1 {
		t.Fatalf("%+v", out)
	}
	propose(t, next.store, turn(1))
	propose(t, next.store, command("2", 1, "b"))
	must(t, first.start(t))
	until(t, "the one that was away has it all", func() bool { return head(first.store).Number == 2 })
}

// A voter is added while another hears nothing, and the leader dies: who was added is all that can lead, and the
// other must vote for it though it has never heard of it.
func TestALeaderDiesBeforeAllHaveNotedAnAdd(t *testing.T) {
	n, list := apart(t)
	add(t, list[0], list[1])
	propose(t, list[0].store, command("1", 0, "a"))
	propose(t, list[0].store, turn(1))
	// Calls from the leader to the second vanish; it is not heard of, and it must not be elected meanwhile.
	n.set("v0", "v1", true)
	change, err := list[0].store.AddVoter("v2", list[2].address)
	must(t, err)
	lacking, err := list[0].store.LaggingVoters(context.Background(), change)
	if err != nil || !slices.Equal(lacking, []string{"v1"}) {
		t.Fatalf("%v lack it, %v", lacking, err)
	}
	list[0].stop()
	if m, err := list[1].store.Members(); err != nil || len(m) != 2 {
		t.Fatalf("the second knows %v, %v: this plays another case", m, err)
	}
	if l := leader(t, list[1:]); l != list[2] {
		t.Fatalf("%s leads", l.name)
	}
	if out := propose(t, list[2].store, command("2", 1, "b")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	until(t, "the second has it all", func() bool {
		m, err := list[1].store.Members()
		return err == nil && len(m) == 3 && head(list[1].store).Number == 2
	})
}

// Who was taken out and was not told must not keep the others from their leader.
func TestAVoterTakenOutDisturbsNobody(t *testing.T) {
	n, list := three(t)
	l := leader(t, list)
	var gone, other *voter
	for _, v := range list {
		switch {
		case v == l:
		case gone == nil:
			gone = v
		default:
			other = v
		}
	}
	n.set(l.name, gone.name, true) // the word of it vanishes
	change, err := l.store.Remove(gone.name)
	must(t, err)
	if lacking, err := l.store.LaggingVoters(context.Background(), change); err != nil || lacking != nil {
		t.Fatalf("%v lack it, %v", lacking, err)
	}
	term := l.store.raft.CurrentTerm()
	until(t, "it asks for votes", func() bool { id, _ := gone.store.Leader(); return id == "" })
	n.set(l.name, gone.name, false)
	for range 10 {
		time.Sleep(heartbeat)
		must(t, l.store.VerifyLeader())
	}
	if now := l.store.raft.CurrentTerm(); now != term || !l.store.IsLeader() {
		t.Fatalf("term %d, %d before; leading: %v", now, term, l.store.IsLeader())
	}
	if id, _ := other.store.Leader(); id != l.name {
		t.Fatalf("the other follows %q", id)
	}
}

func TestAMinorityTakesNothingAndStillShows(t *testing.T) {
	n, list := three(t)
	old := leader(t, list)
	propose(t, old.store, command("1", 0, "a"))
	for _, v := range list {
		if v != old {
			n.set(old.name, v.name, true)
		}
	}
	if _, err := old.store.Propose(context.Background(), turn(1)); !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNoLeader) {
		t.Fatalf("a minority took a change: %v", err)
	}
	if err := old.store.VerifyLeader(); !errors.Is(err, ErrNoLeader) {
		t.Fatalf("a minority confirms: %v", err)
	}
	if head(old.store).Number != 1 {
		t.Fatal("it does not show what it knows")
	}
	var rest []*voter
	for _, v := range list {
		if v != old {
			rest = append(rest, v)
		}
	}
	next := leader(t, rest)
	propose(t, next.store, turn(1))
	propose(t, next.store, command("2", 1, "b"))
	n.healAll()
	until(t, "the minority follows", func() bool { return head(old.store).Number == 2 })
}

func TestMembersChangeByCommand(t *testing.T) {
	n, list := three(t)
	l := leader(t, list)
	propose(t, l.store, command("1", 0, "a"))
	var gone *voter
	for _, v := range list {
		if v != l {
			gone = v
		}
	}
	change, err := l.store.Remove(gone.name)
	must(t, err)
	if lacking, err := l.store.LaggingVoters(context.Background(), change); err != nil || lacking != nil {
		t.Fatalf("%v lack it, %v", lacking, err)
	}
	if _, err := l.store.Remove(gone.name); err == nil {
		t.Fatal("one that is no voter was removed")
	}
	fresh := newVoter(t, n, "v9")
	must(t, fresh.start(t))
	add(t, l, fresh)
	until(t, "the new one has it all", func() bool { return head(fresh.store).Number == 1 })
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

func TestAFullDiskIsSaidAndLosesNothing(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	full := make(chan bool, 1)
	full <- false
	v.spoil = func() error {
		f := <-full
		full <- f
		if f {
			return errors.New("no space left on device")
		}
		return nil
	}
	must(t, v.start(t))
	until(t, "it leads", func() bool { return v.store.VerifyLeader() == nil })
	propose(t, v.store, command("1", 0, "a"))
	<-full
	full <- true
	_, err := v.store.Propose(context.Background(), turn(1))
	if err == nil || !strings.Contains(err.Error(), "no space left") || v.store.DiskError() == nil {
		t.Fatalf("%v", err)
	}
	<-full
	full <- false
	until(t, "it leads again", func() bool { return v.store.VerifyLeader() == nil })
	if head(v.store).Number != 1 || v.store.DiskError() != nil {
		t.Fatal("the revision is gone, or the error stays")
	}
}

func TestSavedStatesAreTakenWholeOrNotAtAll(t *testing.T) {
	_, list := three(t)
	l := leader(t, list)
	propose(t, l.store, command("1", 0, "a"))
	var saved []byte
	l.store.View(func(s *fleet.State) { saved, _ = s.Snapshot() })
	propose(t, l.store, turn(1))
	propose(t, l.store, command("2", 1, "b"))
	if err := l.store.RestoreState(saved[:len(saved)-3]); err == nil || head(l.store).Number != 2 {
		t.Fatalf("a state that is cut short: %v", err)
	}
	must(t, l.store.RestoreState(saved))
	for _, v := range list {
		until(t, v.name+" has the saved state", func() bool { return head(v.store).Number == 1 })
	}
	propose(t, l.store, turn(1))
}

func TestOneOfThreeIsLeftAndGoesOnAlone(t *testing.T) {
	_, list := three(t)
	l := leader(t, list)
	propose(t, l.store, command("1", 0, "a"))
	until(t, "the last one has it", func() bool { return head(list[2].store).Number == 1 })
	for _, v := range list {
		v.stop()
	}
	left := list[2]
	left.recover = true
	must(t, left.start(t))
	until(t, "it leads alone", func() bool { return left.store.VerifyLeader() == nil })
	if head(left.store).Number != 1 {
		t.Fatal("what was committed is gone")
	}
	propose(t, left.store, turn(1))
	empty := newVoter(t, newNetwork(), "v8")
	empty.recover = true
	if err := empty.start(t); err == nil || !strings.Contains(err.Error(), "nothing to recover") {
		t.Fatal(err)
	}
}

func TestADamagedStoreIsAnErrorAndNoGuess(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	must(t, v.start(t))
	until(t, "it leads", func() bool { return v.store.VerifyLeader() == nil })
	for i := range uint64(20) {
		propose(t, v.store, command(fmt.Sprint(i), i, strings.Repeat("x", 20000)+fmt.Sprint(i)))
		propose(t, v.store, turn(i+1))
	}
	v.stop()
	path := filepath.Join(v.dir, LogFileName)
	good, err := os.ReadFile(path)
	must(t, err)
	scrambled := append([]byte(nil), good...)
	for i := 2 * os.Getpagesize(); i < len(scrambled); i++ {
		scrambled[i] ^= 0x5a
	}
	for what, text := range map[string][]byte{
		"empty": {}, "a byte": {1}, "half": good[:len(good)/2], "one page": good[:os.Getpagesize()],
		"no meta": append(make([]byte, 2*os.Getpagesize()), good[2*os.Getpagesize():]...), "scrambled": scrambled,
	} {
		must(t, os.WriteFile(path, text, 0o600))
		if err := v.start(t); err == nil || !strings.Contains(err.Error(), "is damaged") || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", what, err)
			v.stop()
		}
	}
	must(t, os.WriteFile(path, good, 0o600))
	must(t, v.start(t))
	until(t, "it leads again", func() bool { return v.store.VerifyLeader() == nil })
	if head(v.store).Number != 20 {
		t.Fatal(head(v.store).Number)
	}
}

// TestAVoterStopsWhereItsDiskFailsInACut: raft itself would go on with a log that
// is not what it believes.
func TestAVoterStopsWhereItsDiskFailsInACut(t *testing.T) {
	full := false
	w := &monitoredLog{LogStore: raft.NewInmemStore(), failed: make(chan struct{}), released: make(chan struct{}),
		injectWriteError: func() error {
			if full {
				return errors.New("no space left on device")
			}
			return nil
		}}
	for i := range uint64(5) {
		must(t, w.StoreLog(&raft.Log{Index: i + 1, Term: 1}))
	}
	must(t, w.DeleteRange(1, 2)) // of the front: a write that fails is an error and no more
	full = true
	if err := w.StoreLog(&raft.Log{Index: 6, Term: 2}); err == nil {
		t.Fatal("it was written")
	}
	full = false
	must(t, w.DeleteRange(4, 5))
	must(t, w.StoreLog(&raft.Log{Index: 4, Term: 2})) // it was written: the cut is healed
	must(t, w.DeleteRange(4, 4))
	full = true
	done := make(chan error, 1)
	go func() { done <- w.StoreLog(&raft.Log{Index: 4, Term: 3}) }()
	select {
	case <-w.failed:
	case err := <-done:
		t.Fatalf("raft goes on: %v", err)
	}
	select {
	case err := <-done:
		t.Fatalf("raft goes on: %v", err)
	default:
	}
	close(w.released)
	if err := <-done; err == nil {
		t.Fatal("it was written")
	}
}
