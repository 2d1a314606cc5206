package records

import "testing"

// A chunk has at least one range and otherwise stays within its limits. Ranges that do not exist are skipped.
func TestChunkBounds(t *testing.T) {
	store := largeStore(t, 3000)
	all := make([]int, RangeCount)
	for i := range all {
		all[i] = i
	}
	one := store.Chunk(ContentRequest{Ranges: all, MaxBytes: -5})
	if len(one.Ranges) != 1 {
		t.Errorf("%d ranges, want 1", len(one.Ranges))
	}
	largest := store.Chunk(ContentRequest{Ranges: all, MaxBytes: 1 << 30})
	size := 0
	for _, content := range largest.Ranges {
		size += content.size()
	}
	if size > MaxChunkBytes || size < MaxChunkBytes/2 {
		t.Errorf("chunk of %d bytes, want %d to %d", size, MaxChunkBytes/2, MaxChunkBytes)
	}
	if none := store.Chunk(ContentRequest{Ranges: []int{-1, RangeCount}, MaxBytes: 1000}); len(none.Ranges) != 0 {
		t.Errorf("%d ranges for a request of ranges that do not exist", len(none.Ranges))
	}
}

// Records are distributed evenly over the ranges.
func TestRecordsAreDistributedEvenly(t *testing.T) {
	store := largeStore(t, 26_000)
	fullest, withoutRecords := 0, 0
	for i := range RangeCount {
		count := len(store.Range(i).Records)
		fullest = max(fullest, count)
		if count == 0 {
			withoutRecords++
		}
	}
	if fullest > 60 || withoutRecords > 0 {
		t.Errorf("the fullest range has %d records of 26,000, %d are empty", fullest, withoutRecords)
	}
}
