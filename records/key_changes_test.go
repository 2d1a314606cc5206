package records

import (
	"errors"
	"testing"
)

// KeysChanged returns each record once, with its last change within the interval of versions.
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
