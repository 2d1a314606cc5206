package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"elderyard/internal/site"
	"elderyard/rollup"
)

func TestRollupFileIsBounded(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "n3.moments")
	p := newPools(time.Second, time.Second, 10)
	write := func(intervals int) int64 {
		file, err := openRollupFile(site.Rollup{Dir: dir, MB: 1}, "n3", p)
		if err != nil {
			t.Fatal(err)
		}
		aggregator := file.aggregator(100 * time.Millisecond)
		done := make(chan struct{})
		go func() { defer close(done); file.run() }()
		for i := range intervals {
			p.dials.Add(2)
			file.lines <- rollup.Line{At: 1000 + float64(i), Gateway: "n3", Counts: rollup.Counts{Attempts: 1}}
		}
		aggregator.Current(9000).CounterCalls++
		aggregator.Flush()
		close(file.lines)
		<-done
		stat, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return stat.Size()
	}
	write(1)
	text, err := os.ReadFile(path)
	if err != nil || string(text) != `{"at":1000,"gateway":"n3","sends":1}`+"\n"+`{"at":9000,"gateway":"n3","connects":2,"calls":1}`+"\n" {
		t.Fatalf("%v %s", err, text)
	}
	// A second process appends to the file of the first, and neither exceeds the limit.
	if n := write(60_000); n > 1<<20 || n < 1<<20-200 {
		t.Fatalf("%d bytes", n)
	}
	text, err = os.ReadFile(path)
	if err != nil || !strings.HasPrefix(string(text), `{"at":1000,"gateway":"n3","sends":1}`) || !strings.HasSuffix(string(text), "}\n") {
		t.Fatalf("%v, the end is %q", err, text[len(text)-50:])
	}
	if n := write(10); n > 1<<20 {
		t.Fatalf("%d bytes after a third", n)
	}
	if file, err := openRollupFile(site.Rollup{}, "n3", p); file != nil || err != nil {
		t.Fatalf("not configured: %v %v", file, err)
	}
	if _, err := openRollupFile(site.Rollup{Dir: filepath.Join(dir, "none"), MB: 1}, "n3", p); err == nil || !strings.Contains(err.Error(), "moments") {
		t.Fatalf("%v", err)
	}
}
