package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const settings = `{"classes": [{"objectiveS": 1, "deadlineS": 2, "points": 1}], "packages": [{"pays": 1}], "fleetSize": 1,
	"tickS": 0.002, "allowed": {"mostTries": 2}}`

func batch(seq uint32, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	out := binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+8))
	out = binary.BigEndian.AppendUint32(out, uint32(len(records)))
	return append(binary.BigEndian.AppendUint32(out, seq), body...)
}

func instanceRecord(n byte) []byte { return []byte{28, 0, 0, 0, n} }

func attach() []byte {
	out := binary.BigEndian.AppendUint32(append([]byte{16}, make([]byte, 8)...), uint32(len(settings)))
	return append(out, settings...)
}

// An instance that stops and starts again within one batch replies with the actions since
// its last start only.
func TestRestartInOneBatch(t *testing.T) {
	in := batch(1, instanceRecord(2), attach(), []byte{25}, attach())
	in = append(in, batch(2)...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.Bytes()
	if n := binary.BigEndian.Uint32(got[4:]); n != 2 { // the instance and one timer, both from the second start
		t.Errorf("%d records in the first reply, want 2", n)
	}
	if second := got[4+binary.BigEndian.Uint32(got):]; !bytes.Equal(second, []byte{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2}) {
		t.Errorf("second reply %x", second)
	}
}

func TestUnknownPlanAndInstance(t *testing.T) {
	request := append([]byte{18}, make([]byte, 37)...)
	request[10] = 9 // plan
	for _, in := range [][]byte{batch(1, instanceRecord(2), attach(), request), batch(1, instanceRecord(2), []byte{25})} {
		if err := serve(bytes.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Error("an unknown plan or instance was accepted")
		}
	}
}

// TestMain runs the command instead of the tests if WIREHOST_TEST_RUN is set.
func TestMain(m *testing.M) {
	if os.Getenv("WIREHOST_TEST_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestMalformedInputExits(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WIREHOST_TEST_RUN=1")
	cmd.Stdin = strings.NewReader("this is no frame, but it is long enough")
	var errs bytes.Buffer
	cmd.Stderr = &errs
	if err := cmd.Run(); err == nil {
		t.Error("exit status 0 after malformed input")
	}
	if text := errs.String(); strings.Count(text, "\n") != 1 || strings.Contains(text, "goroutine") {
		t.Errorf("want one plain line on stderr, got %q", text)
	}
}
