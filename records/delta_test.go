package records

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// A delta has each record once, as it is at the end.
func TestDeltaIsTheNetEffect(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 2, change(put("plan/free", planValue), put("plan/brief", planValue), put("tenant/acme", `{"plan":"gold"}`)), Accepted)
	apply(t, store, 3, change(put("plan/free", `{"price_weight":2,"requests_per_second":1}`), remove("plan/brief"), remove("route/search")), Accepted)
	apply(t, store, 4, change(remove("service/search")), Accepted)
	apply(t, store, 5, change(put("service/search", `{"class":"batch"}`)), Accepted)
	delta := since(t, store, 1)
	var got []string
	for _, record := range delta.Puts {
		got = append(got, fmt.Sprintf("%s@%d", record.Key, record.Version))
	}
	for _, tombstone := range delta.Deletes {
		got = append(got, fmt.Sprintf("-%s@%d", tombstone.Key, tombstone.Version))
	}
	want := []string{"tenant/acme@2", "plan/free@3", "service/search@5", "-plan/brief@3", "-route/search@3"}
	if !slices.Equal(got, want) || delta.From != 1 || delta.To != 5 || delta.Digest != store.Digest() {
		t.Errorf("got %v from %d to %d", got, delta.From, delta.To)
	}
	if delta := since(t, store, 5); !delta.Empty() {
		t.Errorf("nothing new: %+v", delta)
	}
	if _, err := store.ChangesSince(6); !errors.Is(err, ErrFuture) {
		t.Errorf("the future: %v", err)
	}
}

// A delta that does not fit leaves the replica unchanged.
func TestApplyDeltaIsAtomic(t *testing.T) {
	store := smallStore(t)
	replica := &Replica{}
	first := since(t, store, 0)
	if err := replica.ApplyDelta(first); err != nil {
		t.Fatal(err)
	}
	apply(t, store, 2, change(put("plan/free", planValue)), Accepted)
	second := since(t, store, 1)
	apply(t, store, 3, change(remove("route/search")), Accepted)
	third := since(t, store, 2)
	both := since(t, store, 1)

	reject := func(name string, delta Delta, want error) {
		t.Helper()
		version, digest, count := replica.Version(), replica.Digest(), replica.Len()
		err := replica.ApplyDelta(delta)
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", name, err, want)
		}
		if replica.Version() != version || replica.Digest() != digest || replica.Len() != count {
			t.Errorf("%s: the copy has changed", name)
		}
	}
	reject("a version skipped", third, ErrGap)
	damaged := second
	damaged.Puts = slices.Clone(second.Puts)
	damaged.Puts[0].Value = []byte(`{"price_weight":9,"requests_per_second":1}`)
	reject("damaged", damaged, ErrDigest)
	missing := both
	missing.Deletes = nil
	reject("a delete is missing", missing, ErrDigest)
	twice := both
	twice.Puts = append(slices.Clone(both.Puts), both.Puts...)
	reject("a record is there twice", twice, nil)
	loose := second
	loose.Puts = slices.Clone(second.Puts)
	loose.Puts[0].Value = []byte(planValue + " ")
	reject("not canonical", loose, nil)

	if err := replica.ApplyDelta(both); err != nil {
		t.Fatal(err)
	}
	if err := replica.ApplyDelta(both); err != nil {
		t.Errorf("twice: %v", err)
	}
	reject("an old one", second, ErrStale)
	wrong := third
	wrong.Digest[0]++
	reject("the same version with another digest", wrong, ErrDigest)
	if replica.Digest() != store.Digest() || replica.Version() != 3 {
		t.Errorf("at %d", replica.Version())
	}
	if record, found := replica.Get(key("plan/free")); !found || record.Version != 2 || len(replica.List(Plan, "", 0)) != 2 {
		t.Errorf("plan/free: %+v, %t", record, found)
	}
}

// Difference leads from one store to another, whatever their logs.
func TestDifference(t *testing.T) {
	from, to := smallStore(t), smallStore(t)
	if delta := Difference(from, to); !delta.Empty() {
		t.Errorf("of equals: %+v", delta)
	}
	apply(t, to, 2, change(put("plan/free", planValue), remove("route/search"), put("tenant/acme", `{"plan":"gold"}`)), Accepted)
	delta := Difference(from, to)
	if len(delta.Puts) != 2 || len(delta.Deletes) != 1 || delta.Puts[0].Key != key("plan/free") || delta.Deletes[0].Key != key("route/search") {
		t.Errorf("%+v", delta)
	}
	back := Difference(to, from)
	if len(back.Puts) != 2 || len(back.Deletes) != 1 {
		t.Errorf("back: %+v", back)
	}
}
