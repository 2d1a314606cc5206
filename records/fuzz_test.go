package records

import (
	"testing"
)

// reencode fails the test unless a decoded message can be encoded and decoded again.
func reencode[Message any](t *testing.T, message Message, encode func(Message) ([]byte, error), decode func([]byte) (Message, error)) {
	t.Helper()
	data, err := encode(message)
	if err != nil {
		t.Fatalf("encode a decoded message: %v", err)
	}
	if _, err := decode(data); err != nil {
		t.Fatalf("decode a reencoded message: %v", err)
	}
}

// seed adds a message, its first half and its decompressed text to the corpus.
func seed(f *testing.F, message []byte, err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(message)
	if len(message) > 2 {
		f.Add(message[:len(message)/2])
	}
	text, err := decompress(message, maxSnapshotBytes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
}

// A decoded response can be encoded again, and its delta is only applied if the result has its digest.
func FuzzDecodeChangesResponse(f *testing.F) {
	store := largeStore(f, 40)
	apply(f, store, 9, change(remove("plan/free")), Accepted)
	for _, request := range []ChangesRequest{{}, {Since: 1}, {Since: 9}, {Since: 10}, {Since: 9, Digest: &Digest{}}} {
		data, err := EncodeChangesResponse(store.HandleChanges(request))
		seed(f, data, err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := DecodeChangesResponse(data)
		if err != nil {
			return
		}
		reencode(t, response, EncodeChangesResponse, DecodeChangesResponse)
		if response.Delta == nil {
			return
		}
		replica := &Replica{}
		if err := replica.ApplyDelta(*response.Delta); err == nil && replica.Digest() != response.Digest {
			t.Fatal("applied a delta whose result has another digest")
		}
	})
}

// Decoded digests can be encoded again and compared.
func FuzzDecodeRangeDigests(f *testing.F) {
	data, err := EncodeRangeDigests(largeStore(f, 40).RangeDigests())
	seed(f, data, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		digests, err := DecodeRangeDigests(data)
		if err != nil {
			return
		}
		reencode(t, digests, EncodeRangeDigests, DecodeRangeDigests)
		if err := NewRepair(&Replica{}).CompareDigests(digests); err != nil {
			t.Fatal(err)
		}
	})
}

// A decoded chunk can be encoded again and staged.
func FuzzDecodeChunk(f *testing.F) {
	store := largeStore(f, 200)
	for _, ranges := range [][]int{{0}, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}} {
		data, err := EncodeChunk(store.Chunk(ContentRequest{Ranges: ranges, MaxBytes: MaxChunkBytes}))
		seed(f, data, err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := DecodeChunk(data)
		if err != nil {
			return
		}
		reencode(t, chunk, EncodeChunk, DecodeChunk)
		repair := NewRepair(&Replica{})
		if err := repair.StageChunk(chunk); err == nil && len(repair.Pending()) != RangeCount-len(chunk.Ranges) {
			t.Fatal("staged ranges are still pending")
		}
	})
}

// Restore either fails and leaves the store unchanged, or the store can be stored and restored again. The fuzzer only
// varies the body, since nearly all inputs would fail the checksum.
func FuzzRestoreStore(f *testing.F) {
	store := largeStore(f, 20)
	request := change(put("plan/x", planValue))
	request.IdempotencyKey = "r"
	apply(f, store, 9, request, Accepted)
	apply(f, store, 10, change(remove("plan/free")), Accepted)
	for _, each := range []*Store{store, {}} {
		data, err := each.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		seed(f, snapshotBody(storeHeader, data), nil)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		restored := &Store{}
		if err := restored.Restore(snapshotWithBody(storeHeader, body)); err != nil {
			if restored.Version() != 0 || restored.Len() != 0 {
				t.Fatal("an invalid snapshot has changed the store")
			}
			return
		}
		data, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := &Store{}
		if err := again.Restore(data); err != nil || again.Digest() != restored.Digest() {
			t.Fatalf("restore the snapshot of a restored state: %v", err)
		}
	})
}

// A restored replica can be stored and restored again.
func FuzzRestoreReplica(f *testing.F) {
	replica := fullReplica(f, largeStore(f, 20))
	data, err := replica.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	seed(f, snapshotBody(replicaHeader, data), nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		restored := &Replica{}
		if err := restored.Restore(snapshotWithBody(replicaHeader, body)); err != nil {
			return
		}
		data, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := &Replica{}
		if err := again.Restore(data); err != nil || again.Digest() != restored.Digest() {
			t.Fatalf("restore the snapshot of a restored state: %v", err)
		}
	})
}

// A parsed key formats to the same text.
func FuzzParseKey(f *testing.F) {
	f.Add("route/a")
	f.Add("tenant/00ff:x")
	f.Fuzz(func(t *testing.T, text string) {
		if parsed, err := ParseKey(text); err == nil && parsed.String() != text {
			t.Fatalf("%q parsed as %s", text, parsed)
		}
	})
}

// Parsed ranges can be formatted and parsed again.
func FuzzParseRanges(f *testing.F) {
	f.Add("0-9,12,1023")
	f.Fuzz(func(t *testing.T, text string) {
		ranges, err := ParseRanges(text)
		if err != nil {
			return
		}
		again, err := ParseRanges(FormatRanges(ranges))
		if err != nil || len(again) != len(ranges) || len(ranges) > RangeCount {
			t.Fatalf("%q: %d ranges, %d after formatting and parsing, %v", text, len(ranges), len(again), err)
		}
	})
}

// The canonical form of a valid value is valid, and is its own canonical form.
func FuzzParseValue(f *testing.F) {
	f.Add("plan", []byte(planValue))
	f.Add("tenant", []byte(tenantValue))
	f.Add("route", []byte(routeValue))
	f.Add("service", []byte(serviceValue))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		_, canonical, problem := ParseValue(Kind(kind), data)
		if problem != nil {
			return
		}
		_, again, problem := ParseValue(Kind(kind), canonical)
		if problem != nil || string(again) != string(canonical) {
			t.Fatalf("canonical form %s parsed as %s (%v)", canonical, again, problem)
		}
	})
}
