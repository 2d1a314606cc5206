package limits

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestTokens(t *testing.T) {
	d := NewDeduplicator(60, 100)
	if status, _, err := d.Begin(1, "a", 2, 0); status != New || err != nil {
		t.Fatalf("first take: status %d, %v", status, err)
	}
	if status, _, err := d.Begin(1, "a", 2, 1); status != Pending || err != nil {
		t.Errorf("repeat of a pending take: status %d, %v", status, err)
	}
	if _, err := d.Refund(1, "a", 1, 1); !errors.Is(err, ErrPending) {
		t.Errorf("refund of a pending take: %v", err)
	}
	d.Complete(1, "a", Grant{Units: 2, Window: 7, Shared: true}, 2)
	if status, g, err := d.Begin(1, "a", 2, 3); status != Duplicate || g != (Grant{2, 7, true}) || err != nil {
		t.Errorf("repeat of a decided take: status %d, %+v, %v", status, g, err)
	}
	if _, _, err := d.Begin(1, "a", 3, 3); !errors.Is(err, ErrUnitsMismatch) {
		t.Errorf("repeat with other units: %v", err)
	}
	if status, _, _ := d.Begin(2, "a", 2, 3); status != New {
		t.Error("the token of another account is taken for the same")
	}
	if _, err := d.Refund(1, "a", 3, 4); !errors.Is(err, ErrExceedsGrant) {
		t.Errorf("refund of more than granted: %v", err)
	}
	if window, err := d.Refund(1, "a", 1, 4); window != 7 || err != nil {
		t.Errorf("refund: window %g, %v", window, err)
	}
	if _, err := d.Refund(1, "a", 1, 4); !errors.Is(err, ErrRefunded) {
		t.Errorf("second refund: %v", err)
	}
	if status, _, _ := d.Begin(1, "a", 2, 4); status != Duplicate {
		t.Error("a repeat after the refund is not a duplicate")
	}
	if _, err := d.Refund(1, "b", 1, 4); !errors.Is(err, ErrUnknownToken) {
		t.Errorf("refund of an unknown token: %v", err)
	}
	if status, _, _ := d.Begin(1, "a", 2, 63); status != New {
		t.Error("remembered for longer than the retention time")
	}
	d.Complete(1, "a", Grant{}, 64)
	if status, _, _ := d.Begin(1, "a", 2, 64); status != New {
		t.Error("a take that was granted nothing can't be retried")
	}
}

// A pending take whose client disconnects goes on if a repeat waits for its grant, and
// is cancelled otherwise.
func TestCancel(t *testing.T) {
	d := NewDeduplicator(60, 100)
	d.Begin(1, "a", 1, 0)
	d.Begin(1, "a", 1, 0)
	if d.Cancel(1, "a") {
		t.Error("cancelled although a repeat waits")
	}
	if !d.Cancel(1, "a") {
		t.Error("not cancelled although no client waits")
	}
	if d.Len() != 0 || d.Cancel(1, "a") {
		t.Errorf("%d takes are still remembered", d.Len())
	}
}

// At the capacity the oldest decided takes are evicted. Pending ones stay, and a
// deduplicator that is full of them rejects further takes.
func TestCapacity(t *testing.T) {
	d := NewDeduplicator(60, 10)
	for i := range 100 {
		token := fmt.Sprint(i)
		if status, _, err := d.Begin(1, token, 1, 0); status != New || err != nil {
			t.Fatalf("take %d: status %d, %v", i, status, err)
		}
		d.Complete(1, token, Grant{Units: 1}, 0)
		if d.Len() > 10 {
			t.Fatalf("%d takes are remembered, want at most 10", d.Len())
		}
	}
	for i := range 10 {
		d.Begin(2, fmt.Sprint(i), 1, 1)
	}
	if _, _, err := d.Begin(2, "x", 1, 1); !errors.Is(err, ErrTooManyPending) {
		t.Errorf("take beyond the capacity: %v", err)
	}
}

// In any order of calls, a token is decided once in its retention time, and its units
// are refunded at most once and never more than were granted.
func TestDeduplicatorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDeduplicator(10, 1000)
		type state struct{ begun, decided, refunded bool }
		states := map[string]*state{}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			token := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "token"))
			s := states[token]
			if s == nil {
				s = &state{}
				states[token] = s
			}
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				status, g, err := d.Begin(1, token, 3, 5)
				want := New
				if s.decided {
					want = Duplicate
				} else if s.begun {
					want = Pending
				}
				if status != want || err != nil || status == Duplicate && g.Units != 3 {
					t.Fatalf("begin: status %d, %+v, %v, want %d", status, g, err, want)
				}
				s.begun = true
			case 1:
				if s.begun && !s.decided {
					d.Complete(1, token, Grant{Units: 3}, 5)
					s.decided = true
				}
			case 2:
				units := float64(rapid.IntRange(1, 4).Draw(t, "units"))
				_, err := d.Refund(1, token, units, 5)
				if (err == nil) != (s.decided && !s.refunded && units <= 3) {
					t.Fatalf("refund of %g units: %v, state %+v", units, err, s)
				}
				s.refunded = s.refunded || err == nil
			case 3:
				if s.begun && !s.decided && d.Cancel(1, token) {
					s.begun = false
				}
			}
		}
	})
}
