package peers

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"elderyard/members"
)

// parseNodeName inverts nodeName, and rejects all other names.
func TestNodeNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9._-]{1,64}`).Draw(t, "name")
		incarnation := members.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation"))
		if parsedName, parsed, ok := parseNodeName(nodeName(name, incarnation)); !ok || parsedName != name || parsed != incarnation {
			t.Fatalf("%q %d: %q %d %v", name, incarnation, parsedName, parsed, ok)
		}
	})
	for _, invalid := range []string{"", "g0", "g0#", "#1", "g0#0", "g0#-1", "g0#zz zz", "g 0#1", "g0#1#2"} {
		if _, _, ok := parseNodeName(invalid); ok {
			t.Errorf("%q was accepted", invalid)
		}
	}
}

// Messages of later versions are accepted and their unknown keys ignored; those below minProtocolVersion are rejected.
func TestMessagesOfOtherVersions(t *testing.T) {
	m, sum, err := decodeMeta([]byte(`{"v":2,"e":9,"s":"00000000000000ff","new":{"a":[1]}}`))
	if err != nil || m.Epoch != 9 || sum != 255 {
		t.Errorf("%+v, %x, %v", m, sum, err)
	}
	got, err := decodeMessage([]byte(`{"v":2,"from":"g1","later":true,"roster":{"epoch":3,"members":[{"name":"g1","more":1}]}}`))
	if err != nil || got.Roster.Epoch != 3 || got.From != "g1" {
		t.Errorf("%+v, %v", got, err)
	}
	for _, invalid := range []string{"", "{", `{"v":0,"e":1,"s":"1"}`, `{"v":1,"e":1,"s":"x"}`} {
		if _, _, err := decodeMeta([]byte(invalid)); err == nil {
			t.Errorf("meta %q was accepted", invalid)
		}
	}
	for _, invalid := range []string{"", "{", `{"v":0}`, `{"v":1,"roster":{"epoch":0}}`, `{"v":1,"roster":{"epoch":1,"members":[{"name":"a"},{"name":"a"}]}}`,
		`{"v":1,"from":"` + strings.Repeat("x", maxMessageBytes) + `"}`} {
		if _, err := decodeMessage([]byte(invalid)); err == nil {
			t.Errorf("message %.40q was accepted", invalid)
		}
	}
}

// Encoded metadata never exceeds the limit of the library.
func TestMetaFits(t *testing.T) {
	for _, adminAddress := range []string{"", "127.0.0.1:1", strings.Repeat("h", 600) + ":1"} {
		m := meta{Version: protocolVersion, Epoch: 1 << 60, Sum: "ffffffffffffffff", AdminAddress: adminAddress, Leaving: true}
		text := m.encode()
		if len(text) > maxMetaBytes {
			t.Errorf("meta has %d bytes", len(text))
		}
		if _, _, err := decodeMeta(text); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// A decoded message can be encoded and decoded again, and invalid input does not panic.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"v":1,"from":"g1","roster":{"epoch":3,"members":[{"name":"g1"}]},"lives":[{"Name":"g1","Life":3}]}`))
	f.Add([]byte(`{"v":1,"e":9,"s":"00000000000000ff","d":"127.0.0.1:1","l":true}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := decodeMessage(text); err == nil && len(text) < maxMessageBytes/8 {
			if _, err := decodeMessage(m.encode()); err != nil {
				t.Errorf("%s: %v", text, err)
			}
		}
		decodeMeta(text)
	})
}
