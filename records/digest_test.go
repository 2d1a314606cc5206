package records

import (
	"slices"
	"testing"
)

// A digest depends on the content and not on the order of writes.
func TestDigestIsOrderIndependent(t *testing.T) {
	store := largeStore(t, 500)
	sorted := store.current().sorted()
	slices.Reverse(sorted)
	if digestOf(sorted) != store.Digest() {
		t.Error("another order of writes has another digest")
	}
	draft := store.current().edit()
	record := sorted[7]
	draft.put(Record{Key: record.Key, Version: 99, Value: record.Value})
	if draft.state.edit().finish().digest == store.Digest() {
		t.Error("another version of a record has the same digest")
	}
	draft.put(record)
	draft.remove(key("plan/none"))
	if after := draft.finish(); after.digest != store.Digest() || after.bytes != store.current().bytes {
		t.Error("a change that was reverted has another digest")
	}
}
