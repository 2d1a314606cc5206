package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
	"elderyard/internal/testwait"
	"elderyard/records"
	"elderyard/rollout"
)

func plans(request string, names ...string) fleet.Entry {
	change := &records.Change{IdempotencyKey: request, Author: "ann", At: at}
	for _, name := range names {
		change.Operations = append(change.Operations, records.Operation{Key: records.Key{Kind: records.Plan, Name: name},
			Value: json.RawMessage(`{"price_weight":1,"requests_per_second":10}`)})
	}
	return fleet.Entry{Records: change}
}

// recordsState identifies the records of a store.
type recordsState struct {
	version uint64
	digest  records.Digest
	count   int
}

func recordsStateOf(s *Store) (now recordsState) {
	s.ReadRecords(func(r *records.Store) { now = recordsState{r.Version(), r.Digest(), r.Len()} })
	return now
}

// TestRecordsVersionIsIndex: every voter reaches the same version and digest, and RecordsChanged fires for changes of the
// records alone.
func TestRecordsVersionIsIndex(t *testing.T) {
	t.Parallel()
	_, list := startThree(t)
	commit(t, list, command("1", 0, "a"))
	first := list[0]
	testwait.Until(t, testTimeout, "the first has the revision", func() bool { return head(first.store).Number == 1 })
	changed := first.store.RecordsChanged()
	commit(t, list, rolloutApplied(1))
	testwait.Until(t, testTimeout, "the first has the rollout's end", func() (has bool) {
		first.store.View(func(s *fleet.State) { has = s.Rollout().State == rollout.Applied })
		return has
	})
	select {
	case <-changed:
		t.Fatal("a change of something else woke the receivers of RecordsChanged")
	default:
	}
	out := commit(t, list, plans("r1", "gold", "silver"))
	<-changed
	var digest records.Digest
	for i, v := range list {
		testwait.Until(t, testTimeout, v.name+" has the records", func() bool { return recordsStateOf(v.store).version == out.Records.Version })
		if now := recordsStateOf(v.store); i == 0 {
			digest = now.digest
		} else if now.digest != digest {
			t.Fatalf("%s has %s, the first %s", v.name, now.digest, digest)
		}
	}
	var stored raft.Log
	testwait.Must(t, first.store.logs.GetLog(out.Records.Version, &stored))
	if e, err := fleet.Decode(stored.Data); err != nil || e.Records == nil || e.Records.IdempotencyKey != "r1" {
		t.Fatalf("entry %d is %+v, %v", out.Records.Version, e, err)
	}
	next := commit(t, list, plans("r2", "copper"))
	for _, v := range list {
		v.stop()
	}
	for _, v := range list {
		testwait.Must(t, v.start(t))
	}
	for _, v := range list {
		testwait.Until(t, testTimeout, v.name+" has the records after a restart", func() bool {
			now := recordsStateOf(v.store)
			return now.version == next.Records.Version && now.count == 3
		})
	}
}

// load has the leader restore a saved state.
func load(t testing.TB, list []*voter, text []byte) {
	t.Helper()
	testwait.Until(t, testTimeout, "a state is restored", func() bool { return leader(t, list).store.RestoreState(text) == nil })
}

// save returns the leader's encoded state.
func save(t testing.TB, list []*voter) (text []byte) {
	t.Helper()
	var err error
	leader(t, list).store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	testwait.Must(t, err)
	return text
}

// TestRestoreRaisesRecordsVersion restores a saved state in place of a newer one, and in a site whose log is far shorter:
// the records' version goes on above both.
func TestRestoreRaisesRecordsVersion(t *testing.T) {
	t.Parallel()
	_, list := startThree(t)
	commit(t, list, plans("r1", "gold"))
	text := save(t, list)
	saved := recordsStateOf(leader(t, list).store)
	for i := range 20 {
		commit(t, list, plans(fmt.Sprint("more", i), fmt.Sprint("more", i)))
	}
	newest := recordsStateOf(leader(t, list).store)
	load(t, list, text)
	restored := recordsStateOf(leader(t, list).store)
	if restored.version <= newest.version || restored.digest != saved.digest || restored.count != 1 {
		t.Fatalf("%+v after the restore of %+v over %+v", restored, saved, newest)
	}
	commit(t, list, plans("r2", "silver"))
	want := recordsStateOf(leader(t, list).store)
	if want.version <= restored.version || want.count != 2 {
		t.Fatalf("%+v behind %+v", want, restored)
	}
	for _, v := range list {
		testwait.Until(t, testTimeout, v.name+" follows", func() bool { return recordsStateOf(v.store) == want })
	}

	text = save(t, list)
	fresh := newVoter(t, newNetwork(), "fresh")
	fresh.bootstrap = true
	testwait.Must(t, fresh.start(t))
	alone := []*voter{fresh}
	load(t, alone, text)
	if now := recordsStateOf(fresh.store); now.version <= want.version || now.digest != want.digest {
		t.Fatalf("%+v in a new site, %+v was saved", now, want)
	}
	commit(t, alone, plans("r3", "copper"))
	if now := recordsStateOf(fresh.store); now.count != 3 {
		t.Fatalf("%+v", now)
	}
}

// TestRecordsAfterPartition cuts the leader off and proposes changes on both sides: the minority accepts none and serves the
// records that it had. Healed, it has those of the majority, though the log in between is compacted.
func TestRecordsAfterPartition(t *testing.T) {
	t.Parallel()
	n, list := startThree(t)
	commit(t, list, plans("r1", "gold"))
	old := leader(t, list)
	before := recordsStateOf(old.store)
	others := followers(list, old)
	for _, v := range others {
		n.set(old.name, v.name, true)
	}
	if _, err := old.store.Propose(t.Context(), plans("lost", "lost")); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority accepted a change: %v", err)
	}
	const (
		changes = snapshotThreshold + 2*trailingLogs
		atOnce  = 16
	)
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := range numbers {
				request := fmt.Sprint("more", i)
				if _, err := proposeAnywhere(others, plans(request, request)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for i := range changes {
		numbers <- i
	}
	close(numbers)
	wg.Wait()
	next := leader(t, others)
	if now := recordsStateOf(old.store); now != before {
		t.Fatalf("the minority is at %+v, %+v before the cut", now, before)
	}
	testwait.Must(t, next.store.raft.Snapshot().Error())
	if first, err := next.store.logs.FirstIndex(); err != nil || first <= before.version {
		t.Fatalf("the log begins at %d, %v: it is not compacted", first, err)
	}
	n.healAll()
	want := recordsStateOf(next.store)
	if want.count != changes+1 {
		t.Fatalf("%+v", want)
	}
	testwait.Until(t, testTimeout, "the minority has the majority's records", func() bool { return recordsStateOf(old.store) == want })
}

// proposeAnywhere proposes an entry to voters in turn until it is committed. A retry of an entry whose fate is unknown is
// harmless: its result is repeated.
func proposeAnywhere(voters []*voter, e fleet.Entry) (out fleet.Outcome, err error) {
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(heartbeat / 20) {
		for _, v := range voters {
			if out, err = v.store.Propose(context.Background(), e); err != nil {
				continue
			}
			if out.Records != nil && out.Records.Status != records.Accepted {
				return out, fmt.Errorf("%s: %+v", e.Records.IdempotencyKey, out.Records)
			}
			return out, nil
		}
	}
	return out, err
}

// commit has the leader commit an entry.
func commit(t testing.TB, voters []*voter, e fleet.Entry) fleet.Outcome {
	t.Helper()
	out, err := proposeAnywhere(voters, e)
	testwait.Must(t, err)
	return out
}
