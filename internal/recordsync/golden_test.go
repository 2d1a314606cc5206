package recordsync

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/internal/testwait"
	"elderyard/records"
)

// goldenSource returns a source with few and short records: messages about them are not
// compressed, so their bytes do not depend on the version of a library.
func goldenSource(t testing.TB) *memorySource {
	t.Helper()
	source := newMemorySource()
	source.apply(t, plan("gold", 7), plan("old", 1))
	source.apply(t, records.Operation{Key: records.Key{Kind: records.Plan, Name: "old"}, Delete: true})
	return source
}

// allRequests returns one request of each kind with every field set, and one with none.
func allRequests() map[string]records.Request {
	digest := records.Digest{0x01, 0x23, 0x45, 0x67, 0x89, 0xab, 0xcd, 0xef, 0xfe, 0xdc, 0xba, 0x98, 0x76, 0x54, 0x32, 0x10}
	return map[string]records.Request{
		"changes":         records.ChangesRequest{Since: 3, Digest: &digest, Wait: 8 * time.Second},
		"changes_minimal": records.ChangesRequest{},
		"ranges":          records.DigestsRequest{},
		"content":         records.ContentRequest{Ranges: []int{0, 1, 2, 9, 1023}, MaxBytes: 65536},
	}
}

// Requests keep their encoding on the wire, byte for byte, with every field set.
func TestGoldenRequests(t *testing.T) {
	for name, request := range allRequests() {
		t.Run(name, func(t *testing.T) {
			value := reflect.ValueOf(request)
			for i := range value.NumField() {
				if value.Field(i).IsZero() && name != "changes_minimal" {
					t.Errorf("%T.%s is not set in the golden value", request, value.Type().Field(i).Name)
				}
			}
			golden.File(t, "golden/request_"+name+".http", sentBytes(t, request))
		})
	}
}

// sentBytes returns the bytes that a follower sends over its connection for a request.
func sentBytes(t *testing.T, request records.Request) []byte {
	t.Helper()
	client, server := net.Pipe()
	o := options(t.TempDir(), "control-1:7000")
	o.Dial = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	f, err := Open(o)
	testwait.Must(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { // ends when the context does
		defer close(done)
		_, _ = f.client.do(ctx, "control-1:7000", request)
	}()
	defer func() { cancel(); server.Close(); <-done }()
	testwait.Must(t, server.SetReadDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(server)
	var sent []byte
	for !bytes.HasSuffix(sent, []byte("\r\n\r\n")) {
		line, err := reader.ReadBytes('\n')
		testwait.Must(t, err)
		sent = append(sent, line...)
	}
	return sent
}

// A server decodes the requests of released followers.
func TestGoldenRequestsAreRead(t *testing.T) {
	for name, want := range allRequests() {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(golden.Read(t, "golden/request_"+name+".http", nil))))
		testwait.Must(t, err)
		var got records.Request
		switch want.(type) {
		case records.ChangesRequest:
			got, err = parseChangesQuery(request.URL.Query())
		case records.ContentRequest:
			got, err = parseContentQuery(request.URL.Query())
		default:
			got = records.DigestsRequest{}
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
	}
	if ChangesPath != "/v1/records/changes" || RangesPath != "/v1/records/ranges" || ContentPath != "/v1/records/ranges/content" {
		t.Errorf("the paths are %s, %s, %s", ChangesPath, RangesPath, ContentPath)
	}
}

// Responses keep their encoding on the wire, byte for byte, errors included.
func TestGoldenResponses(t *testing.T) {
	source := goldenSource(t)
	handler := NewHandler(source)
	address := serve(t, handler).Listener.Addr().String()
	gold := records.RangeOf(records.Key{Kind: records.Plan, Name: "gold"})
	present := fmt.Sprintf("/v1/records/changes?since=2&digest=%s", source.digest())
	for _, test := range []struct{ name, method, target string }{
		{"changes", "GET", "/v1/records/changes?since=1"},
		{"changes_nothing_new", "GET", present + "&wait_ms=1"},
		{"changes_behind", "GET", "/v1/records/changes?since=9"},
		{"changes_repair", "GET", "/v1/records/changes?since=2&digest=0123456789abcdeffedcba9876543210"},
		{"changes_unknown_parameter", "GET", "/v1/records/changes?since=1&other=7"},
		{"content", "GET", fmt.Sprintf("/v1/records/ranges/content?ranges=%d&max_bytes=65536", gold)},
		{"bad_since", "GET", "/v1/records/changes?since=x"},
		{"bad_digest", "GET", "/v1/records/changes?since=1&digest=x"},
		{"bad_wait", "GET", "/v1/records/changes?since=1&wait_ms=x"},
		{"bad_ranges", "GET", "/v1/records/ranges/content?ranges=9-3&max_bytes=1"},
		{"bad_max_bytes", "GET", "/v1/records/ranges/content?ranges=1&max_bytes=x"},
		{"post", "POST", "/v1/records/changes?since=1"},
		{"other_path", "GET", "/v1/records/other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			golden.File(t, "golden/response_"+test.name+".http", receivedBytes(t, address, test.method, test.target))
		})
	}
	for range MaxWaiting {
		handler.waitingSlots <- struct{}{}
	}
	golden.File(t, "golden/response_too_many_waiting.http", receivedBytes(t, address, "GET", present+"&wait_ms=1"))
}

// receivedBytes returns the bytes of a server's response on the connection, without its Date header.
func receivedBytes(t *testing.T, address, method, target string) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	testwait.Must(t, err)
	defer conn.Close()
	testwait.Must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: control-1:7000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target)
	testwait.Must(t, err)
	data, err := io.ReadAll(conn)
	testwait.Must(t, err)
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	var lines []string
	for line := range strings.SplitSeq(head, "\r\n") {
		if !strings.HasPrefix(line, "Date: ") {
			lines = append(lines, line)
		}
	}
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}

// Large changes and the digests of all ranges are compressed by a library, so their bytes may
// change with it: the responses of released servers must remain decodable.
func TestGoldenCompressedResponses(t *testing.T) {
	source := goldenSource(t)
	source.apply(t, manyPlans(50)...)
	server := serve(t, NewHandler(source)).Listener.Addr().String()
	client := newWireClient(t)
	for name, request := range map[string]records.Request{
		"changes.zst": records.ChangesRequest{},
		"ranges.zst":  records.DigestsRequest{},
	} {
		body, err := client.do(t.Context(), server, request)
		testwait.Must(t, err)
		stored := golden.Read(t, "golden/"+name, body)
		if _, ok := request.(records.DigestsRequest); ok {
			got, err := records.DecodeRangeDigests(body)
			testwait.Must(t, err)
			if want, err := records.DecodeRangeDigests(stored); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		got, err := records.DecodeChangesResponse(body)
		testwait.Must(t, err)
		if want, err := records.DecodeChangesResponse(stored); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The files of a follower keep their names, their modes and, because they are too short to be
// compressed, their bytes.
func TestGoldenDisk(t *testing.T) {
	source := newMemorySource()
	source.apply(t, plan("gold", 7))
	dir := filepath.Join(t.TempDir(), "copy")
	disk, replica := reopen(t, dir)
	advance(t, disk, replica, source)
	source.apply(t, plan("gold", 8))
	advance(t, disk, replica, source)
	source.apply(t, records.Operation{Key: records.Key{Kind: records.Plan, Name: "gold"}, Delete: true}, plan("silver", 1))
	advance(t, disk, replica, source)
	testwait.Must(t, disk.writeConfirmation(3, time.Date(2026, 12, 2, 6, 0, 1, 123456789, time.FixedZone("CET", 3600))))
	disk.closeJournal()
	requireModes(t, dir, map[string]os.FileMode{"": 0o700, "records": 0o600, "records.journal": 0o600, "records.confirmed": 0o600})
	for _, name := range []string{"records", "records.journal", "records.confirmed"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		testwait.Must(t, err)
		golden.File(t, "golden/disk/"+name, data)
	}
	var decoded confirmation
	testwait.Must(t, json.Unmarshal(golden.Read(t, "golden/disk/records.confirmed", nil), &decoded))
	if reflect.ValueOf(decoded).NumField() != 2 || decoded.Version == 0 || decoded.At.IsZero() {
		t.Errorf("a field of %+v is not set in the golden value", decoded)
	}
}

// requireModes checks that a directory contains exactly these files, with these modes.
func requireModes(t *testing.T, dir string, want map[string]os.FileMode) {
	t.Helper()
	got := map[string]os.FileMode{}
	testwait.Must(t, filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		testwait.Must(t, err)
		info, err := entry.Info()
		testwait.Must(t, err)
		got[strings.TrimPrefix(strings.TrimPrefix(path, dir), "/")] = info.Mode().Perm()
		return nil
	}))
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the directory contains %v, want %v", got, want)
	}
}

// The files of a released program are loaded; unusable ones are quarantined.
func TestGoldenDiskIsRead(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "copy")
	testwait.Must(t, os.Mkdir(dir, 0o700))
	for _, name := range []string{"records", "records.journal", "records.confirmed"} {
		testwait.Must(t, os.WriteFile(filepath.Join(dir, name), golden.Read(t, "golden/disk/"+name, nil), 0o600))
	}
	disk, replica := reopen(t, dir)
	if _, found := replica.Get(records.Key{Kind: records.Plan, Name: "silver"}); !found || replica.Version() != 3 || replica.Len() != 1 {
		t.Errorf("version %d, %d records", replica.Version(), replica.Len())
	}
	if at := disk.loadConfirmation(3); !at.Equal(time.Date(2026, 12, 2, 5, 0, 1, 123456789, time.UTC)) {
		t.Errorf("confirmed at %v", at)
	}
	disk.closeJournal()
	// A confirmation may have fields that this program does not know.
	testwait.Must(t, os.WriteFile(filepath.Join(dir, "records.confirmed"), []byte(`{"unknown_field":1,"version":3,"at":"2026-12-02T05:00:01Z"}`), 0o600))
	if disk.loadConfirmation(3).IsZero() {
		t.Error("a confirmation with an unknown field is not read")
	}
	testwait.Must(t, os.WriteFile(filepath.Join(dir, "records"), []byte("damaged"), 0o600))
	_, replica = reopen(t, dir)
	requireModes(t, dir, map[string]os.FileMode{"": 0o700, "records.damaged": 0o600, "records.journal.damaged": 0o600, "records.confirmed": 0o600})
	if replica.Version() != 0 {
		t.Errorf("version %d of a damaged snapshot", replica.Version())
	}
}

// A compressed snapshot and journal of a released program are loaded.
func TestGoldenCompressedDisk(t *testing.T) {
	dir, source := writeTestDirectory(t)
	for _, name := range []string{"records", "records.journal"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		testwait.Must(t, err)
		testwait.Must(t, os.WriteFile(filepath.Join(dir, name), golden.Read(t, "golden/disk_compressed/"+name, data), 0o600))
	}
	if _, replica := reopen(t, dir); replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Errorf("version %d", replica.Version())
	}
}

// Limits and timeouts are part of the compatibility between old and new programs.
func TestGoldenConstants(t *testing.T) {
	text := fmt.Sprintln(MaxWaiting, maxConcurrentContents, writeTimeout, maxErrorTextBytes, maxFileBytes, confirmInterval, maxCachedResponses, minTickInterval, idleTimeout)
	if want := "2048 4 30s 256 67108864 30s 4 1ms 1m0s\n"; text != want {
		t.Errorf("%s, want %s", text, want)
	}
}
