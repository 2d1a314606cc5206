package limits

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestTokens(t *testing.T) {
	l := NewLedger(60, 100)
	if v, _, err := l.Take(1, "a", 2, 0); v != New || err != nil {
		t.Fatalf("the first: %d, %v", v, err)
	}
	if v, _, err := l.Take(1, "a", 2, 1); v != Waits || err != nil {
		t.Errorf("while it is decided: %d, %v", v, err)
	}
	if _, err := l.Give(1, "a", 1, 1); !errors.Is(err, ErrOpen) {
		t.Errorf("given while it is decided: %v", err)
	}
	l.Decide(1, "a", Answer{Granted: 2, Window: 7, Shared: true}, 2)
	if v, a, err := l.Take(1, "a", 2, 3); v != Repeated || a != (Answer{2, 7, true}) || err != nil {
		t.Errorf("repeated: %d, %+v, %v", v, a, err)
	}
	if _, _, err := l.Take(1, "a", 3, 3); !errors.Is(err, ErrOther) {
		t.Errorf("of other units: %v", err)
	}
	if v, _, _ := l.Take(2, "a", 2, 3); v != New {
		t.Error("another account's token is the same")
	}
	if _, err := l.Give(1, "a", 3, 4); !errors.Is(err, ErrMore) {
		t.Errorf("more than taken: %v", err)
	}
	if w, err := l.Give(1, "a", 1, 4); w != 7 || err != nil {
		t.Errorf("given: %g, %v", w, err)
	}
	if _, err := l.Give(1, "a", 1, 4); !errors.Is(err, ErrGiven) {
		t.Errorf("given twice: %v", err)
	}
	if v, _, _ := l.Take(1, "a", 2, 4); v != Repeated {
		t.Error("a token that was given back counts anew")
	}
	if _, err := l.Give(1, "b", 1, 4); !errors.Is(err, ErrUnknown) {
		t.Errorf("a token never taken: %v", err)
	}
	if v, _, _ := l.Take(1, "a", 2, 63); v != New {
		t.Error("remembered beyond the span")
	}
	l.Decide(1, "a", Answer{}, 64)
	if v, _, _ := l.Take(1, "a", 2, 64); v != New {
		t.Error("a take that got nothing can't be tried again")
	}
}

// A take whose asker has gone goes on if a repeat waits for it, and is called off
// otherwise.
func TestDrop(t *testing.T) {
	l := NewLedger(60, 100)
	l.Take(1, "a", 1, 0)
	l.Take(1, "a", 1, 0)
	if l.Drop(1, "a") {
		t.Error("called off although a repeat waits")
	}
	if !l.Drop(1, "a") {
		t.Error("not called off although all have gone")
	}
	if l.Len() != 0 || l.Drop(1, "a") {
		t.Errorf("%d left", l.Len())
	}
}

// At the bound the oldest decided takes go; what is being decided stays, and a
// bound full of that is an error.
func TestBound(t *testing.T) {
	l := NewLedger(60, 10)
	for i := range 100 {
		token := fmt.Sprint(i)
		if v, _, err := l.Take(1, token, 1, 0); v != New || err != nil {
			t.Fatalf("%d: %d, %v", i, v, err)
		}
		l.Decide(1, token, Answer{Granted: 1}, 0)
		if l.Len() > 10 {
			t.Fatalf("%d are remembered", l.Len())
		}
	}
	for i := range 10 {
		l.Take(2, fmt.Sprint(i), 1, 1)
	}
	if _, _, err := l.Take(2, "x", 1, 1); !errors.Is(err, ErrFull) {
		t.Errorf("past the bound: %v", err)
	}
}

// Whatever the order of calls, a token is decided once in its span, and gives back
// at most once and at most what it got.
func TestLedgerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(10, 1000)
		type fate struct{ open, decided, given bool }
		fates := map[string]*fate{}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			token := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "token"))
			f := fates[token]
			if f == nil {
				f = &fate{}
				fates[token] = f
			}
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				v, a, err := l.Take(1, token, 3, 5)
				want := New
				if f.decided {
					want = Repeated
				} else if f.open {
					want = Waits
				}
				if v != want || err != nil || v == Repeated && a.Granted != 3 {
					t.Fatalf("take: %d, %+v, %v, want %d", v, a, err, want)
				}
				f.open = true
			case 1:
				if f.open && !f.decided {
					l.Decide(1, token, Answer{Granted: 3}, 5)
					f.decided = true
				}
			case 2:
				units := float64(rapid.IntRange(1, 4).Draw(t, "units"))
				_, err := l.Give(1, token, units, 5)
				if (err == nil) != (f.decided && !f.given && units <= 3) {
					t.Fatalf("give of %g: %v after %+v", units, err, f)
				}
				f.given = f.given || err == nil
			case 3:
				if f.open && !f.decided && l.Drop(1, token) {
					f.open = false
				}
			}
		}
	})
}
