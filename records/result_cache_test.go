package records

import (
	"strings"
	"testing"
)

// A change with a cached idempotency key has the result of the first attempt, even if the store has changed since or
// has been restored from a snapshot. The oldest results are evicted.
func TestRepeatedIdempotencyKey(t *testing.T) {
	store := smallStore(t)
	first := change(onlyIf(1, put("tenant/acme", `{"plan":"gold"}`)))
	first.IdempotencyKey = "r-1"
	rejected := change(remove("plan/gold"))
	rejected.IdempotencyKey = "r-2"
	apply(t, store, 2, first, Accepted)
	apply(t, store, 3, rejected, Invalid)
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
			t.Errorf("repeated change: version %d, store at %d, want 2", result.Version, each.Version())
		}
		if result := apply(t, each, 5, rejected, Invalid); result.Problem == nil || result.Problem.Key != "plan/gold" {
			t.Errorf("repeated invalid change: %+v", result)
		}
		other := change(remove("tenant/acme"))
		other.IdempotencyKey = "r-1"
		if result := apply(t, each, 6, other, Invalid); result.Problem.Field != "request" {
			t.Errorf("another change with the same key: %+v", result.Problem)
		}
	}
	for i := range MaxCachedResults {
		filler := change(remove("plan/none"))
		filler.IdempotencyKey = "f-" + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		apply(t, store, uint64(10+i), filler, Unchanged)
	}
	apply(t, store, 5000, first, Conflict)
	if len(store.results.order) != MaxCachedResults || len(store.results.byKey) != MaxCachedResults {
		t.Errorf("%d results are cached, want %d", len(store.results.order), MaxCachedResults)
	}
}
