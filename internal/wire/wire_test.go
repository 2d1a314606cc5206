package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"elderyard/rules"
)

func frame(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const emptyBatch = "4020d3126e978d50 00000008 00000000 00000001"

func TestDecodeEvents(t *testing.T) {
	in := frame(t, `4020d3126e978d50 00000046 00000005 0000000c
		1c 00000003
		12 5d3a91c4 3f800000 0000 91f03b7c55d20a64 40400000 40000000 01 0000 40214df3b645a1cb
		16 000000000000004d
		1c 00000005
		15 0e6f2b19`)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 12 || len(b.Records) != 3 {
		t.Fatalf("batch %d with %d records", b.Seq, len(b.Records))
	}
	r := b.Records[0].Event.(rules.Request)
	want := rules.Request{ID: 0x5d3a91c4, FirstGateway: 1, Customer: 0x91f03b7c55d20a64, Gateways: 3, Units: 2,
		Deadline: r.Deadline}
	if r != want || r.Deadline <= b.Now || r.Deadline > b.Now+1 {
		t.Errorf("got %+v", r)
	}
	if b.Records[1].Event != (rules.TimerFired{Token: 0x4d}) || b.Records[2].Gateway != 5 ||
		b.Records[2].Event != (rules.ClientDisconnected{Request: 0x0e6f2b19}) {
		t.Errorf("got %+v", b.Records[1:])
	}
}

func TestDecodeListsInOrder(t *testing.T) {
	one := "1b 00000000 00000001 03124a07 00 0000 0000 01 3f800000 0000000000000000"
	two := "1b 00000000 00000001 2c9011f2 01 0000 0000 02 3fc00000 4018666666666666"
	sync := "11 01 00000029 00000000"
	in := frame(t, "4020d3126e978d50 00000063 00000005 00000001 1c 00000003"+one+sync+two+sync)
	in[11] = byte(len(in) - 12)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Records[0].Event.(rules.Backends), b.Records[1].Event.(rules.Backends)
	if first.Entries[0].ID != 0x03124a07 || first.Entries[0].State != rules.Ready || first.Kind != rules.DeltaList {
		t.Errorf("first list %+v", first)
	}
	if e := second.Entries[0]; e.ID != 0x2c9011f2 || e.State != rules.Draining || e.Weight != 1.5 || e.StartedAt < 6 {
		t.Errorf("second list %+v", second)
	}
}

func TestDecodeAttemptEndAndCounter(t *testing.T) {
	in := frame(t, `4020d3126e978d50 00000000 00000003 00000001 1c 00000003
		14 5d3a91c4 00 03124a07 00 3f92f1a9fbe76c8b 01 0056 0003 02 40e0000040400000
		1a 000000000089f690 00 42180000 3f619ce075f6fd22`)
	in[11] = byte(len(in) - 12)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	e := b.Records[0].Event.(rules.AttemptEnd)
	if e.Outcome != rules.Served || !e.RequestDone || e.QuotaUse != 0x56 || e.ActualUnits != 3 || len(e.LoadData) != 2 || e.LoadData[0] != 7 {
		t.Errorf("got %+v", e)
	}
	if c := b.Records[1].Event.(rules.CounterReply); c.Key != 0x89f690 || c.Total != 38 {
		t.Errorf("got %+v", c)
	}
}

func TestEncodeReply(t *testing.T) {
	var r Reply
	r.Reset(12)
	err := r.Add(3, []rules.Action{rules.Send{Request: 0x5d3a91c4, Backend: 0x03124a07, Timeout: 0.08},
		rules.SetTimer{Delay: 0.5, Token: 0x4d}})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Add(5, []rules.Action{rules.Log{Text: "two servers known"}}); err != nil {
		t.Fatal(err)
	}
	want := frame(t, `00000048 00000005 0000000c 57 00000003 5b 5d3a91c4 3fb47ae147ae147b 03124a07
		52 3fe0000000000000 000000000000004d 57 00000005 5c 0011 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(r.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", r.Bytes(), want)
	}
	r.Reset(1)
	if want := frame(t, "00000008 00000000 00000001"); !bytes.Equal(r.Bytes(), want) {
		t.Errorf("empty reply %x", r.Bytes())
	}
}

func TestMalformedInput(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"short header":      {"4020d3126e978d50 0000", "within a header"},
		"impossible length": {"4020d3126e978d50 00000004 00000000 00000001", "impossible length"},
		"huge length":       {"4020d3126e978d50 ffffffff 00000000 00000001", "impossible length"},
		"cut frame":         {"4020d3126e978d50 00000020 00000001 00000001 1c", "within the frame"},
		"unknown code":      {"4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 63", "not known"},
		"short record":      {"4020d3126e978d50 0000000b 00000001 00000001 1c 0000", "too short"},
		"no instance":       {"4020d3126e978d50 00000011 00000001 00000001 16 000000000000004d", "no instance was named"},
		"trailing byte":     {"4020d3126e978d50 00000009 00000000 00000001 00", "follow the last record"},
		"missing list":      {"4020d3126e978d50 00000017 00000002 00000001 1c 00000003 11 00 00000029 00000004", "not defined"},
		"bad settings": {"4020d3126e978d50 0000001c 00000002 00000001 1c 00000003 10 0000000000000001 00000002 7b7b",
			"settings"},
	} {
		_, err := NewDecoder(bytes.NewReader(frame(t, c.in))).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, c.want)
		}
	}
}

func TestEndOfInput(t *testing.T) {
	d := NewDecoder(bytes.NewReader(frame(t, emptyBatch)))
	if b, err := d.Next(); err != nil || len(b.Records) != 0 {
		t.Errorf("empty batch: %v %v", b, err)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last batch: %v, want io.EOF", err)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"unknownKey": 1, "discovery": "ask",
		"classes": [{"objectiveS": 0.8, "deadlineS": 2, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 5}],
		"packages": [{"pays": 0.5, "unitsPerS": 2, "depth": 4, "atOnce": 3, "neverOverRate": 9}],
		"loadReport": {"fields": ["x9", "pending"], "how": "inline"}, "allowed": {"mostTries": 4}}`))
	if err != nil {
		t.Fatal(err)
	}
	c, p := s.Classes[0], s.Plans[0]
	if c.Idempotency != rules.IdempotentByKey || c.Scope != rules.ScopeCell || c.LatencyObjective != 0.8 || c.DedupeWindow != 5 || c.Value != 3 {
		t.Errorf("class %+v", c)
	}
	if p.Price != 0.5 || p.Rate != 2 || p.Burst != 4 || p.MaxConcurrent != 3 || p.CeilingRate != 9 {
		t.Errorf("plan %+v", p)
	}
	if !s.SubscribeDiscovery || !s.InlineLoadReports || s.MaxAttempts != 4 || s.LoadFields[0] != rules.LoadOther ||
		s.LoadFields[1] != rules.LoadQueued {
		t.Errorf("settings %+v", s)
	}
	if _, err := ParseSettings([]byte(`{"classes": [{"effect": "thrice"}], "packages": [{}]}`)); err == nil {
		t.Error("an unknown effect was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(f, emptyBatch))
	f.Add(frame(f, "4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 19"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
