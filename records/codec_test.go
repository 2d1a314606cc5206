package records

import (
	"errors"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// Messages decode to what was encoded.
func TestMessagesRoundTrip(t *testing.T) {
	store := largeStore(t, 300)
	chunk := store.Chunk(ContentRequest{Ranges: []int{1, 2, 3, 9}, MaxBytes: MaxChunkBytes})
	data, err := EncodeChunk(chunk)
	if err != nil {
		t.Fatal(err)
	}
	back, err := DecodeChunk(data)
	if err != nil || len(back.Ranges) != 4 || back.Digest != chunk.Digest {
		t.Errorf("%+v, %v", back, err)
	}
	digests := store.RangeDigests()
	data, err = EncodeRangeDigests(digests)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := DecodeRangeDigests(data); err != nil || !reflect.DeepEqual(again, digests) {
		t.Errorf("%v", err)
	}
}

// Invalid messages are rejected, and large ones before memory is allocated for them.
func TestInvalidMessages(t *testing.T) {
	const bombBytes = 100 << 20
	bomb := compress(make([]byte, bombBytes))
	if len(bomb) > 100_000 {
		t.Fatalf("the bomb has %d bytes", len(bomb))
	}
	many := []byte(`{"version":1,"digest":"00000000000000000000000000000000","ranges":[{"range":1,"records":[`)
	for range 100_000 {
		many = append(many, "{},"...)
	}
	many = append(many, `{}]}]}`...)
	for name, data := range map[string][]byte{
		"empty":         nil,
		"null":          []byte("null"),
		"bomb":          bomb,
		"cut frame":     bomb[:len(bomb)/2],
		"magic alone":   zstdMagic,
		"unknown field": []byte(`{"version":1,"extra":1}`),
		"deep unknown":  []byte(`{"version":1,"ranges":[{"range":1,"digest":0,"records":[],"extra":1}],"delta":{"from":0,"to":1,"extra":1}}`),
		"many records":  many,
		"no list":       []byte(`{"version":1,"ranges":7,"delta":{"puts":7}}`),
		"short digest":  []byte(`{"version":1,"digest":"00"}`),
		"two responses": []byte(`{"version":1,"repair":"digest","behind":true}`),
	} {
		before := allocated()
		_, chunkErr := DecodeChunk(data)
		_, digestsErr := DecodeRangeDigests(data)
		_, responseErr := DecodeChangesResponse(data)
		for _, err := range []error{chunkErr, digestsErr, responseErr} {
			if !errors.Is(err, ErrMessage) {
				t.Errorf("%s: %v", name, err)
			}
		}
		if bytes := allocated() - before; bytes > bombBytes/2 {
			t.Errorf("%s: %d bytes were allocated", name, bytes)
		}
		if name == "many records" && !strings.Contains(chunkErr.Error(), "has more than") {
			t.Errorf("%s: %v", name, chunkErr)
		}
	}
}

// allocated returns how many bytes the program has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Chunks and deltas that contradict themselves are rejected.
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
		"order of ranges":  func(c *Chunk) { c.Ranges[0], c.Ranges[1] = c.Ranges[1], c.Ranges[0] },
		"no such range":    func(c *Chunk) { c.Ranges[1].Range = RangeCount },
		"another range":    func(c *Chunk) { c.Ranges[0].Range = 3 },
		"order of records": func(c *Chunk) { slices.Reverse(c.Ranges[0].Records) },
		"missing record":   func(c *Chunk) { c.Ranges[0].Records = c.Ranges[0].Records[1:] },
		"version":          func(c *Chunk) { c.Ranges[0].Records[0].Version = c.Version + 1 },
		"value":            func(c *Chunk) { c.Ranges[0].Records[0].Value = []byte("{}") },
	} {
		chunk := valid()
		change(&chunk)
		data, err := EncodeChunk(chunk)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeChunk(data); !errors.Is(err, ErrMessage) {
			t.Errorf("chunk: %s: %v", name, err)
		}
	}
	record := Record{Key: key("plan/x"), Version: 2, Value: []byte("{}")}
	for name, delta := range map[string]Delta{
		"back":             {From: 3, To: 2},
		"no version":       {From: 2, To: 2, Puts: []Record{record}},
		"from the future":  {From: 0, To: 1, Puts: []Record{record}},
		"twice":            {From: 0, To: 2, Puts: []Record{record}, Deletes: []Tombstone{{Key: record.Key, Version: 1}}},
		"deleted twice":    {From: 0, To: 2, Deletes: []Tombstone{{Key: record.Key, Version: 1}, {Key: record.Key, Version: 1}}},
		"deleted later":    {From: 0, To: 2, Deletes: []Tombstone{{Key: record.Key, Version: 3}}},
		"key":              {From: 0, To: 2, Deletes: []Tombstone{{Key: Key{"a", "b"}, Version: 1}}},
		"record's key":     {From: 0, To: 2, Puts: []Record{{Key: Key{Plan, ""}, Version: 1, Value: []byte("{}")}}},
		"record's version": {From: 0, To: 2, Puts: []Record{{Key: record.Key, Value: []byte("{}")}}},
		"form":             {From: 0, To: 2, Puts: []Record{{Key: record.Key, Version: 1, Value: []byte("{ }")}}},
	} {
		if err := (&Replica{}).ApplyDelta(delta); err == nil || errors.Is(err, ErrDigest) {
			t.Errorf("delta: %s: %v", name, err)
		}
	}
	if err := (ChangesResponse{Version: 3, Digest: Digest{1}, Delta: &Delta{To: 2, Digest: Digest{1}}}).validate(); err == nil {
		t.Error("a delta to another version than the response's")
	}
}
