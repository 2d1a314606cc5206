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

// stand is where a store's records are.
type stand struct {
	version uint64
	digest  records.Digest
	count   int
}

func standOf(s *Store) (now stand) {
	s.ReadRecords(func(r *records.Store) { now = stand{r.Version(), r.Digest(), r.Len()} })
	return now
}

// TestRecordsVersionIsIndex has every voter come to the same version and digest,
// and wakes those that wait for the records, not those of other changes.
func TestRecordsVersionIsIndex(t *testing.T) {
	t.Parallel()
	_, list := three(t)
	agree(t, list, command("1", 0, "a"))
	first := list[0]
	until(t, "the first has the revision", func() bool { return head(first.store).Number == 1 })
	changed := first.store.RecordsChanged()
	agree(t, list, turn(1))
	until(t, "the first has the rollout's end", func() (has bool) {
		first.store.View(func(s *fleet.State) { has = s.Rollout().State == rollout.Applied })
		return has
	})
	select {
	case <-changed:
		t.Fatal("a change of something else woke those that wait for records")
	default:
	}
	out := agree(t, list, plans("r1", "gold", "silver"))
	<-changed
	var digest records.Digest
	for i, v := range list {
		until(t, v.name+" has the records", func() bool { return standOf(v.store).version == out.Records.Version })
		if now := standOf(v.store); i == 0 {
			digest = now.digest
		} else if now.digest != digest {
			t.Fatalf("%s has %s, the first %s", v.name, now.digest, digest)
		}
	}
	var stored raft.Log
	must(t, first.store.logs.GetLog(out.Records.Version, &stored))
	if e, err := fleet.Decode(stored.Data); err != nil || e.Records == nil || e.Records.IdempotencyKey != "r1" {
		t.Fatalf("entry %d is %+v, %v", out.Records.Version, e, err)
	}
	next := agree(t, list, plans("r2", "copper"))
	for _, v := range list {
		v.stop()
	}
	for _, v := range list {
		must(t, v.start(t))
	}
	for _, v := range list {
		until(t, v.name+" has the records after a restart", func() bool { now := standOf(v.store); return now.version == next.Records.Version && now.count == 3 })
	}
}

// load has a saved state restored by whoever leads.
func load(t testing.TB, list []*voter, text []byte) {
	t.Helper()
	until(t, "a state is restored", func() bool { return leader(t, list).store.RestoreState(text) == nil })
}

// save returns the state as one has it that leads.
func save(t testing.TB, list []*voter) (text []byte) {
	t.Helper()
	var err error
	leader(t, list).store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	must(t, err)
	return text
}

// TestRestoreGoesOn restores a saved state in place of a newer one, and in a site
// whose log is far shorter: the records' version goes on above both.
func TestRestoreGoesOn(t *testing.T) {
	t.Parallel()
	_, list := three(t)
	agree(t, list, plans("r1", "gold"))
	text := save(t, list)
	saved := standOf(leader(t, list).store)
	for i := range 20 {
		agree(t, list, plans(fmt.Sprint("more", i), fmt.Sprint("more", i)))
	}
	newest := standOf(leader(t, list).store)
	load(t, list, text)
	restored := standOf(leader(t, list).store)
	if restored.version <= newest.version || restored.digest != saved.digest || restored.count != 1 {
		t.Fatalf("%+v after the restore of %+v over %+v", restored, saved, newest)
	}
	agree(t, list, plans("r2", "silver"))
	want := standOf(leader(t, list).store)
	if want.version <= restored.version || want.count != 2 {
		t.Fatalf("%+v behind %+v", want, restored)
	}
	for _, v := range list {
		until(t, v.name+" follows", func() bool { return standOf(v.store) == want })
	}

	text = save(t, list)
	fresh := newVoter(t, newNetwork(), "fresh")
	fresh.bootstrap = true
	must(t, fresh.start(t))
	alone := []*voter{fresh}
	load(t, alone, text)
	if now := standOf(fresh.store); now.version <= want.version || now.digest != want.digest {
		t.Fatalf("%+v in a new site, %+v was saved", now, want)
	}
	agree(t, alone, plans("r3", "copper"))
	if now := standOf(fresh.store); now.count != 3 {
		t.Fatalf("%+v", now)
	}
}

// TestRecordsRegionCut cuts the leader off and asks both sides for changes: the
// minority takes none and shows what it had; healed, it has what the others agreed
// on, though the log in between is compacted away.
func TestRecordsRegionCut(t *testing.T) {
	t.Parallel()
	n, list := three(t)
	agree(t, list, plans("r1", "gold"))
	old := leader(t, list)
	before := standOf(old.store)
	var rest []*voter
	for _, v := range list {
		if v != old {
			n.set(old.name, v.name, true)
			rest = append(rest, v)
		}
	}
	if _, err := old.store.Propose(t.Context(), plans("lost", "lost")); !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNoLeader) {
		t.Fatalf("a minority took a change: %v", err)
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
				if _, err := insist(rest, plans(request, request)); err != nil {
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
	next := leader(t, rest)
	if now := standOf(old.store); now != before {
		t.Fatalf("the minority is at %+v, %+v before the cut", now, before)
	}
	must(t, next.store.raft.Snapshot().Error())
	if first, err := next.store.logs.FirstIndex(); err != nil || first <= before.version {
		t.Fatalf("the log begins at %d, %v: it is not compacted", first, err)
	}
	n.healAll()
	want := standOf(next.store)
	if want.count != changes+1 {
		t.Fatalf("%+v", want)
	}
	until(t, "the minority has what was agreed on", func() bool { return standOf(old.store) == want })
}

// insist asks voters in turn until one has had an entry agreed on. A repeat of what
// was in doubt is harmless.
func insist(voters []*voter, e fleet.Entry) (out fleet.Outcome, err error) {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(heartbeat / 20) {
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

// agree has an entry agreed on by whoever leads.
func agree(t testing.TB, voters []*voter, e fleet.Entry) fleet.Outcome {
	t.Helper()
	out, err := insist(voters, e)
	must(t, err)
	return out
}
