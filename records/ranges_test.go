package records

import "testing"

// A chunk has at least one range, and is otherwise within its bounds.
func TestChunkBounds(t *testing.T) {
	store := largeStore(t, 3000)
	all := make([]int, RangeCount)
	for i := range all {
		all[i] = i
	}
	one := store.Chunk(ContentRequest{Ranges: all, MaxBytes: -5})
	if len(one.Ranges) != 1 {
		t.Errorf("%d ranges", len(one.Ranges))
	}
	largest := store.Chunk(ContentRequest{Ranges: all, MaxBytes: 1 << 30})
	size := 0
	for _, content := range largest.Ranges {
		size += content.size()
	}
	if size > MaxChunkBytes || size < MaxChunkBytes/2 {
		t.Errorf("%d bytes", size)
	}
	if none := store.Chunk(ContentRequest{Ranges: []int{-1, RangeCount}, MaxBytes: 1000}); len(none.Ranges) != 0 {
		t.Errorf("%d ranges that do not exist", len(none.Ranges))
	}
}

// Records are spread evenly over the ranges.
func TestRangesAreEven(t *testing.T) {
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
