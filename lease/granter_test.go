package lease

import (
	"errors"
	"testing"
	"time"
)

// TestGranterNeverReopensSession guards against two holders with the same session: neither a request that arrives late
// nor a change of granters may reopen a session that has ended.
func TestGranterNeverReopensSession(t *testing.T) {
	g, _ := NewGranter(terms)
	if err := g.Open(0, 7); err != nil {
		t.Fatal(err)
	}
	if !g.Handle(5*time.Second, Request{Session: 7, Number: 1}).Granted {
		t.Fatal("a renewal in time was rejected")
	}
	g.Handle(6*time.Second, Request{Session: 7, Number: 3, Release: true})
	if g.Handle(6*time.Second, Request{Session: 7, Number: 2}).Granted {
		t.Error("a request that arrived after the release reopened the session")
	}
	if err := g.Open(7*time.Second, 7); !errors.Is(err, ErrSessionNotNew) {
		t.Errorf("a session was opened a second time: %v", err)
	}
	g.Recover(7*time.Second, nil, 12)
	if err := g.Open(7*time.Second, 12); !errors.Is(err, ErrSessionNotNew) {
		t.Errorf("a session of the previous granter was opened again: %v", err)
	}
	if err := g.Open(7*time.Second, 13); err != nil {
		t.Error(err)
	}
	if expired := g.Expire(17 * time.Second); len(expired) != 1 || expired[0] != 13 {
		t.Errorf("expired sessions: %v, want [13]", expired)
	}
}
