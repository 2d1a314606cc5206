package replica

import (
	"encoding/json"
	"fmt"
	"testing"

	"elderyard/fleet"
	"elderyard/records"
)

func plans(request string, names ...string) fleet.Entry {
	change := &records.Change{Request: request, Author: "ann", At: at}
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
	l := leader(t, list)
	changed := l.store.RecordsChanged()
	propose(t, l.store, command("1", 0, "a"))
	select {
	case <-changed:
		t.Fatal("a change of something else woke those that wait for records")
	default:
	}
	out, err := l.store.Propose(t.Context(), plans("r1", "gold", "silver"))
	must(t, err)
	<-changed
	if out.Records == nil || out.Records.Status != records.Accepted || out.Records.Version != l.store.raft.LastIndex() {
		t.Fatalf("%+v at index %d", out.Records, l.store.raft.LastIndex())
	}
	want := standOf(l.store)
	for _, v := range list {
		until(t, v.name+" has the records", func() bool { return standOf(v.store) == want })
	}
	propose(t, l.store, plans("r2", "copper"))
	for _, v := range list {
		v.stop()
	}
	for _, v := range list {
		must(t, v.start(t))
	}
	again := leader(t, list)
	if now := standOf(again.store); now.version <= want.version || now.count != 3 {
		t.Fatalf("%+v after a restart, %+v before", now, want)
	}
}

// TestRestoreGoesOn restores a saved state in place of a newer one, and in a site
// whose log is far shorter: the records' version goes on above both.
func TestRestoreGoesOn(t *testing.T) {
	t.Parallel()
	_, list := three(t)
	l := leader(t, list)
	propose(t, l.store, plans("r1", "gold"))
	saved := standOf(l.store)
	var text []byte
	var err error
	l.store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	must(t, err)
	for i := range 20 {
		propose(t, l.store, plans(fmt.Sprint("more", i), fmt.Sprint("more", i)))
	}
	newest := standOf(l.store)
	must(t, l.store.Load(text))
	restored := standOf(l.store)
	if restored.version <= newest.version || restored.digest != saved.digest || restored.count != 1 {
		t.Fatalf("%+v after the restore of %+v over %+v", restored, saved, newest)
	}
	propose(t, l.store, plans("r2", "silver"))
	want := standOf(l.store)
	if want.version <= restored.version || want.count != 2 {
		t.Fatalf("%+v behind %+v", want, restored)
	}
	for _, v := range list {
		until(t, v.name+" follows", func() bool { return standOf(v.store) == want })
	}

	l.store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	must(t, err)
	fresh := newVoter(t, newNetwork(), "fresh")
	fresh.bootstrap = true
	must(t, fresh.start(t))
	leader(t, []*voter{fresh})
	must(t, fresh.store.Load(text))
	if now := standOf(fresh.store); now.version <= want.version || now.digest != want.digest {
		t.Fatalf("%+v in a new site, %+v was saved", now, want)
	}
	propose(t, fresh.store, plans("r3", "copper"))
	if now := standOf(fresh.store); now.count != 3 {
		t.Fatalf("%+v", now)
	}
}
