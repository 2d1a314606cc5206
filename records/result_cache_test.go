package records

import (
	"strings"
	"testing"
)

// A repeat of a request gets the answer that the first got, also if the store has
// changed since and after a snapshot, as long as it is remembered.
func TestRepeatedIdempotencyKey(t *testing.T) {
	store := smallStore(t)
	first := change(onlyIf(1, put("tenant/acme", `{"plan":"gold"}`)))
	first.IdempotencyKey = "r-1"
	refused := change(remove("plan/gold"))
	refused.IdempotencyKey = "r-2"
	apply(t, store, 2, first, Accepted)
	apply(t, store, 3, refused, Invalid)
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &Store{}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*Store{store, restored} {
		if result := apply(t, each, 4, first, Accepted); result.Version != 2 || each.Version() != 2 {
			t.Errorf("repeated at version %d", result.Version)
		}
		if result := apply(t, each, 5, refused, Invalid); result.Problem == nil || result.Problem.Key != "plan/gold" {
			t.Errorf("repeat of a refused one: %+v", result)
		}
		other := change(remove("tenant/acme"))
		other.IdempotencyKey = "r-1"
		if result := apply(t, each, 6, other, Invalid); result.Problem.Field != "request" {
			t.Errorf("another change under the same key: %+v", result.Problem)
		}
	}
	for i := range MaxRequests {
		filler := change(remove("plan/none"))
		filler.IdempotencyKey = "f-" + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		apply(t, store, uint64(10+i), filler, Unchanged)
	}
	apply(t, store, 5000, first, Conflict)
	if len(store.results.order) != MaxRequests || len(store.results.byKey) != MaxRequests {
		t.Errorf("%d requests are remembered", len(store.results.order))
	}
}
