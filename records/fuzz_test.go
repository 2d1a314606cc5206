package records

import (
	"testing"
)

// reencode fails the test unless a decoded message can be encoded and decoded again.
func reencode[Message any](t *testing.T, message Message, encode func(Message) ([]byte, error), decode func([]byte) (Message, error)) {
	t.Helper()
	data, err := encode(message)
	if err != nil {
		t.Fatalf("read, but not written: %v", err)
	}
	if _, err := decode(data); err != nil {
		t.Fatalf("written, but not read: %v", err)
	}
}

// seed adds a message, half of it and its text before compression to the corpus.
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

// A response that is decoded can be encoded, and its delta is verified.
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
			t.Fatal("accepted a delta with another digest")
		}
	})
}

// Digests that are decoded can be encoded and compared.
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

// A chunk that is decoded can be encoded and staged.
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
			t.Fatal("the ranges of the chunk are still pending")
		}
	})
}

// The checksum would reject nearly all inputs of a fuzzer, so the test adds the right one.
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
		seed(f, unsealed(storeHeader, data), nil)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		restored := &Store{}
		if err := restored.Restore(sealed(storeHeader, body)); err != nil {
			if restored.Version() != 0 || restored.Len() != 0 {
				t.Fatal("a rejected snapshot has changed the store")
			}
			return
		}
		data, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := &Store{}
		if err := again.Restore(data); err != nil || again.Digest() != restored.Digest() {
			t.Fatalf("restored, but not again: %v", err)
		}
	})
}

// A replica that is restored can be stored and restored again.
func FuzzRestoreReplica(f *testing.F) {
	replica := fullReplica(f, largeStore(f, 20))
	data, err := replica.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	seed(f, unsealed(replicaHeader, data), nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		restored := &Replica{}
		if err := restored.Restore(sealed(replicaHeader, body)); err != nil {
			return
		}
		data, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := &Replica{}
		if err := again.Restore(data); err != nil || again.Digest() != restored.Digest() {
			t.Fatalf("restored, but not again: %v", err)
		}
	})
}

// A key that is parsed has the same text.
func FuzzParseKey(f *testing.F) {
	f.Add("route/a")
	f.Add("tenant/00ff:x")
	f.Fuzz(func(t *testing.T, text string) {
		if parsed, err := ParseKey(text); err == nil && parsed.String() != text {
			t.Fatalf("%q was read as %s", text, parsed)
		}
	})
}

// Ranges that are parsed can be formatted and parsed again.
func FuzzParseRanges(f *testing.F) {
	f.Add("0-9,12,1023")
	f.Fuzz(func(t *testing.T, text string) {
		ranges, err := ParseRanges(text)
		if err != nil {
			return
		}
		again, err := ParseRanges(FormatRanges(ranges))
		if err != nil || len(again) != len(ranges) || len(ranges) > RangeCount {
			t.Fatalf("%q: %d ranges, again %d, %v", text, len(ranges), len(again), err)
		}
	})
}

// A value that is valid stays so in its canonical form, which does not change.
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
			t.Fatalf("%s became %s (%v)", canonical, again, problem)
		}
	})
}
