package records

import (
	"errors"
	"strings"
	"testing"
)

// Changes are applied atomically in the order of versions, and their conditions are checked.
func TestApply(t *testing.T) {
	store := smallStore(t)
	one := store.Digest()
	apply(t, store, 3, change(put("tenant/acme", `{ "requests_per_second": 50, "plan": "gold" }`), remove("plan/none")), Unchanged)
	if store.Version() != 1 || store.Digest() != one {
		t.Error("a change without effect has changed the store")
	}
	apply(t, store, 4, change(onlyIf(1, put("tenant/acme", `{"plan":"gold"}`)), put("tenant/zoo", `{"plan":"gold"}`)), Accepted)
	apply(t, store, 5, change(onlyIf(1, put("tenant/acme", tenantValue))), Conflict)
	// A plan can be deleted in the same change as all references to it.
	apply(t, store, 6, change(remove("plan/gold"), remove("tenant/acme"), put("plan/new", planValue), put("tenant/zoo", `{"plan":"new"}`)), Accepted)
	if _, found := store.Get(key("tenant/acme")); found || store.Len() != 4 {
		t.Errorf("%d records", store.Len())
	}
	if record, found := store.Get(key("tenant/zoo")); !found || record.Version != 6 || string(record.Value) != `{"plan":"new"}` {
		t.Errorf("tenant/zoo: %+v", record)
	}
	if _, err := store.Apply(6, change(remove("plan/x"))); !errors.Is(err, ErrVersion) {
		t.Errorf("change at an applied version: %v, want ErrVersion", err)
	}
	history := store.History(2)
	if len(history) != 2 || history[0].Version != 6 || history[0].Operations != 4 || history[1].Version != 4 || history[1].Author != "anna" {
		t.Errorf("history: %+v", history)
	}
	if digest, found := store.DigestAt(1); !found || digest != one {
		t.Errorf("digest at 1: %v, %t", digest, found)
	}
	if _, found := store.DigestAt(5); found {
		t.Error("the version of a rejected change has a digest")
	}
}

// List filters by kind and name prefix, sorts by name and applies the limit.
func TestList(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 2, change(put("tenant/b2", tenantValue), put("tenant/b1", tenantValue), put("tenant/a", tenantValue)), Accepted)
	for _, test := range []struct {
		kind   Kind
		prefix string
		limit  int
		want   string
	}{
		{Tenant, "", 0, "a acme b1 b2"}, {Tenant, "b", 0, "b1 b2"}, {Tenant, "", 1, "a"}, {Plan, "", 9, "gold"}, {Route, "x", 0, ""},
	} {
		var names []string
		for _, record := range store.List(test.kind, test.prefix, test.limit) {
			names = append(names, record.Key.Name)
		}
		if got := strings.Join(names, " "); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

// Advance changes the version and no record, and requires a version above all earlier ones.
func TestAdvance(t *testing.T) {
	store := smallStore(t)
	digest := store.Digest()
	if err := store.Advance(ChangeInfo{Version: 1, Author: "restore"}); !errors.Is(err, ErrVersion) {
		t.Fatalf("%v", err)
	}
	if err := store.Advance(ChangeInfo{Version: 9, Author: "restore"}); err != nil {
		t.Fatal(err)
	}
	if store.Version() != 9 || store.Digest() != digest || store.Applied() != 9 {
		t.Fatalf("version %d, applied %d, digest %s", store.Version(), store.Applied(), store.Digest())
	}
	// A replica with the same content receives an empty delta; one that is ahead of the restored state is repaired.
	if a := store.HandleChanges(ChangesRequest{Since: 1, Digest: &digest}); a.Delta == nil || !a.Delta.Empty() || a.Delta.To != 9 {
		t.Fatalf("%+v", a)
	}
	if a := store.HandleChanges(ChangesRequest{Since: 5, Digest: &Digest{1}}); a.Repair != RepairDigest {
		t.Fatalf("%+v", a)
	}
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Store
	if err := restored.Restore(snapshot); err != nil || restored.Version() != 9 {
		t.Fatalf("version %d, %v", restored.Version(), err)
	}
	apply(t, store, 10, change(remove("tenant/acme")), Accepted)
}
