package records

import (
	"slices"
	"testing"
)

// A digest depends on the content, not on the order of writes.
func TestDigestDoesNotDependOnTheOrder(t *testing.T) {
	store := largeStore(t, 500)
	sorted := store.current().sorted()
	slices.Reverse(sorted)
	if digestOf(sorted) != store.Digest() {
		t.Error("another order gives another digest")
	}
	draft := store.current().edit()
	record := sorted[7]
	draft.put(Record{Key: record.Key, Version: 99, Value: record.Value})
	if draft.state.edit().finish().digest == store.Digest() {
		t.Error("another version gives the same digest")
	}
	draft.put(record)
	draft.remove(key("plan/none"))
	if after := draft.finish(); after.digest != store.Digest() || after.bytes != store.current().bytes {
		t.Error("there and back gives another digest")
	}
}
