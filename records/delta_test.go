package records

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// A delta has each changed record once, as it is at the delta's last version.
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
		t.Errorf("got %v from %d to %d, want %v from 1 to 5", got, delta.From, delta.To, want)
	}
	if delta := since(t, store, 5); !delta.Empty() {
		t.Errorf("since the newest version: %+v, want an empty delta", delta)
	}
	if _, err := store.ChangesSince(6); !errors.Is(err, ErrFuture) {
		t.Errorf("above the newest version: %v, want ErrFuture", err)
	}
}

// Deltas that are damaged, stale or begin above the replica's version are rejected, and the replica is unchanged. A
// repeated delta has no effect.
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
			t.Errorf("%s: the replica has changed", name)
		}
	}
	reject("skipped version", third, ErrGap)
	damaged := second
	damaged.Puts = slices.Clone(second.Puts)
	damaged.Puts[0].Value = []byte(`{"price_weight":9,"requests_per_second":1}`)
	reject("damaged value", damaged, ErrDigest)
	missing := both
	missing.Deletes = nil
	reject("missing delete", missing, ErrDigest)
	twice := both
	twice.Puts = append(slices.Clone(both.Puts), both.Puts...)
	reject("duplicate record", twice, nil)
	notCanonical := second
	notCanonical.Puts = slices.Clone(second.Puts)
	notCanonical.Puts[0].Value = []byte(planValue + " ")
	reject("value not in canonical form", notCanonical, nil)

	if err := replica.ApplyDelta(both); err != nil {
		t.Fatal(err)
	}
	if err := replica.ApplyDelta(both); err != nil {
		t.Errorf("repeated delta: %v", err)
	}
	reject("stale delta", second, ErrStale)
	wrong := third
	wrong.Digest[0]++
	reject("same version with another digest", wrong, ErrDigest)
	if replica.Digest() != store.Digest() || replica.Version() != 3 {
		t.Errorf("replica at version %d with digest %s, want 3 with %s", replica.Version(), replica.Digest(), store.Digest())
	}
	if record, found := replica.Get(key("plan/free")); !found || record.Version != 2 || len(replica.List(Plan, "", 0)) != 2 {
		t.Errorf("plan/free: %+v, %t", record, found)
	}
}

// Difference compares the contents of two stores, independent of their logs.
func TestDifference(t *testing.T) {
	from, to := smallStore(t), smallStore(t)
	if delta := Difference(from, to); !delta.Empty() {
		t.Errorf("between equal stores: %+v", delta)
	}
	apply(t, to, 2, change(put("plan/free", planValue), remove("route/search"), put("tenant/acme", `{"plan":"gold"}`)), Accepted)
	delta := Difference(from, to)
	if len(delta.Puts) != 2 || len(delta.Deletes) != 1 || delta.Puts[0].Key != key("plan/free") || delta.Deletes[0].Key != key("route/search") {
		t.Errorf("difference: %+v", delta)
	}
	reverse := Difference(to, from)
	if len(reverse.Puts) != 2 || len(reverse.Deletes) != 1 {
		t.Errorf("reverse difference: %+v", reverse)
	}
}
