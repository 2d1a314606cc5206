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

const storeKey = "q:7"

func newStore(t *testing.T, set *tls.Config, password string) *respstore.Store {
	t.Helper()
	s, err := respstore.New(set, password)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// startRESPClient runs a client of a store. The returned function queues a call, whose outcome
// arrives in the channel.
func startRESPClient(t *testing.T, config RESPConfig) (*RESP, func(amount float64, ttl time.Duration) *Call, chan result) {
	t.Helper()
	config.Prefix, config.Timeout = "q:", testpeer.Timeout
	c := NewRESP(config)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	results := make(chan result, 64)
	return c, func(amount float64, ttl time.Duration) *Call {
		k := &Call{Key: 7, Amount: amount, TTL: ttl}
		k.Report = func(k *Call, o rules.Outcome, total float64) { results <- result{k.Amount, o, total} }
		if !c.Add(k) {
			t.Fatal("call queue is full")
		}
		return k
	}, results
}

// A new key gets its expiry from the first call, later calls don't change it, and calls are
// answered in order on one connection.
func TestRESPFirstExpiryWins(t *testing.T) {
	s := newStore(t, nil, "")
	_, add, results := startRESPClient(t, RESPConfig{Address: s.Address()})
	add(1.5, time.Minute)
	add(-2.5, time.Hour)
	add(3, time.Hour)
	for i, want := range []float64{1.5, -1, 2} {
		if got := testpeer.Receive(t, results, "result"); got.outcome != rules.Served || got.total != want {
			t.Errorf("call %d: %+v, want total %g", i, got, want)
		}
	}
	if total, left := s.Total(storeKey); total != 2 || left <= 0 || left > time.Minute {
		t.Errorf("the stored total is %g with a TTL of %v, want 2 with at most %v", total, left, time.Minute)
	}
	if _, dials := s.Counts(); dials != 1 {
		t.Errorf("%d connections, want 1", dials)
	}
}

// Each reply of a store maps to one outcome for the decision module. The stored number changes
// only if the reply was lost or unreadable after the addition.
func TestRESPOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   respstore.Fault
		outcome rules.Outcome
		added   bool
		dials   int // after the next call has succeeded
	}{
		{"loading", respstore.Fault{Queue: "LOADING the dataset is being read"}, rules.Overloaded, false, 1},
		{"out of memory", respstore.Fault{Queue: "OOM command not allowed when used memory > 'maxmemory'."}, rules.Overloaded, false, 1},
		{"loading at EXEC", respstore.Fault{Exec: "LOADING the dataset is being read"}, rules.Overloaded, false, 1},
		{"read-only replica", respstore.Fault{Queue: "READONLY You can't write against a read only replica."}, rules.Overloaded, false, 2},
		{"ASK redirect", respstore.Fault{Queue: "ASK 7 127.0.0.1:1"}, rules.Overloaded, false, 1},
		{"not authenticated", respstore.Fault{Queue: "NOAUTH Authentication required."}, rules.ConnectFailed, false, 2},
		{"no permission", respstore.Fault{Queue: "NOPERM no"}, rules.ConnectFailed, false, 2},
		{"unknown command", respstore.Fault{Queue: "ERR unknown command"}, rules.ConnectFailed, false, 1},
		{"connection closed after the addition", respstore.Fault{NoReply: true}, rules.ConnectionBroken, true, 2},
		{"reply truncated after the addition", respstore.Fault{Truncated: true}, rules.ConnectionBroken, true, 2},
		{"total is not a number", respstore.Fault{Malformed: true}, rules.Errored, true, 2},
	} {
		s := newStore(t, nil, "")
		_, add, results := startRESPClient(t, RESPConfig{Address: s.Address()})
		s.SetFault(c.fault)
		add(2, time.Minute)
		if got := testpeer.Receive(t, results, "result"); got.outcome != c.outcome {
			t.Errorf("%s: outcome %d, want %d", c.name, got.outcome, c.outcome)
		}
		if total, _ := s.Total(storeKey); (total == 2) != c.added {
			t.Errorf("%s: the stored total is %g", c.name, total)
		}
		s.SetFault(respstore.Fault{})
		add(1, time.Minute)
		want := 1.0
		if c.added {
			want = 3
		}
		if got := testpeer.Receive(t, results, "result"); got.outcome != rules.Served || got.total != want {
			t.Errorf("%s: the next call: %+v, want total %g", c.name, got, want)
		}
		if _, dials := s.Counts(); dials != c.dials {
			t.Errorf("%s: %d connections, want %d", c.name, dials, c.dials)
		}
	}
}

// A MOVED reply redirects further calls to the other store. If that store is unreachable, the
// client returns to the configured address.
func TestRESPRedirects(t *testing.T) {
	configured, moved := newStore(t, nil, ""), newStore(t, nil, "")
	_, add, results := startRESPClient(t, RESPConfig{Address: configured.Address()})
	configured.SetFault(respstore.Fault{Queue: "MOVED 7 " + moved.Address()})
	add(1, time.Minute)
	if got := testpeer.Receive(t, results, "result"); got.outcome != rules.Overloaded {
		t.Errorf("redirected call: %+v", got)
	}
	add(1, time.Minute)
	if got := testpeer.Receive(t, results, "result"); got.outcome != rules.Served {
		t.Errorf("call after the redirect: %+v", got)
	}
	if total, _ := moved.Total(storeKey); total != 1 {
		t.Errorf("the total at the new address is %g, want 1", total)
	}
	configured.SetFault(respstore.Fault{})
	moved.Close()
	for range 2 * maxRedirects {
		add(1, time.Minute)
		if got := testpeer.Receive(t, results, "result"); got.outcome == rules.Served {
			return
		}
	}
	t.Error("the client never returns to the configured address")
}

// A delayed reply delays only the calls behind it on its connection; later calls use a new one.
// The late outcome of an abandoned call is still reported.
func TestRESPStalledConnection(t *testing.T) {
	s := newStore(t, nil, "")
	_, add, results := startRESPClient(t, RESPConfig{Address: s.Address()})
	add(1, time.Minute)
	testpeer.Receive(t, results, "result")
	s.SetFault(respstore.Fault{Delay: 300 * time.Millisecond})
	stalled := add(2, time.Minute)
	time.Sleep(50 * time.Millisecond) // the call is in transit
	stalled.Abandon()
	s.SetFault(respstore.Fault{})
	add(4, time.Minute)
	got := testpeer.Receive(t, results, "result")
	if got.amount != 4 || got.outcome != rules.Served {
		t.Errorf("the next call waits for the stalled one: %+v", got)
	}
	if late := testpeer.Receive(t, results, "late result"); late.amount != 2 || late.outcome != rules.Served {
		t.Errorf("late result of the abandoned call: %+v", late)
	}
}

// Calls succeed over TLS with the right login. With a wrong or missing password, or a
// certificate of an unknown authority, nothing is added and the call is reported as failed.
func TestRESPTLSAndLogin(t *testing.T) {
	cert, pool := testpeer.SelfSignedCertificate(t)
	_, otherPool := testpeer.SelfSignedCertificate(t)
	s := newStore(t, &tls.Config{Certificates: []tls.Certificate{cert}}, "secret")
	for _, c := range []struct {
		password string
		pool     *x509.CertPool
		outcome  rules.Outcome
	}{{"secret", pool, rules.Served}, {"wrong", pool, rules.ConnectFailed}, {"", pool, rules.ConnectFailed}, {"secret", otherPool, rules.ConnectFailed}} {
		_, add, results := startRESPClient(t, RESPConfig{Address: s.Address(), User: "app", Password: c.password,
			TLS: &tls.Config{RootCAs: c.pool, ServerName: "127.0.0.1"}})
		add(1, time.Minute)
		if got := testpeer.Receive(t, results, "result"); got.outcome != c.outcome {
			t.Errorf("password %q: %+v, want outcome %d", c.password, got, c.outcome)
		}
	}
	if total, _ := s.Total(storeKey); total != 1 {
		t.Errorf("the stored total is %g, want 1", total)
	}
}
