package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/members"
)

// The files in testdata are what gateways of all versions send each other, keep on disk and answer to operators. They were
// written by the code that first had the value, and never change: -update writes only files that are missing, for a form
// that is new. A field that is added gets a golden file of its own, beside the one that older versions write.
var updateGolden = flag.Bool("update", false, "write the golden files that are missing; existing ones are never written")

// requireGolden fails the test if got is not, byte for byte, the content of a golden file.
func requireGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", file)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) && *updateGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("%s has\n%s\nand the code writes\n%s", path, want, got)
	}
}

// requireEveryField fails the test if any field in v is zero, or any slice or map is empty: a field that is added must be
// added to the golden value too.
func requireEveryField(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s is not set in the golden value", path)
			return
		}
		requireEveryField(t, path, v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			if v.IsZero() {
				t.Errorf("%s is not set in the golden value", path)
			}
			return
		}
		for i := range v.NumField() {
			requireEveryField(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("%s is empty in the golden value", path)
		}
		for i := range v.Len() {
			requireEveryField(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty in the golden value", path)
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set in the golden value", path)
		}
	}
}

// withNewKey adds a key that only a later version knows to an encoded object.
func withNewKey(text []byte) []byte {
	return bytes.Replace(text, []byte("{"), []byte(`{"added later":{"a":[1]},`), 1)
}

// requireJSON fails the test unless a value with every field set is encoded as its golden file has it, and the golden file
// is decoded to an equal value, also with a key that only a later version knows.
func requireJSON[T any](t *testing.T, file string, value T) {
	t.Helper()
	requireEveryField(t, reflect.TypeFor[T]().Name(), reflect.ValueOf(value))
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, file, append(text, '\n'))
	golden, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"the golden file": golden, "the golden file with a new key": withNewKey(golden)} {
		var decoded T
		if err := json.Unmarshal(text, &decoded); err != nil {
			t.Errorf("%s: %s: %v", file, name, err)
		}
		if !reflect.DeepEqual(decoded, value) {
			t.Errorf("%s: %s was decoded to\n%+v, want\n%+v", file, name, decoded, value)
		}
	}
}

func goldenRoster() members.Roster {
	return members.Roster{Epoch: 7, Members: []members.Member{{Name: "g0", Since: 1}, {Name: "g1", Since: 7}}}
}

func goldenAnswer() Status {
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
			Foreign: 7, Oversized: 8, Unsealed: 9, QueueFull: 10, RateLimited: 11},
	}
}

func goldenWhy() EvidenceReport {
	return EvidenceReport{Self: "g0", At: 90 * time.Second, Evidence: []members.Evidence{
		{At: 3 * time.Second, Name: "g1", Incarnation: 1<<60 + 5, What: "did not answer a probe", By: "g0"}}}
}

func goldenMeta() meta {
	return meta{Version: 1, Epoch: 7, Sum: "00ff00000000000a", AdminAddress: "127.0.0.2:8000", Leaving: true}
}

func goldenMessage() message {
	return message{Version: 1, From: "g0", Roster: goldenRoster(), Incarnations: []members.IncarnationLearned{{Name: "g0", Incarnation: 1<<60 + 3}, {Name: "g1", Incarnation: 5}}}
}

func goldenKept() savedState {
	return savedState{Incarnation: 1<<60 + 3, Roster: goldenRoster(), Addresses: map[string]string{"g1": "127.0.0.3:7000", "g2": "[::1]:7000"}}
}

func TestGoldenForms(t *testing.T) {
	t.Run("what a member says of itself", func(t *testing.T) { requireJSON(t, "meta.json", goldenMeta()) })
	t.Run("message", func(t *testing.T) { requireJSON(t, "message.json", goldenMessage()) })
	t.Run("file", func(t *testing.T) { requireJSON(t, "kept.json", goldenKept()) })
	t.Run("answer", func(t *testing.T) { requireJSON(t, "answer.json", goldenAnswer()) })
	t.Run("why", func(t *testing.T) { requireJSON(t, "why.json", goldenWhy()) })
	t.Run("asked", func(t *testing.T) {
		answer, why := goldenAnswer(), goldenWhy()
		requireJSON(t, "asked.json", QueryResult{Name: "g0", Address: "127.0.0.2:8000", Status: &answer, Evidence: &why, Error: "127.0.0.2:8000: EOF"})
	})
}

// Keys with an omitempty option are left out of values that have none, and all others are there.
func TestGoldenFormsOfZeroValues(t *testing.T) {
	var text []byte
	for _, v := range []any{meta{}, message{}, savedState{}, Status{}, OperationPermission{}, EvidenceReport{}, QueryResult{}, Traffic{}} {
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	requireGolden(t, "zero.jsonl", text)
}

// What a gateway of the version that wrote the golden files sends is accepted, and what this one sends is the same.
func TestGoldenMessagesAreAccepted(t *testing.T) {
	for _, c := range []struct {
		file  string
		sends []byte
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
		golden, err := os.ReadFile(filepath.Join("testdata", c.file))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(c.sends, bytes.TrimSpace(golden)) {
			t.Errorf("%s: the code sends %s", c.file, c.sends)
		}
		for name, text := range map[string][]byte{
			"as it is":                    golden,
			"of a later version":          bytes.Replace(withNewKey(golden), []byte(`"v":1`), []byte(`"v":1,"later":[1]`), 1),
			"with keys in another letter": bytes.Replace(golden, []byte(`"v":1`), []byte(`"V":1`), 1),
		} {
			if err := c.check(text); err != nil {
				t.Errorf("%s %s: %v", c.file, name, err)
			}
		}
	}
}

// Names, labels and versions that members of all versions agree on.
func TestGoldenWire(t *testing.T) {
	text := fmt.Appendf(nil, "label of north: %x\n", clusterLabel("north"))
	for _, life := range []members.Incarnation{1, 35, 36, 1<<60 + 3, 1<<64 - 1} {
		node := nodeName("g-1_b.c", life)
		if name, back, ok := splitName(node); !ok || name != "g-1_b.c" || back != life {
			t.Errorf("%q is read as %q, %d, %v", node, name, back, ok)
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
	requireGolden(t, "wire.txt", text)
}

// The file that a process keeps has the name, the mode and the content that other versions write, and theirs is read.
func TestGoldenKeptFile(t *testing.T) {
	dir := t.TempDir()
	set := Settings{Self: "g0", Dir: dir}
	if err := set.store(goldenKept()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "g0.peers.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "kept.json", append(text, '\n'))
	if info, err := os.Stat(path); err != nil || info.Mode() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
	golden, err := os.ReadFile(filepath.Join("testdata", "kept.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range [][]byte{golden, withNewKey(golden)} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if k, err := set.load(); err != nil || !reflect.DeepEqual(k, goldenKept()) {
			t.Errorf("%s: decoded to %+v, %v", text, k, err)
		}
	}
}

// The operators' files: of keys, and of the roster.
func TestGoldenOperatorsFiles(t *testing.T) {
	keys, err := readKeys(filepath.Join("testdata", "keys"))
	if err != nil || len(keys) != 3 || string(keys[0]) != strings.Repeat("b", 32) || string(keys[1]) != strings.Repeat("a", 24) || string(keys[2]) != strings.Repeat("c", 16) {
		t.Errorf("keys: %q, %v", keys, err)
	}
	r, err := readRoster(filepath.Join("testdata", "roster.toml"))
	if err != nil || !reflect.DeepEqual(r, goldenRoster()) {
		t.Errorf("roster: %+v, %v", r, err)
	}
}

// Each key of [peers] reaches the setting that it is for, and the environment's roster goes before the file's.
func TestGoldenSettings(t *testing.T) {
	p := site.Peers{Listen: "127.0.0.2:7000", Advertise: "127.0.0.3:7000", Site: "north", KeyFile: "keys", Roster: "roster.toml", Dir: "dir",
		Seeds: []string{"g1"}, Every: strict.Duration(time.Second), MostKB: 3, Reach: []site.PeerReach{{Name: "g1", Address: "127.0.0.4:7000"}}}
	requireEveryField(t, "site.Peers", reflect.ValueOf(p))
	want := Settings{Self: "g0", Site: "north", Listen: "127.0.0.2:7000", Advertise: "127.0.0.3:7000", AdminAddress: "127.0.0.2:8000", Dir: "dir", KeyFile: "keys",
		RosterFile: "roster.toml", Seeds: []string{"g1"}, AddressOverrides: map[string]string{"g1": "127.0.0.4:7000"}, ProbeInterval: time.Second, MaxBytesPerSecond: 3072}
	env := map[string]string{}
	read := func() *Settings {
		t.Helper()
		s, err := FromSite(p, "g0", "127.0.0.2:8000", func(name string) string { return env[name] }, nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	if got := read(); !reflect.DeepEqual(*got, want) {
		t.Errorf("%+v, want %+v", *got, want)
	}
	env["ELDERYARD_ROSTER"] = "agent.toml"
	if got := read(); got.RosterFile != "agent.toml" {
		t.Errorf("roster %q", got.RosterFile)
	}
	machine := members.Settings{Self: "g0", Incarnation: 9, TickInterval: 250 * time.Millisecond, StallThreshold: 1500 * time.Millisecond, MinSettleTime: 2 * time.Second,
		MaxSettleTime: time.Minute, SilenceTimeout: 12 * time.Second}
	if got := want.machineSettings(9); got != machine {
		t.Errorf("%+v, want %+v", got, machine)
	}
}

// silentPeers returns Peers that have read their files and opened no socket; Run is not called.
func silentPeers(t *testing.T) *Peers {
	t.Helper()
	s := newSite(t, "north", 2)
	set := s.settings("g0")
	set.WaitForAddress = true
	p, err := Open(set)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The operators' calls: path, status, type and body.
func TestGoldenCalls(t *testing.T) {
	p := silentPeers(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for a := range p.evidenceQueries {
			a.done <- p.machine.Evidence(a.name)
		}
	}()
	t.Cleanup(func() { close(p.evidenceQueries); <-done })
	desk := p.AdminHandler()
	call := func(ctx context.Context, method, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		desk.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, target, nil))
		return w
	}
	var text []byte
	for _, c := range []struct{ method, target string }{
		{"GET", "/_peers"}, {"HEAD", "/_peers"}, {"POST", "/_peers"}, {"GET", "/_peers/"}, {"GET", "/_peers/other"},
		{"GET", "/_peers/why"}, {"GET", "/_peers/why?name=g0"}, {"GET", "/_peers/why?name=g1"}, {"GET", "/_peers/why?name=g%201"}, {"POST", "/_peers/why"},
	} {
		w := call(t.Context(), c.method, c.target)
		text = fmt.Appendf(text, "%s %s: %d, %s\n", c.method, c.target, w.Code, w.Header().Get("Content-Type"))
		if w.Code != http.StatusOK {
			text = fmt.Appendf(text, "%s\n", w.Body)
			continue
		}
		body := w.Body.Bytes()
		if !bytes.HasSuffix(body, []byte("}\n")) || bytes.Count(body, []byte("\n")) != 1 {
			t.Errorf("%s %s: the body is not one line: %q", c.method, c.target, body)
		}
		text = fmt.Appendf(text, "keys %v\n", keysOf(t, body))
	}
	requireGolden(t, "calls.txt", text)

	var a Status
	decodeStrictly(t, call(t.Context(), "GET", "/_peers").Body.Bytes(), &a)
	if a.Version != 1 || a.Site != "north" || a.Clock.Location() != time.UTC || a.View.Self != "g0" || len(a.Permissions) != len(members.Operations()) {
		t.Errorf("%+v", a)
	}
	for i, u := range members.Operations() {
		if a.Permissions[i].Operation != u.String() {
			t.Errorf("%v is in the place of %v", a.Permissions[i].Operation, u)
		}
	}
	var why EvidenceReport
	decodeStrictly(t, call(t.Context(), "GET", "/_peers/why?name=g0").Body.Bytes(), &why)
	if why.Self != "g0" || !reflect.DeepEqual(why.Evidence, p.machine.Evidence("g0")) {
		t.Errorf("%+v", why)
	}
	if line := p.Summary(); !strings.HasPrefix(line, "peers: unsure for ") || !strings.HasSuffix(line, " (it has just begun, and nobody has answered yet), epoch 1, nobody has answered yet") {
		t.Errorf("%q", line)
	}
}

func decodeStrictly(t *testing.T, text []byte, v any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		t.Errorf("%s: %v", text, err)
	}
}

// keysOf returns the keys of an encoded object, in order.
func keysOf(t *testing.T, text []byte) []string {
	t.Helper()
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Whoever calls a process that has stopped, or gives up, is told that its evidence is not there.
func TestGoldenCallsWithoutEvidence(t *testing.T) {
	p := silentPeers(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, "GET", "/_peers/why", nil))
	if w.Code != http.StatusServiceUnavailable || w.Body.String() != "context canceled\n" {
		t.Errorf("%d %q", w.Code, w.Body)
	}
	close(p.done)
	w = httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequest("GET", "/_peers/why", nil))
	if w.Code != http.StatusServiceUnavailable || w.Body.String() != "peers have stopped\n" {
		t.Errorf("%d %q", w.Code, w.Body)
	}
}

// The operators' tool calls these paths, reads the golden answers, and says what is wrong with others.
func TestGoldenQueries(t *testing.T) {
	var called []string
	status, body := http.StatusOK, []byte(nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called = append(called, r.Method+" "+r.RequestURI)
		w.WriteHeader(status)
		w.Write(body)
	}))
	t.Cleanup(func() { server.Close(); http.DefaultClient.CloseIdleConnections() })
	at := server.Listener.Addr().String()
	answerWith := func(file string) {
		t.Helper()
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		body = text
	}
	answerWith("answer.json")
	if a, err := QueryStatus(t.Context(), at); err != nil || !reflect.DeepEqual(a, goldenAnswer()) {
		t.Errorf("%+v, %v", a, err)
	}
	answerWith("why.json")
	for _, name := range []string{"", "g1", "g 1&x"} {
		if w, err := QueryEvidence(t.Context(), at, name); err != nil || !reflect.DeepEqual(w, goldenWhy()) {
			t.Errorf("%+v, %v", w, err)
		}
	}
	if want := []string{"GET /_peers", "GET /_peers/why?name=", "GET /_peers/why?name=g1", "GET /_peers/why?name=g+1%26x"}; !slices.Equal(called, want) {
		t.Errorf("called %q, want %q", called, want)
	}
	var text []byte
	for _, c := range []struct {
		status int
		body   string
	}{{http.StatusNotFound, "404"}, {http.StatusServiceUnavailable, " peers have stopped\n"}, {http.StatusOK, "{"}} {
		status, body = c.status, []byte(c.body)
		_, err := QueryStatus(t.Context(), at)
		text = fmt.Appendf(text, "%s\n", strings.ReplaceAll(fmt.Sprint(err), at, "AT"))
	}
	requireGolden(t, "query_errors.txt", text)
}
