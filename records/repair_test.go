package records

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// fetch takes one chunk over the wire's form.
func fetch(t testing.TB, repair *Repair, store *Store, maxBytes int) {
	t.Helper()
	data, err := EncodeChunk(store.Chunk(ContentRequest{Ranges: repair.Pending(), MaxBytes: maxBytes}))
	if err != nil {
		t.Fatal(err)
	}
	chunk, err := DecodeChunk(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := repair.TakeChunk(chunk); err != nil {
		t.Fatal(err)
	}
}

func compare(t testing.TB, repair *Repair, store *Store) {
	t.Helper()
	data, err := EncodeRangeDigests(store.RangeDigests())
	if err != nil {
		t.Fatal(err)
	}
	digests, err := DecodeRangeDigests(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := repair.TakeDigests(digests); err != nil {
		t.Fatal(err)
	}
}

func TestRepairOfAnEmptyReplica(t *testing.T) {
	store := largeStore(t, 2000)
	replica := &Replica{}
	repair := NewRepair(replica)
	chunks := 0
	version := store.Version()
	for repair.Next() == NeedContent {
		fetch(t, repair, store, 16<<10)
		chunks++
		// The store goes on while the chunks are fetched.
		version++
		apply(t, store, version, change(
			put(fmt.Sprintf("plan/new-%d", chunks), planValue),
			remove(fmt.Sprintf("plan/new-%d", chunks-1)),
			put("tenant/changing", fmt.Sprintf(`{"plan":"gold","burst":%d}`, chunks)),
		), Accepted)
		if replica.Len() != 0 {
			t.Fatal("a part has come in force")
		}
	}
	if chunks < 10 {
		t.Errorf("%d chunks", chunks)
	}
	if err := repair.Finish(replica, since(t, store, repair.Since())); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != version || replica.Digest() != store.Digest() || replica.Len() != store.Len() {
		t.Errorf("at %d with %d records", replica.Version(), replica.Len())
	}
}

// Only the ranges that differ are fetched, also from a server whose log has been
// compacted above the replica's version.
func TestRepairFetchesWhatDiffers(t *testing.T) {
	store := largeStore(t, 3000)
	replica := &Replica{}
	if err := replica.ApplyDelta(since(t, store, 0)); err != nil {
		t.Fatal(err)
	}
	apply(t, store, 100, change(put("plan/a", planValue), put("plan/b", planValue), remove("plan/free"), put("plan/gold", `{"price_weight":3,"requests_per_second":1}`)), Accepted)
	store.log.compact(len(store.log.entries))
	if answer := store.Answer(ChangesRequest{Since: replica.Version()}); answer.Repair != RepairCompacted {
		t.Fatalf("answer %+v", answer)
	}
	repair := NewRepair(replica)
	if repair.Next() != NeedDigests {
		t.Fatal("digests are not wanted")
	}
	compare(t, repair, store)
	if pending := repair.Pending(); len(pending) != 4 {
		t.Errorf("%d ranges differ", len(pending))
	}
	fetch(t, repair, store, MaxChunkBytes)
	// The changes lead to where the server is already.
	if err := repair.Finish(replica, Delta{From: 100, To: 100, Digest: store.Digest()}); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != 100 || replica.Digest() != store.Digest() {
		t.Errorf("at %d", replica.Version())
	}
}

// Chunks may come from servers at different versions, the later one behind the
// first: the changes above the lowest version make them one.
func TestRepairAcrossServers(t *testing.T) {
	ahead := smallStore(t)
	behind := smallStore(t)
	for _, store := range []*Store{ahead, behind} {
		store.log.compact(len(store.log.entries))
	}
	changed := key("plan/gold")
	apply(t, ahead, 2, change(Operation{Key: changed, Value: []byte(`{"price_weight":2,"requests_per_second":2}`)}), Accepted)
	apply(t, ahead, 3, change(remove("route/search")), Accepted)

	replica := &Replica{}
	repair := NewRepair(replica)
	for repair.Next() == NeedContent {
		from := ahead
		if index := repair.Pending()[0]; index == RangeOf(changed) || index == RangeOf(key("route/search")) {
			from = behind
		}
		fetch(t, repair, from, 1)
	}
	if since := repair.Since(); since != 1 {
		t.Errorf("the changes since %d are wanted", since)
	}
	if err := repair.Finish(replica, Delta{From: 1, To: 1, Digest: behind.Digest()}); !errors.Is(err, ErrBehind) {
		t.Errorf("finished by the server that is behind: %v", err)
	}
	if err := repair.Finish(replica, since(t, ahead, repair.Since())); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != 3 || replica.Digest() != ahead.Digest() {
		t.Errorf("at version %d", replica.Version())
	}
}

func TestRepairRefuses(t *testing.T) {
	store := smallStore(t)
	replica := &Replica{}
	if err := replica.ApplyDelta(since(t, store, 0)); err != nil {
		t.Fatal(err)
	}
	stale := smallStore(t)
	apply(t, store, 2, change(put("plan/free", planValue)), Accepted)
	if err := replica.ApplyDelta(since(t, store, 1)); err != nil {
		t.Fatal(err)
	}
	apply(t, store, 3, change(put("plan/other", planValue), remove("plan/free")), Accepted)

	repair := NewRepair(replica)
	if err := repair.Finish(replica, since(t, store, 2)); err == nil {
		t.Error("finished without a comparison")
	}
	if err := repair.TakeDigests(stale.RangeDigests()); !errors.Is(err, ErrBehind) {
		t.Errorf("digests of a stale server: %v", err)
	}
	compare(t, repair, store)
	wanted := repair.Pending()
	if err := repair.TakeChunk(stale.Chunk(ContentRequest{Ranges: wanted})); !errors.Is(err, ErrBehind) {
		t.Errorf("a chunk of a stale server: %v", err)
	}
	if err := repair.TakeChunk(Chunk{Version: 3, Digest: store.Digest()}); err == nil {
		t.Error("took an empty chunk")
	}
	changed := store.Chunk(ContentRequest{Ranges: []int{RangeOf(key("plan/other"))}})
	changed.Ranges[0].Records = slices.Clone(changed.Ranges[0].Records)
	changed.Ranges[0].Records[0].Version = 2
	if err := repair.TakeChunk(changed); !errors.Is(err, ErrDigest) {
		t.Errorf("a changed chunk: %v", err)
	}
	if !slices.Equal(repair.Pending(), wanted) {
		t.Error("a refused chunk has been staged")
	}
	for repair.Next() == NeedContent {
		fetch(t, repair, store, 1)
	}
	apply(t, store, 4, change(put("plan/last", planValue)), Accepted)
	delta := since(t, store, 3)
	if err := repair.Finish(replica, Delta{From: 4, To: 5}); !errors.Is(err, ErrGap) {
		t.Errorf("changes that begin too late: %v", err)
	}
	if err := repair.Finish(replica, Delta{From: 1, To: 2, Digest: replica.Digest()}); !errors.Is(err, ErrBehind) {
		t.Errorf("changes that end too early: %v", err)
	}
	damaged := delta
	damaged.Puts = slices.Clone(delta.Puts)
	damaged.Puts[0].Value = []byte(tenantValue)
	if err := repair.Finish(replica, damaged); !errors.Is(err, ErrDigest) || replica.Version() != 2 {
		t.Errorf("damaged changes: %v, at version %d", err, replica.Version())
	}
	if repair.Next() != NeedDigests {
		t.Error("the ranges are not to be compared again")
	}
	// The ranges that differ now are fetched again, and no more.
	compare(t, repair, store)
	if pending := repair.Pending(); len(pending) != 1 || pending[0] != RangeOf(key("plan/last")) {
		t.Errorf("pending %v", pending)
	}
	fetch(t, repair, store, MaxChunkBytes)
	if err := repair.Finish(replica, since(t, store, repair.Since())); err != nil || replica.Digest() != store.Digest() {
		t.Errorf("%v, at version %d", err, replica.Version())
	}
}

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
	most := store.Chunk(ContentRequest{Ranges: all, MaxBytes: 1 << 30})
	size := 0
	for _, content := range most.Ranges {
		size += content.size()
	}
	if size > MaxChunkBytes || size < MaxChunkBytes/2 {
		t.Errorf("%d bytes", size)
	}
	if none := store.Chunk(ContentRequest{Ranges: []int{-1, RangeCount}, MaxBytes: 1000}); len(none.Ranges) != 0 {
		t.Errorf("%d ranges that do not exist", len(none.Ranges))
	}
}

func TestRangesText(t *testing.T) {
	for text, want := range map[string][]int{
		"0":          {0},
		"1023":       {1023},
		"0-2,5,7-8":  {0, 1, 2, 5, 7, 8},
		"1020-1023":  {1020, 1021, 1022, 1023},
		"3,1000-100": nil,
		"5,5":        nil,
		"5-7,7":      nil,
		"1024":       nil,
		"-1":         nil,
		"":           nil,
		"1,":         nil,
		"a":          nil,
		"1-2-3":      nil,
	} {
		ranges, err := ParseRanges(text)
		if (err != nil) != (want == nil) || !slices.Equal(ranges, want) {
			t.Errorf("%q: %v, %v", text, ranges, err)
		}
		if err == nil && FormatRanges(ranges) != text {
			t.Errorf("%q: written as %q", text, FormatRanges(ranges))
		}
	}
}

// Records are spread evenly over the ranges.
func TestRangesAreEven(t *testing.T) {
	store := largeStore(t, 26_000)
	fullest, empty := 0, 0
	for i := range RangeCount {
		count := len(store.Range(i).Records)
		fullest = max(fullest, count)
		if count == 0 {
			empty++
		}
	}
	if fullest > 60 || empty > 0 {
		t.Errorf("the fullest range has %d records of 26,000, %d are empty", fullest, empty)
	}
}

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
	if draft.state.clone().digest == store.Digest() {
		t.Error("another version gives the same digest")
	}
	draft.put(record)
	draft.remove(key("plan/none"))
	if after := draft.finish(); after.digest != store.Digest() || after.bytes != store.current().bytes {
		t.Error("there and back gives another digest")
	}
}

func (s *state) clone() *state { return s.edit().finish() }

func TestMessagesGoRoundTheWire(t *testing.T) {
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

// Messages that cannot be right are refused, large ones before they take memory.
func TestBadMessages(t *testing.T) {
	bomb := compress(make([]byte, 100<<20))
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
		"two answers":   []byte(`{"version":1,"repair":"digest","behind":true}`),
	} {
		_, chunkErr := DecodeChunk(data)
		_, digestsErr := DecodeRangeDigests(data)
		_, answerErr := DecodeAnswer(data)
		for _, err := range []error{chunkErr, digestsErr, answerErr} {
			if !errors.Is(err, ErrMessage) {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

func TestBadChunksAndDeltas(t *testing.T) {
	store := largeStore(t, 5000)
	whole := func() Chunk {
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
		chunk := whole()
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
	if err := (Answer{Version: 3, Digest: Digest{1}, Delta: &Delta{To: 2, Digest: Digest{1}}}).check(); err == nil {
		t.Error("a delta to another version than the answer's")
	}
}
