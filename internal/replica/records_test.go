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

// putPlans returns an entry that puts plans with these names.
func putPlans(idempotencyKey string, names ...string) fleet.Entry {
	change := &records.Change{IdempotencyKey: idempotencyKey, Author: "ann", At: testTime}
	for _, name := range names {
		change.Operations = append(change.Operations, records.Operation{Key: records.Key{Kind: records.Plan, Name: name},
			Value: json.RawMessage(`{"price_weight":1,"requests_per_second":10}`)})
	}
	return fleet.Entry{Records: change}
}

// recordsState identifies the content and version of a store's records.
type recordsState struct {
	version uint64
	digest  records.Digest
	count   int
}

func recordsStateOf(s *Store) (state recordsState) {
	s.ReadRecords(func(r *records.Store) { state = recordsState{r.Version(), r.Digest(), r.Len()} })
	return state
}

// TestRecordsVersionIsIndex: a version of the records is the index of its log entry, every voter reaches the same
// version and digest, and RecordsChanged is closed by changes of the records alone.
func TestRecordsVersionIsIndex(t *testing.T) {
	t.Parallel()
	_, voters := startThree(t)
	commit(t, voters, command("1", 0, "a"))
	first := voters[0]
	testwait.Until(t, testTimeout, "v0 has the revision", func() bool { return head(first.store).Number == 1 })
	changed := first.store.RecordsChanged()
	commit(t, voters, rolloutApplied(1))
	testwait.Until(t, testTimeout, "v0 has the end of the rollout", func() (has bool) {
		first.store.View(func(s *fleet.State) { has = s.Rollout().State == rollout.Applied })
		return has
	})
	select {
	case <-changed:
		t.Fatal("an entry without a change of the records closed RecordsChanged")
	default:
	}
	out := commit(t, voters, putPlans("r1", "gold", "silver"))
	<-changed
	var digest records.Digest
	for i, v := range voters {
		testwait.Until(t, testTimeout, v.name+" has the records", func() bool { return recordsStateOf(v.store).version == out.Records.Version })
		if now := recordsStateOf(v.store); i == 0 {
			digest = now.digest
		} else if now.digest != digest {
			t.Fatalf("%s has digest %s, v0 has %s", v.name, now.digest, digest)
		}
	}
	var stored raft.Log
	testwait.Must(t, first.store.logs.GetLog(out.Records.Version, &stored))
	if e, err := fleet.Decode(stored.Data); err != nil || e.Records == nil || e.Records.IdempotencyKey != "r1" {
		t.Fatalf("entry %d is %+v, %v", out.Records.Version, e, err)
	}
	next := commit(t, voters, putPlans("r2", "copper"))
	for _, v := range voters {
		v.stop()
	}
	for _, v := range voters {
		testwait.Must(t, v.start(t))
	}
	for _, v := range voters {
		testwait.Until(t, testTimeout, v.name+" has the records after a restart", func() bool {
			now := recordsStateOf(v.store)
			return now.version == next.Records.Version && now.count == 3
		})
	}
}

// restoreState has the leader restore a saved state.
func restoreState(t testing.TB, voters []*voter, text []byte) {
	t.Helper()
	testwait.Until(t, testTimeout, "the state is restored", func() bool { return awaitLeader(t, voters).store.RestoreState(text) == nil })
}

// saveState returns the leader's encoded state.
func saveState(t testing.TB, voters []*voter) (text []byte) {
	t.Helper()
	var err error
	awaitLeader(t, voters).store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	testwait.Must(t, err)
	return text
}

// TestRestoreRaisesRecordsVersion restores a saved state over a newer one, and in a site with a much shorter log: the
// version of the records must continue above both the saved and the replaced one, or followers would ignore the
// restored records.
func TestRestoreRaisesRecordsVersion(t *testing.T) {
	t.Parallel()
	_, voters := startThree(t)
	commit(t, voters, putPlans("r1", "gold"))
	text := saveState(t, voters)
	saved := recordsStateOf(awaitLeader(t, voters).store)
	for i := range 20 {
		commit(t, voters, putPlans(fmt.Sprint("more", i), fmt.Sprint("more", i)))
	}
	newest := recordsStateOf(awaitLeader(t, voters).store)
	restoreState(t, voters, text)
	restored := recordsStateOf(awaitLeader(t, voters).store)
	if restored.version <= newest.version || restored.digest != saved.digest || restored.count != 1 {
		t.Fatalf("%+v after restoring %+v over %+v", restored, saved, newest)
	}
	commit(t, voters, putPlans("r2", "silver"))
	want := recordsStateOf(awaitLeader(t, voters).store)
	if want.version <= restored.version || want.count != 2 {
		t.Fatalf("%+v after a change, %+v before", want, restored)
	}
	for _, v := range voters {
		testwait.Until(t, testTimeout, v.name+" has the records", func() bool { return recordsStateOf(v.store) == want })
	}

	text = saveState(t, voters)
	newSite := newVoter(t, newNetwork(), "fresh")
	newSite.bootstrap = true
	testwait.Must(t, newSite.start(t))
	newSiteVoters := []*voter{newSite}
	restoreState(t, newSiteVoters, text)
	if now := recordsStateOf(newSite.store); now.version <= want.version || now.digest != want.digest {
		t.Fatalf("%+v in a new site, %+v was saved", now, want)
	}
	commit(t, newSiteVoters, putPlans("r3", "copper"))
	if now := recordsStateOf(newSite.store); now.count != 3 {
		t.Fatalf("%+v", now)
	}
}

// TestRecordsAfterPartition partitions the leader from the other voters and proposes changes on both sides. The
// minority accepts none and serves its previous records. After the partition is healed, it has the majority's records,
// although the log in between is compacted.
func TestRecordsAfterPartition(t *testing.T) {
	t.Parallel()
	n, voters := startThree(t)
	commit(t, voters, putPlans("r1", "gold"))
	old := awaitLeader(t, voters)
	before := recordsStateOf(old.store)
	others := followers(voters, old)
	for _, v := range others {
		n.setPartition(old.name, v.name, true)
	}
	if _, err := old.store.Propose(t.Context(), putPlans("lost", "lost")); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a minority accepted a change: %v", err)
	}
	const (
		changes     = snapshotThreshold + 2*trailingLogs
		concurrency = 16
	)
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for i := range numbers {
				request := fmt.Sprint("more", i)
				if _, err := proposeAnywhere(others, putPlans(request, request)); err != nil {
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
	next := awaitLeader(t, others)
	if now := recordsStateOf(old.store); now != before {
		t.Fatalf("the minority has %+v, %+v before the partition", now, before)
	}
	testwait.Must(t, next.store.raft.Snapshot().Error())
	if first, err := next.store.logs.FirstIndex(); err != nil || first <= before.version {
		t.Fatalf("the log begins at entry %d, %v: it is not compacted", first, err)
	}
	n.healAll()
	want := recordsStateOf(next.store)
	if want.count != changes+1 {
		t.Fatalf("%+v", want)
	}
	testwait.Until(t, testTimeout, "the minority has the majority's records", func() bool { return recordsStateOf(old.store) == want })
}

// proposeAnywhere proposes an entry to the voters in turn until it is committed. Retrying an entry whose outcome is
// unknown is safe: it has an idempotency key.
func proposeAnywhere(voters []*voter, e fleet.Entry) (out fleet.Outcome, err error) {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(heartbeat / 20) {
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
