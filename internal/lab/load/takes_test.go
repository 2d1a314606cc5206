package load

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/resp"
)

// Guards against limit commands that change the rest of the timeline: only their share of the arrivals is marked.
func TestTakesAreShareOfTimeline(t *testing.T) {
	c := config()
	_, without, err := Timeline(c)
	if err != nil {
		t.Fatal(err)
	}
	c.Takes = 0.3
	_, with, err := Timeline(c)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for i := range with {
		if with[i].Take {
			n++
		}
		with[i].Take = false
	}
	if share := float64(n) / float64(len(with)); share < 0.25 || share > 0.35 {
		t.Errorf("share of limit commands is %.2f, want 0.25 to 0.35", share)
	}
	if !reflect.DeepEqual(with, without) {
		t.Error("limit commands changed the rest of the timeline")
	}
}

// taker is a server that records the limit commands that it receives.
type taker struct {
	mu   sync.Mutex
	seen [][]string
}

func (k *taker) serve(t *testing.T, answer func(w *resp.Writer, args []string) bool) (address string) {
	t.Helper()
	address, stop := serveConnections(t, func(c net.Conn) {
		r := resp.NewReader(c, replyLimits)
		for {
			words, _, err := r.Command(nil, nil)
			if err != nil {
				return
			}
			var args []string
			for _, w := range words {
				args = append(args, string(w))
			}
			k.mu.Lock()
			k.seen = append(k.seen, args)
			k.mu.Unlock()
			w := resp.Writer{Version: 2}
			if !answer(&w, args) {
				return
			}
			c.Write(w.Buf)
		}
	})
	t.Cleanup(stop)
	return address
}

// playTakes plays n arrivals of one customer as limit commands.
func playTakes(t *testing.T, n int, answer func(w *resp.Writer, args []string) bool) (*sink, *taker) {
	t.Helper()
	k := &taker{}
	front := NewFront([]string{"a0"})
	front.Take(0, k.serve(t, answer))
	defer front.Close()
	s := &sink{}
	cfg := config()
	c := &Clients{Seed: 1, Plans: cfg.Plans, Classes: cfg.Classes, Limits: front, Sink: s, Units: 1, Gateways: 3, TakeWithin: 5 * time.Second, Slack: time.Second}
	customer := &Customer{ID: 9, Plan: 1, Spread: 3, First: 2}
	var list []Arrival
	for i := range n {
		list = append(list, Arrival{N: i, Customer: customer, Take: true})
	}
	c.Play(context.Background(), time.Now(), list)
	return s, k
}

func granted(w *resp.Writer, args []string, n float64, repeated bool) {
	if args[0] == "CL.THROTTLE" {
		w.Array(5)
		for _, n := range []int64{0, 8, 7, -1, 1} {
			w.Int(n)
		}
		return
	}
	w.Map(3)
	w.Bulk("granted")
	if args[0] == "LIMIT.GIVE" {
		w.Buf = w.Buf[:0]
		w.Map(3)
		w.Bulk("given")
	}
	w.Double(n)
	w.Bulk("source")
	w.Bulk("local")
	w.Bulk("repeated")
	w.Bool(repeated)
}

// All forms of limit commands must be played and their replies parsed, and a command that repeats a token must go out on
// a connection of its own.
func TestAllFormsOfTakes(t *testing.T) {
	had := map[string]bool{}
	var mu sync.Mutex
	s, k := playTakes(t, 300, func(w *resp.Writer, args []string) bool {
		mu.Lock()
		defer mu.Unlock()
		at := slices.Index(args, "ID")
		again := at > 0 && args[0] == "LIMIT.TAKE" && had[args[at+1]]
		if at > 0 {
			had[args[at+1]] = true
		}
		granted(w, args, 1, again)
		return true
	})
	forms := map[string]int{}
	for _, args := range k.seen {
		forms[args[0]]++
		for _, word := range []string{"ID", "WAIT", "PARTIAL"} {
			if slices.Contains(args, word) {
				forms[word]++
			}
		}
		if line := strings.Join(args, " "); args[0] == "CL.THROTTLE" && line != "CL.THROTTLE 0000000000000009 7 46 10" ||
			args[0] != "CL.THROTTLE" && !strings.HasSuffix(line, "PLAN council SPREAD 3 FIRST 2") {
			t.Fatal(line)
		}
	}
	for _, f := range []string{"LIMIT.TAKE", "CL.THROTTLE", "LIMIT.GIVE", "ID", "WAIT", "PARTIAL"} {
		if forms[f] == 0 {
			t.Errorf("no %s: %v", f, forms)
		}
	}
	repeats, gives, dropped := 0, 0, 0
	for _, take := range s.takes {
		switch {
		case take.Outcome == audit.Unfinished:
			dropped++
		case take.Outcome != audit.Served || take.Granted != 1 && take.Asked == 1:
			t.Fatalf("%+v", take)
		case take.Returns:
			gives++
		case take.Number == 1:
			if repeats++; !take.Repeated || take.Pooled {
				t.Errorf("repeated take is not marked as repeated, or used a pooled connection: %+v", take)
			}
		case take.Repeated:
			t.Errorf("first take is marked as repeated: %+v", take)
		}
	}
	if repeats == 0 || gives == 0 || dropped == 0 {
		t.Errorf("%d repeats, %d gives, %d dropped", repeats, gives, dropped)
	}
}

// Errors, malformed replies, closed connections and empty grants must each be recorded with their own outcome.
func TestTakeOutcomes(t *testing.T) {
	for name, k := range map[string]struct {
		answer func(w *resp.Writer, args []string) bool
		want   audit.Outcome
		says   string
	}{
		"error reply":           {func(w *resp.Writer, _ []string) bool { w.Error("ERR what"); return true }, audit.Failed, "ERR what"},
		"reply without figures": {func(w *resp.Writer, _ []string) bool { w.Simple("OK"); return true }, audit.Failed, "a reply without granted"},
		"malformed reply":       {func(w *resp.Writer, _ []string) bool { w.Buf = []byte("!!\r\n"); return true }, audit.Failed, "Protocol error"},
		"closed connection":     {func(w *resp.Writer, _ []string) bool { return false }, audit.Closed, ""},
		"nothing granted":       {func(w *resp.Writer, a []string) bool { granted(w, a, 0, false); return true }, audit.Refused, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := playTakes(t, 12, k.answer)
			n := 0
			for _, take := range s.takes {
				if take.Outcome == k.want && strings.Contains(take.Error, k.says) {
					n++
				}
			}
			if n < 8 {
				t.Errorf("%d of %d: %s", n, len(s.takes), fmt.Sprintf("%+v", s.takes))
			}
		})
	}
}
