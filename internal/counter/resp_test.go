package counter

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"testing"
	"time"

	"elderyard/internal/standin/respstore"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

const storeName = "q:7"

func newStore(t *testing.T, set *tls.Config, password string) *respstore.Store {
	t.Helper()
	s, err := respstore.New(set, password)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func startStore(t *testing.T, s RESPConfig) (*RESP, func(amount float64, keep time.Duration) *Call, chan reply) {
	t.Helper()
	s.Prefix, s.Timeout = "q:", testpeer.Patience
	c := NewRESP(s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	replies := make(chan reply, 64)
	return c, func(amount float64, keep time.Duration) *Call {
		k := &Call{Name: 7, Amount: amount, TTL: keep}
		k.Report = func(k *Call, o rules.Outcome, total float64) { replies <- reply{k.Amount, o, total} }
		if !c.Add(k) {
			t.Fatal("the lane is full")
		}
		return k
	}, replies
}

// A name that is new gets its end, one that is there keeps it, and calls are
// answered in their order.
func TestStoreAddsAndKeepsTheFirstEnd(t *testing.T) {
	s := newStore(t, nil, "")
	_, add, replies := startStore(t, RESPConfig{Address: s.Address()})
	add(1.5, time.Minute)
	add(-2.5, time.Hour)
	add(3, time.Hour)
	for i, want := range []float64{1.5, -1, 2} {
		if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.Served || got.total != want {
			t.Errorf("call %d: %+v, want %g", i, got, want)
		}
	}
	if total, left := s.Total(storeName); total != 2 || left <= 0 || left > time.Minute {
		t.Errorf("%g, with %v left", total, left)
	}
	if _, dials := s.Counts(); dials != 1 {
		t.Errorf("%d connections", dials)
	}
}

// Each thing that a store may answer has one meaning for the module, and all but
// a total that is lost after it was added leave the number as it was.
func TestStoreOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   respstore.Fault
		outcome rules.Outcome
		added   bool
		dials   int // after the next call went well
	}{
		{"loading", respstore.Fault{Queue: "LOADING the dataset is being read"}, rules.Overloaded, false, 1},
		{"no room", respstore.Fault{Queue: "OOM command not allowed when used memory > 'maxmemory'."}, rules.Overloaded, false, 1},
		{"loading at the end", respstore.Fault{Exec: "LOADING the dataset is being read"}, rules.Overloaded, false, 1},
		{"a copy", respstore.Fault{Queue: "READONLY You can't write against a read only replica."}, rules.Overloaded, false, 2},
		{"elsewhere for now", respstore.Fault{Queue: "ASK 7 127.0.0.1:1"}, rules.Overloaded, false, 1},
		{"not let in", respstore.Fault{Queue: "NOAUTH Authentication required."}, rules.ConnectFailed, false, 2},
		{"no right", respstore.Fault{Queue: "NOPERM no"}, rules.ConnectFailed, false, 2},
		{"no such command", respstore.Fault{Queue: "ERR unknown command"}, rules.ConnectFailed, false, 1},
		{"lost after it was added", respstore.Fault{Lost: true}, rules.ConnectionBroken, true, 2},
		{"cut after it was added", respstore.Fault{Cut: true}, rules.ConnectionBroken, true, 2},
		{"no number", respstore.Fault{Spoilt: true}, rules.Errored, true, 2},
	} {
		s := newStore(t, nil, "")
		_, add, replies := startStore(t, RESPConfig{Address: s.Address()})
		s.Set(c.fault)
		add(2, time.Minute)
		if got := testpeer.Wait(t, replies, "reply"); got.outcome != c.outcome {
			t.Errorf("%s: outcome %d, want %d", c.name, got.outcome, c.outcome)
		}
		if total, _ := s.Total(storeName); (total == 2) != c.added {
			t.Errorf("%s: the total is %g", c.name, total)
		}
		s.Set(respstore.Fault{})
		add(1, time.Minute)
		want := 1.0
		if c.added {
			want = 3
		}
		if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.Served || got.total != want {
			t.Errorf("%s: the next call: %+v, want %g", c.name, got, want)
		}
		if _, dials := s.Counts(); dials != c.dials {
			t.Errorf("%s: %d connections, want %d", c.name, dials, c.dials)
		}
	}
}

// A store that sends its callers elsewhere is left for that; where the way leads to
// nobody, the address of the configuration counts again.
func TestStoreMoves(t *testing.T) {
	one, two := newStore(t, nil, ""), newStore(t, nil, "")
	_, add, replies := startStore(t, RESPConfig{Address: one.Address()})
	one.Set(respstore.Fault{Queue: "MOVED 7 " + two.Address()})
	add(1, time.Minute)
	if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.Overloaded {
		t.Errorf("sent elsewhere: %+v", got)
	}
	add(1, time.Minute)
	if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.Served {
		t.Errorf("there: %+v", got)
	}
	if total, _ := two.Total(storeName); total != 1 {
		t.Errorf("the other has %g", total)
	}
	one.Set(respstore.Fault{})
	two.Close()
	for range 2 * mostMoves {
		add(1, time.Minute)
		if got := testpeer.Wait(t, replies, "reply"); got.outcome == rules.Served {
			return
		}
	}
	t.Error("the way to nobody is never left")
}

// An answer that does not come holds up what is behind it, not the calls after
// that; and a call that was given up is told of late.
func TestStoreStandsStill(t *testing.T) {
	s := newStore(t, nil, "")
	_, add, replies := startStore(t, RESPConfig{Address: s.Address()})
	add(1, time.Minute)
	testpeer.Wait(t, replies, "reply")
	s.Set(respstore.Fault{Delay: 300 * time.Millisecond})
	stuck := add(2, time.Minute)
	time.Sleep(50 * time.Millisecond) // it is on its way
	stuck.Abandon()
	s.Set(respstore.Fault{})
	add(4, time.Minute)
	got := testpeer.Wait(t, replies, "reply")
	if got.amount != 4 || got.outcome != rules.Served {
		t.Errorf("the next call waits for the one before: %+v", got)
	}
	if late := testpeer.Wait(t, replies, "late reply"); late.amount != 2 || late.outcome != rules.Served {
		t.Errorf("the late one: %+v", late)
	}
}

// Over TLS and with a login calls go through; with a wrong password, or a
// certificate of another authority, nothing is added and all is told.
func TestStoreOverTLSWithLogin(t *testing.T) {
	cert, pool := testpeer.Certificate(t)
	_, others := testpeer.Certificate(t)
	s := newStore(t, &tls.Config{Certificates: []tls.Certificate{cert}}, "secret")
	for _, c := range []struct {
		password string
		pool     *x509.CertPool
		outcome  rules.Outcome
	}{{"secret", pool, rules.Served}, {"wrong", pool, rules.ConnectFailed}, {"", pool, rules.ConnectFailed}, {"secret", others, rules.ConnectFailed}} {
		_, add, replies := startStore(t, RESPConfig{Address: s.Address(), User: "app", Password: c.password,
			TLS: &tls.Config{RootCAs: c.pool, ServerName: "127.0.0.1"}})
		add(1, time.Minute)
		if got := testpeer.Wait(t, replies, "reply"); got.outcome != c.outcome {
			t.Errorf("password %q: %+v, want %d", c.password, got, c.outcome)
		}
	}
	if total, _ := s.Total(storeName); total != 1 {
		t.Errorf("the total is %g", total)
	}
}
