package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

var limits = Limits{Args: 64, Bulk: 1 << 10, Total: 4 << 10, Depth: 4}

func toStrings(args [][]byte) []string {
	var list []string
	for _, arg := range args {
		list = append(list, string(arg))
	}
	return list
}

func TestCommands(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
		err  error
	}{
		{"*2\r\n$4\r\nECHO\r\n$3\r\na\nb\r\n", []string{"ECHO", "a\nb"}, nil},
		{"*1\r\n$0\r\n\r\n", []string{""}, nil},
		{"PING\r\n", []string{"PING"}, nil},
		{"  set  a\tb \n", []string{"set", "a", "b"}, nil},
		{`echo "a b\x41\n" 'it\'s'` + "\r\n", []string{"echo", "a bA\n", "it's"}, nil},
		{"\r\n", nil, nil},
		{"*0\r\n", nil, nil},
		{"*-1\r\n", nil, nil},
		{`echo "a`, nil, io.ErrUnexpectedEOF},
		{`echo "a` + "\r\n", nil, ErrProtocol},
		{`echo "a"b` + "\r\n", nil, ErrProtocol},
		{"*1000000000\r\n", nil, ErrProtocol},
		{"*65\r\n", nil, ErrProtocol},
		{"*99999999999999999999\r\n", nil, ErrProtocol},
		{"*x\r\n", nil, ErrProtocol},
		{"*1\r\n$-5\r\n", nil, ErrProtocol},
		{"*1\r\n$-1\r\n", nil, ErrProtocol},
		{"*1\r\n$1025\r\n", nil, ErrProtocol},
		{"*1\r\n$9223372036854775807\r\n", nil, ErrProtocol},
		{"*1\r\n+PING\r\n", nil, ErrProtocol},
		{"*1\r\n\r\n", nil, ErrProtocol},
		{"*1\r\n$4\r\nPINGxx", nil, ErrProtocol},
		{"*5\r\n" + strings.Repeat("$1000\r\n"+strings.Repeat("x", 1000)+"\r\n", 5), nil, ErrProtocol},
		{strings.Repeat("x", 8<<10) + "\r\n", nil, ErrProtocol},
		{strings.Repeat("x ", 65) + "\r\n", nil, ErrProtocol},
		{"*2\r\n$4\r\nECHO\r\n$3\r\nab", nil, io.ErrUnexpectedEOF},
		{"*2\r\n$4\r\nECHO\r\n", nil, io.ErrUnexpectedEOF},
		{"*2\r\n$4\r", nil, io.ErrUnexpectedEOF},
		{"", nil, io.EOF},
	} {
		args, _, err := NewReader(strings.NewReader(c.text), limits).Command(nil, nil)
		if !errors.Is(err, c.err) || err == nil && !reflect.DeepEqual(toStrings(args), c.want) {
			t.Errorf("%.60q: %q, %v; want %q, %v", c.text, toStrings(args), err, c.want, c.err)
		}
	}
}

// The arguments of earlier commands of a pipeline stay valid when the text buffer is
// reallocated for later ones.
func TestPipelineArgsSurviveBufferGrowth(t *testing.T) {
	var w Writer
	for i := range 100 {
		w.Command("ECHO", fmt.Sprint(i))
	}
	r := NewReader(bytes.NewReader(w.Buf), limits)
	var text []byte
	var commands [][][]byte
	for range 100 {
		var args [][]byte
		var err error
		if args, text, err = r.Command(nil, text); err != nil {
			t.Fatal(err)
		}
		commands = append(commands, args)
	}
	for i, args := range commands {
		if len(args) != 2 || string(args[1]) != fmt.Sprint(i) {
			t.Errorf("command %d: %q", i, toStrings(args))
		}
	}
}

func TestReplies(t *testing.T) {
	for _, version := range []int{2, 3} {
		w := Writer{Version: version}
		w.Array(10)
		w.Simple("OK")
		w.Error("ERR no\r\nway")
		w.Int(-7)
		w.Bulk("a\r\nb")
		w.Null()
		w.Double(1.5)
		w.Double(math.Inf(1))
		w.Bool(true)
		w.Map(1)
		w.Bulk("n")
		w.Bool(false)
		w.Set(1)
		w.Int(3)
		v, err := NewReader(bytes.NewReader(w.Buf), limits).Reply()
		if err != nil || len(v.Elements) != 10 {
			t.Fatalf("version %d: %+v, %v", version, v, err)
		}
		want := []Value{{Kind: Simple, Str: "OK"}, {Kind: Error, Str: "ERR no  way"}, {Kind: Int, Int: -7}, {Kind: Bulk, Str: "a\r\nb"},
			{Kind: Null}, {Kind: Double, Float: 1.5}, {Kind: Double, Float: math.Inf(1)}, {Kind: Bool, Int: 1},
			{Kind: Map, Elements: []Value{{Kind: Bulk, Str: "n"}, {Kind: Bool}}}, {Kind: Set, Elements: []Value{{Kind: Int, Int: 3}}}}
		if version == 2 {
			want[5], want[6], want[7] = Value{Kind: Bulk, Str: "1.5"}, Value{Kind: Bulk, Str: "inf"}, Value{Kind: Int, Int: 1}
			want[8] = Value{Kind: Array, Elements: []Value{{Kind: Bulk, Str: "n"}, {Kind: Int}}}
			want[9].Kind = Array
		}
		if !reflect.DeepEqual(v.Elements, want) {
			t.Errorf("version %d:\n%+v, want\n%+v", version, v.Elements, want)
		}
	}
	for _, bad := range []string{"*-2\r\n", "*100\r\n", "%40\r\n", ":x\r\n", "#x\r\n", ",x\r\n", "$5000\r\n", "=2\r\nab\r\n", "_1\r\n", "\r\n", "?\r\n",
		strings.Repeat("*1\r\n", 6) + ":1\r\n"} {
		if v, err := NewReader(strings.NewReader(bad), limits).Reply(); !errors.Is(err, ErrProtocol) {
			t.Errorf("%q: %+v, %v", bad, v, err)
		}
	}
}

// Random streams of commands, split into random reads, are parsed as redcon parses them.
func TestCommandsMatchRedcon(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var w Writer
		for range 1 + rng.IntN(20) {
			list := make([]string, 1+rng.IntN(5))
			for i := range list {
				b := make([]byte, rng.IntN(40))
				for j := range b {
					b[j] = byte(rng.IntN(256))
				}
				if i == 0 {
					b = []byte("CMD")
				}
				list[i] = string(b)
			}
			if rng.IntN(4) == 0 {
				w.Buf = append(w.Buf, "INLINE one \"two words\" 'three'\r\n"...)
				continue
			}
			w.Command(list...)
		}
		reference := redcon.NewReader(bytes.NewReader(w.Buf))
		reader := NewReader(&shortReader{bytes.NewReader(w.Buf), rng}, limits)
		for n := 0; ; n++ {
			want, err := reference.ReadCommand()
			got, _, gotErr := reader.Command(nil, nil)
			if err != nil {
				if gotErr == nil {
					t.Fatalf("seed %d: parsed another command %q after the last", seed, toStrings(got))
				}
				break
			}
			if gotErr != nil || !reflect.DeepEqual(toStrings(got), toStrings(want.Args)) {
				t.Fatalf("seed %d, command %d: %q, %v; want %q", seed, n, toStrings(got), gotErr, toStrings(want.Args))
			}
		}
	}
}

// shortReader returns 1 to 9 bytes from each read.
type shortReader struct {
	r   io.Reader
	rng *rand.Rand
}

func (s *shortReader) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), 1+s.rng.IntN(9))]) }

// On any input, parsed commands are within the limits.
func FuzzCommand(f *testing.F) {
	for _, seed := range []string{"*2\r\n$4\r\nECHO\r\n$1\r\na\r\n", "PING\r\n", "*1000000000\r\n", "*1\r\n$-5\r\n", "echo \"\\x4", "*-1\r\n*1\r\n$1\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text), limits)
		for {
			args, buf, err := r.Command(nil, nil)
			if err != nil {
				return
			}
			if len(args) > limits.Args || len(buf) > limits.Total {
				t.Fatalf("%d arguments of %d bytes, beyond the limits", len(args), len(buf))
			}
		}
	})
}

// Reply doesn't panic or loop on any input.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{"+OK\r\n", "*2\r\n:1\r\n$1\r\na\r\n", "%1\r\n+a\r\n#t\r\n", ">2\r\n+a\r\n_\r\n", ",inf\r\n", "=5\r\ntxt:a\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text), limits)
		for {
			if _, err := r.Reply(); err != nil {
				return
			}
		}
	})
}

func BenchmarkCommand(b *testing.B) {
	var w Writer
	for range 64 {
		w.Command("LIMIT.TAKE", "0000000000000001", "1", "PLAN", "basic")
	}
	b.Run("own", func(b *testing.B) {
		var args [][]byte
		var text []byte
		src := bytes.NewReader(nil)
		r := NewReader(src, limits)
		for b.Loop() {
			src.Reset(w.Buf)
			r.Reset(src)
			text = text[:0]
			for range 64 {
				args, text, _ = r.Command(args[:0], text)
			}
		}
	})
	b.Run("redcon", func(b *testing.B) {
		for b.Loop() {
			r := redcon.NewReader(bufio.NewReader(bytes.NewReader(w.Buf)))
			for range 64 {
				r.ReadCommand()
			}
		}
	})
}

// Milli writes the same value as Double, in both versions.
func TestMilli(t *testing.T) {
	for _, n := range []int64{0, 1, 10, 100, 999, 1000, 1001, 1010, 1100, 20000, 19999, 123456789, 999999999999999, -1, -1500} {
		for _, version := range []int{2, 3} {
			w := Writer{Version: version}
			w.Milli(n)
			v, err := NewReader(bytes.NewReader(w.Buf), Limits{Args: 1, Bulk: 64, Total: 64}).Reply()
			if version == 2 && err == nil {
				v.Float, err = strconv.ParseFloat(v.Str, 64)
			}
			if err != nil || v.Float != float64(n)/1000 {
				t.Errorf("%d in version %d: %q, %v", n, version, w.Buf, err)
			}
		}
	}
}
