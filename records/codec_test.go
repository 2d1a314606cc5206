package records

import (
	"errors"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// Chunks and range digests survive encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	store := largeStore(t, 300)
	chunk := store.Chunk(ContentRequest{Ranges: []int{1, 2, 3, 9}, MaxBytes: MaxChunkBytes})
	data, err := EncodeChunk(chunk)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeChunk(data)
	if err != nil || len(decoded.Ranges) != 4 || decoded.Digest != chunk.Digest {
		t.Errorf("decoded chunk: %+v, %v", decoded, err)
	}
	digests := store.RangeDigests()
	data, err = EncodeRangeDigests(digests)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeRangeDigests(data); err != nil || !reflect.DeepEqual(decoded, digests) {
		t.Errorf("decoded range digests differ (%v)", err)
	}
}

// Guards against memory exhaustion by a peer: invalid messages are rejected, and a small message that expands to a
// large one (a decompression bomb, a list with many elements) is rejected before memory is allocated for it.
func TestInvalidMessages(t *testing.T) {
	const bombBytes = 100 << 20
	bomb := compress(make([]byte, bombBytes))
	if len(bomb) > 100_000 {
		t.Fatalf("the decompression bomb has %d bytes compressed, want at most 100,000", len(bomb))
	}
	many := []byte(`{"version":1,"digest":"00000000000000000000000000000000","ranges":[{"range":1,"records":[`)
	for range 100_000 {
		many = append(many, "{},"...)
	}
	many = append(many, `{}]}]}`...)
	for name, data := range map[string][]byte{
		"empty":                nil,
		"null":                 []byte("null"),
		"decompression bomb":   bomb,
		"truncated frame":      bomb[:len(bomb)/2],
		"magic number only":    zstdMagic,
		"unknown field":        []byte(`{"version":1,"extra":1}`),
		"nested unknown field": []byte(`{"version":1,"ranges":[{"range":1,"digest":0,"records":[],"extra":1}],"delta":{"from":0,"to":1,"extra":1}}`),
		"many records":         many,
		"not a list":           []byte(`{"version":1,"ranges":7,"delta":{"puts":7}}`),
		"short digest":         []byte(`{"version":1,"digest":"00"}`),
		"two outcomes":         []byte(`{"version":1,"repair":"digest","behind":true}`),
	} {
		before := allocated()
		_, chunkErr := DecodeChunk(data)
		_, digestsErr := DecodeRangeDigests(data)
		_, responseErr := DecodeChangesResponse(data)
		for _, err := range []error{chunkErr, digestsErr, responseErr} {
			if !errors.Is(err, ErrMessage) {
				t.Errorf("%s: %v, want ErrMessage", name, err)
			}
		}
		if bytes := allocated() - before; bytes > bombBytes/2 {
			t.Errorf("%s: decoding allocated %d bytes, want at most %d", name, bytes, bombBytes/2)
		}
		if name == "many records" && !strings.Contains(chunkErr.Error(), "has more than") {
			t.Errorf("%s: %v, want an error about the number of elements", name, chunkErr)
		}
	}
}

// allocated returns the number of bytes that the program has allocated since its start.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Inconsistent chunks and deltas are rejected.
func TestInvalidChunksAndDeltas(t *testing.T) {
	store := largeStore(t, 5000)
	valid := func() Chunk {
		chunk := store.Chunk(ContentRequest{Ranges: []int{4, 5}, MaxBytes: MaxChunkBytes})
		for i := range chunk.Ranges {
			chunk.Ranges[i].Records = slices.Clone(chunk.Ranges[i].Records)
		}
		return chunk
	}
	for name, change := range map[string]func(*Chunk){
		"order of ranges":                  func(c *Chunk) { c.Ranges[0], c.Ranges[1] = c.Ranges[1], c.Ranges[0] },
		"range out of bounds":              func(c *Chunk) { c.Ranges[1].Range = RangeCount },
		"wrong range":                      func(c *Chunk) { c.Ranges[0].Range = 3 },
		"order of records":                 func(c *Chunk) { slices.Reverse(c.Ranges[0].Records) },
		"missing record":                   func(c *Chunk) { c.Ranges[0].Records = c.Ranges[0].Records[1:] },
		"record above the chunk's version": func(c *Chunk) { c.Ranges[0].Records[0].Version = c.Version + 1 },
		"changed value":                    func(c *Chunk) { c.Ranges[0].Records[0].Value = []byte("{}") },
	} {
		chunk := valid()
		change(&chunk)
		data, err := EncodeChunk(chunk)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeChunk(data); !errors.Is(err, ErrMessage) {
			t.Errorf("chunk: %s: %v, want ErrMessage", name, err)
		}
	}
	record := Record{Key: key("plan/x"), Version: 2, Value: []byte("{}")}
	for name, delta := range map[string]Delta{
		"decreasing version":                {From: 3, To: 2},
		"change without a new version":      {From: 2, To: 2, Puts: []Record{record}},
		"record above the delta's version":  {From: 0, To: 1, Puts: []Record{record}},
		"put and deleted":                   {From: 0, To: 2, Puts: []Record{record}, Deletes: []Tombstone{{Key: record.Key, Version: 1}}},
		"deleted twice":                     {From: 0, To: 2, Deletes: []Tombstone{{Key: record.Key, Version: 1}, {Key: record.Key, Version: 1}}},
		"deleted above the delta's version": {From: 0, To: 2, Deletes: []Tombstone{{Key: record.Key, Version: 3}}},
		"invalid key of a delete":           {From: 0, To: 2, Deletes: []Tombstone{{Key: Key{"a", "b"}, Version: 1}}},
		"invalid key of a put":              {From: 0, To: 2, Puts: []Record{{Key: Key{Plan, ""}, Version: 1, Value: []byte("{}")}}},
		"put without a version":             {From: 0, To: 2, Puts: []Record{{Key: record.Key, Value: []byte("{}")}}},
		"value not in canonical form":       {From: 0, To: 2, Puts: []Record{{Key: record.Key, Version: 1, Value: []byte("{ }")}}},
	} {
		if err := (&Replica{}).ApplyDelta(delta); err == nil || errors.Is(err, ErrDigest) {
			t.Errorf("delta: %s: %v, want a validation error", name, err)
		}
	}
	if err := (ChangesResponse{Version: 3, Digest: Digest{1}, Delta: &Delta{To: 2, Digest: Digest{1}}}).validate(); err == nil {
		t.Error("accepted a delta whose version is not the response's")
	}
}
