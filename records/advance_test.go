package records

import (
	"errors"
	"testing"
)

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
	// Who had the same content has nothing to put; who had gone further has other content.
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

func TestKeysChanged(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 5, change(put("tenant/acme", `{"plan":"gold"}`), put("plan/silver", planValue)), Accepted)
	apply(t, store, 7, change(remove("plan/silver")), Accepted)
	apply(t, store, 8, change(put("tenant/acme", `{"plan":"gold","burst":1}`)), Accepted)
	changes, err := store.KeysChanged(1, 7)
	if err != nil || len(changes) != 2 {
		t.Fatalf("%+v, %v", changes, err)
	}
	if c := changes[0]; c.Key != key("tenant/acme") || c.Version != 5 || c.Record != nil || c.SupersededBy != 8 {
		t.Fatalf("%+v", c)
	}
	if c := changes[1]; c.Key != key("plan/silver") || c.Version != 7 || c.Record != nil || c.SupersededBy != 0 {
		t.Fatalf("%+v", c)
	}
	if changes, err = store.KeysChanged(7, 8); err != nil || len(changes) != 1 || changes[0].Record == nil || changes[0].Record.Version != 8 {
		t.Fatalf("%+v, %v", changes, err)
	}
	for _, each := range [][2]uint64{{1, 9}, {7, 5}} {
		if _, err := store.KeysChanged(each[0], each[1]); !errors.Is(err, ErrFuture) {
			t.Fatalf("%v: %v", each, err)
		}
	}
	store.log.compact(1)
	if _, err := store.KeysChanged(0, 8); !errors.Is(err, ErrCompacted) {
		t.Fatalf("%v", err)
	}
}
