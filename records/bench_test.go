package records

import (
	"fmt"
	"runtime"
	"testing"
)

// siteRecords is the number of records of the largest site that the design has to support.
const siteRecords = 26_000

// heapBytes returns the size of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against memory growth: a replica of a full-size site, restored from its snapshot, retains at most 12 MiB.
func TestReplicaMemory(t *testing.T) {
	data, err := fullReplica(t, largeStore(t, siteRecords)).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := heapBytes()
	replica := &Replica{}
	if err := replica.Restore(data); err != nil {
		t.Fatal(err)
	}
	retained := int64(heapBytes()) - int64(before)
	t.Logf("a replica of %d records has %.1f MB; its file has %d bytes", replica.Len(), float64(retained)/1e6, len(data))
	if retained > 12<<20 {
		t.Errorf("replica retains %d bytes, want at most %d", retained, 12<<20)
	}
	runtime.KeepAlive(data)
	runtime.KeepAlive(replica)
}

// BenchmarkWireSizes reports the encoded sizes of messages as the metric wire-bytes.
func BenchmarkWireSizes(b *testing.B) {
	store := largeStore(b, siteRecords)
	all := make([]int, RangeCount)
	for i := range all {
		all[i] = i
	}
	b.Run("delta of 1 record", func(b *testing.B) { benchmarkDelta(b, store, 1) })
	b.Run("delta of 5000 records", func(b *testing.B) { benchmarkDelta(b, store, 5000) })
	b.Run("range digests", func(b *testing.B) {
		size := 0
		for b.Loop() {
			data, err := EncodeRangeDigests(store.RangeDigests())
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "wire-bytes")
	})
	for _, maxBytes := range []int{16 << 10, 64 << 10, MaxChunkBytes} {
		b.Run(fmt.Sprintf("all chunks of %d KB", maxBytes>>10), func(b *testing.B) {
			total, chunks := 0, 0
			for b.Loop() {
				total, chunks = 0, 0
				for remaining := all; len(remaining) > 0; chunks++ {
					chunk := store.Chunk(ContentRequest{Ranges: remaining, MaxBytes: maxBytes})
					data, err := EncodeChunk(chunk)
					if err != nil {
						b.Fatal(err)
					}
					total += len(data)
					remaining = remaining[len(chunk.Ranges):]
				}
			}
			b.ReportMetric(float64(total), "wire-bytes")
			b.ReportMetric(float64(chunks), "chunks")
		})
	}
}

func benchmarkDelta(b *testing.B, store *Store, count int) {
	changed := &Store{}
	snapshot, err := store.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	if err := changed.Restore(snapshot); err != nil {
		b.Fatal(err)
	}
	before := changed.Version()
	var operations []Operation
	for i := range count {
		operations = append(operations, put(fmt.Sprintf("tenant/changed-%05d", i*7919%100_000), fmt.Sprintf(`{"plan":"gold","burst":%d}`, i+1)))
	}
	apply(b, changed, before+1, change(operations...), Accepted)
	size := 0
	for b.Loop() {
		data, err := EncodeChangesResponse(changed.HandleChanges(ChangesRequest{Since: before}))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "wire-bytes")
}

// BenchmarkApply measures changes of a full-size store.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{1, 5000} {
		b.Run(fmt.Sprintf("%d operations", count), func(b *testing.B) {
			store := largeStore(b, siteRecords)
			version := store.Version()
			b.ReportAllocs()
			for b.Loop() {
				version++
				var operations []Operation
				for i := range count {
					operations = append(operations, put(fmt.Sprintf("tenant/t%d", i), fmt.Sprintf(`{"plan":"gold","burst":%d}`, version)))
				}
				apply(b, store, version, change(operations...), Accepted)
			}
		})
	}
}

// BenchmarkReplicaApply measures a change of one record in a full-size store and its replica.
func BenchmarkReplicaApply(b *testing.B) {
	store := largeStore(b, siteRecords)
	version := store.Version()
	replica := fullReplica(b, store)
	b.ReportAllocs()
	for b.Loop() {
		version++
		apply(b, store, version, change(put("tenant/x", fmt.Sprintf(`{"plan":"gold","burst":%d}`, version))), Accepted)
		if err := replica.ApplyDelta(since(b, store, version-1)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures writing and reading full-size snapshots.
func BenchmarkSnapshot(b *testing.B) {
	store := largeStore(b, siteRecords)
	replica := fullReplica(b, store)
	for _, each := range []struct {
		name     string
		snapshot func() ([]byte, error)
		restore  func([]byte) error
	}{
		{"store", store.Snapshot, func(data []byte) error { return (&Store{}).Restore(data) }},
		{"replica", replica.Snapshot, func(data []byte) error { return (&Replica{}).Restore(data) }},
	} {
		b.Run("write "+each.name, func(b *testing.B) {
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := each.snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "file-bytes")
		})
		data, err := each.snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run("read "+each.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := each.restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDifference measures the comparison of two full-size stores.
func BenchmarkDifference(b *testing.B) {
	from, to := largeStore(b, siteRecords), largeStore(b, siteRecords)
	apply(b, to, 100, change(remove("plan/free")), Accepted)
	for b.Loop() {
		if delta := Difference(from, to); len(delta.Deletes) != 1 {
			b.Fatalf("%d deletes, want 1", len(delta.Deletes))
		}
	}
}
