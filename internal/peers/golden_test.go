package peers

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/members"
)

// The files in testdata contain what gateways of all versions send to each other, store on disk and respond to
// operators. They were written by the first code that had the value, and never change. An added field gets a golden
// file of its own, in addition to the one that older versions write.

func goldenRoster() members.Roster {
	return members.Roster{Epoch: 7, Members: []members.Member{{Name: "g0", Since: 1}, {Name: "g1", Since: 7}}}
}

func goldenStatus() Status {
	return Status{
		Version: 1,
		Site:    "north",
		Clock:   time.Date(2026, 2, 3, 4, 5, 6, 789, time.UTC),
		View: members.View{
			Version: 9, At: 90 * time.Second, Self: "g0", Incarnation: 1<<60 + 3, Verdict: members.Majority, Since: 80 * time.Second,
			Reason: "2 of 3 are heard", Epoch: 7, Sum: 1<<64 - 1, RosterSize: 3, SafeCount: 4, LikelyCount: 2, QuotaDivisor: 5, Dropped: 6,
			SupersededBy: 1<<60 + 4, UnawareMember: "g2", LastAnswer: 89 * time.Second,
			Members: []members.MemberView{{
				Name: "g0", Self: true, IsMember: true, Incarnation: 1<<60 + 3, State: members.StateSuspect, Since: time.Second,
				LastAnswer: 89 * time.Second, Epoch: 6, EarlierIncarnations: 1, Address: "127.0.0.2:7000", AdminAddress: "127.0.0.2:8000",
			}},
		},
		Permissions: []OperationPermission{{Operation: "hold a duty", Allowed: true, Reason: "all are heard; the lease decides"}},
		Traffic: Traffic{PacketsIn: 1, PacketsOut: 2, BytesIn: 3, BytesOut: 4, StreamsIn: 5, StreamsOut: 6,
			Foreign: 7, Oversized: 8, Undecryptable: 9, QueueFull: 10, RateLimited: 11},
	}
}

func goldenEvidence() EvidenceReport {
	return EvidenceReport{Self: "g0", At: 90 * time.Second, Evidence: []members.Evidence{
		{At: 3 * time.Second, Name: "g1", Incarnation: 1<<60 + 5, What: "did not answer a probe", By: "g0"}}}
}

func goldenMeta() meta {
	return meta{Version: 1, Epoch: 7, Sum: "00ff00000000000a", AdminAddress: "127.0.0.2:8000", Leaving: true}
}

func goldenMessage() message {
	return message{Version: 1, From: "g0", Roster: goldenRoster(), Incarnations: []members.IncarnationLearned{{Name: "g0", Incarnation: 1<<60 + 3}, {Name: "g1", Incarnation: 5}}}
}

func goldenSavedState() savedState {
	return savedState{Incarnation: 1<<60 + 3, Roster: goldenRoster(), Addresses: map[string]string{"g1": "127.0.0.3:7000", "g2": "[::1]:7000"}}
}

// Encodings keep their keys, and decoders ignore unknown keys.
func TestGoldenEncodings(t *testing.T) {
	t.Run("meta", func(t *testing.T) { golden.ExtensibleJSON(t, "meta.json", goldenMeta()) })
	t.Run("message", func(t *testing.T) { golden.ExtensibleJSON(t, "message.json", goldenMessage()) })
	t.Run("saved state", func(t *testing.T) { golden.ExtensibleJSON(t, "kept.json", goldenSavedState()) })
	t.Run("status", func(t *testing.T) { golden.ExtensibleJSON(t, "answer.json", goldenStatus()) })
	t.Run("evidence", func(t *testing.T) { golden.ExtensibleJSON(t, "why.json", goldenEvidence()) })
	t.Run("query result", func(t *testing.T) {
		status, evidence := goldenStatus(), goldenEvidence()
		golden.ExtensibleJSON(t, "asked.json", QueryResult{Name: "g0", Address: "127.0.0.2:8000", Status: &status, Evidence: &evidence, Error: "127.0.0.2:8000: EOF"})
	})
}

// In the encoding of zero values, keys with the omitempty option are absent and all others are present.
func TestGoldenEncodingsOfZeroValues(t *testing.T) {
	golden.JSONLines(t, "zero.jsonl", meta{}, message{}, savedState{}, Status{}, OperationPermission{}, EvidenceReport{}, QueryResult{}, Traffic{})
}

// Messages of the version that wrote the golden files are accepted, and this version sends the same ones.
func TestGoldenMessagesAreAccepted(t *testing.T) {
	for _, c := range []struct {
		file  string
		sent  []byte
		check func(text []byte) error
	}{
		{"meta.json", goldenMeta().encode(), func(text []byte) error {
			m, sum, err := decodeMeta(text)
			if err == nil && (m != goldenMeta() || sum != 0x00ff00000000000a) {
				err = fmt.Errorf("decoded to %+v with sum %x", m, sum)
			}
			return err
		}},
		{"message.json", goldenMessage().encode(), func(text []byte) error {
			m, err := decodeMessage(text)
			if err == nil && !reflect.DeepEqual(m, goldenMessage()) {
				err = fmt.Errorf("decoded to %+v", m)
			}
			return err
		}},
	} {
		stored := golden.Read(t, c.file, nil)
		if !bytes.Equal(c.sent, bytes.TrimSpace(stored)) {
			t.Errorf("%s: the code sends %s", c.file, c.sent)
		}
		for name, text := range map[string][]byte{
			"unchanged":                  stored,
			"of a later version":         bytes.Replace(golden.WithNewKey(stored), []byte(`"v":1`), []byte(`"v":1,"later":[1]`), 1),
			"with a key in another case": bytes.Replace(stored, []byte(`"v":1`), []byte(`"V":1`), 1),
		} {
			if err := c.check(text); err != nil {
				t.Errorf("%s %s: %v", c.file, name, err)
			}
		}
	}
}

// Node names, labels, versions and paths are the same in all versions.
func TestGoldenWire(t *testing.T) {
	text := fmt.Appendf(nil, "label of north: %x\n", clusterLabel("north"))
	for _, incarnation := range []members.Incarnation{1, 35, 36, 1<<60 + 3, 1<<64 - 1} {
		node := nodeName("g-1_b.c", incarnation)
		if name, parsed, ok := parseNodeName(node); !ok || name != "g-1_b.c" || parsed != incarnation {
			t.Errorf("%q is parsed as %q, %d, %v", node, name, parsed, ok)
		}
		text = fmt.Appendf(text, "node: %s\n", node)
	}
	text = fmt.Appendf(text, "version %d, at least %d, of the library %d\n", protocolVersion, minProtocolVersion, libraryVersion)
	text = fmt.Appendf(text, "variable: %s\n", RosterVariable)
	text = fmt.Appendf(text, "paths: %s %s\n", StatusPath, EvidencePath)
	for _, m := range []meta{{Version: 0, Sum: "1"}, {Version: 1, Sum: "x"}} {
		_, _, err := decodeMeta(m.encode())
		text = fmt.Appendf(text, "error: %v\n", err)
	}
	golden.File(t, "wire.txt", text)
}

// The file of the saved state keeps its name, mode and content, and this version loads that of others.
func TestGoldenSavedStateFile(t *testing.T) {
	dir := t.TempDir()
	settings := Settings{Self: "g0", Dir: dir}
	if err := settings.store(goldenSavedState()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "g0.peers.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "kept.json", append(text, '\n'))
	if info, err := os.Stat(path); err != nil || info.Mode() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
	stored := golden.Read(t, "kept.json", nil)
	for _, text := range [][]byte{stored, golden.WithNewKey(stored)} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if k, err := settings.load(); err != nil || !reflect.DeepEqual(k, goldenSavedState()) {
			t.Errorf("%s: decoded to %+v, %v", text, k, err)
		}
	}
}
