// Package limits decides what becomes of takes and gives that carry a token: a
// take that is repeated counts once, and what a token took comes back once. It is
// pure: calls in, verdicts out, time handed in, no goroutine and no clock. The units
// themselves are package rules' matter.
package limits

import "errors"

// Verdict is what a take with a token is.
type Verdict int

// The verdicts.
const (
	New      Verdict = iota // it has to be decided
	Waits                   // an earlier one is being decided: its answer is this one's
	Repeated                // an earlier one was decided: here is its answer
)

// The errors of takes and gives.
var (
	ErrOther   = errors.New("the token stands for a take of another number of units")
	ErrUnknown = errors.New("no take under this token is known any more")
	ErrOpen    = errors.New("the take under this token is not decided yet")
	ErrGiven   = errors.New("what this token took has been given back")
	ErrMore    = errors.New("more than the token took")
	ErrFull    = errors.New("too many takes with tokens are being decided")
)

// Answer is what a take was told.
type Answer struct {
	Granted float64 // units
	Window  float64 // of the store that they came from, for the way back
	Shared  bool    // they came from the shared count
}

type key struct {
	account uint64
	token   string
}

type entry struct {
	key
	units   float64
	at      float64 // when it was decided, or begun
	decided bool
	given   bool
	waiting int // repeats that wait for the answer
	answer  Answer
	earlier *entry
	later   *entry
}

// Ledger remembers the takes of a span. At its bound the oldest decided one is
// forgotten early; a repeat of that would count again.
type Ledger struct {
	span    float64 // seconds
	most    int
	entries map[key]*entry
	ends    entry // later: the oldest; earlier: the newest
}

// NewLedger remembers at most so many takes, each for span seconds from its answer.
func NewLedger(span float64, most int) *Ledger {
	l := &Ledger{span: span, most: most, entries: map[key]*entry{}}
	l.ends.earlier, l.ends.later = &l.ends, &l.ends
	return l
}

// Len is how many takes are remembered.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) link(e *entry) {
	e.earlier, e.later = l.ends.earlier, &l.ends
	e.earlier.later, e.later.earlier = e, e
}

func (l *Ledger) unlink(e *entry) { e.earlier.later, e.later.earlier = e.later, e.earlier }

func (l *Ledger) forget(e *entry) {
	l.unlink(e)
	delete(l.entries, e.key)
}

// expire forgets what is older than the span, and the oldest at the bound.
func (l *Ledger) expire(now float64) {
	for e := l.ends.later; e != &l.ends && (now-e.at > l.span || len(l.entries) >= l.most); {
		next := e.later
		if e.decided {
			l.forget(e)
		} else if now-e.at <= l.span {
			break // all from here on are younger, and at the bound with what is open
		}
		e = next
	}
}

// Take tells what a take is. After New, Decide or Drop must follow.
func (l *Ledger) Take(account uint64, token string, units, now float64) (Verdict, Answer, error) {
	l.expire(now)
	k := key{account, token}
	if e := l.entries[k]; e != nil {
		switch {
		case e.units != units:
			return New, Answer{}, ErrOther
		case !e.decided:
			e.waiting++
			return Waits, Answer{}, nil
		}
		return Repeated, e.answer, nil
	}
	if len(l.entries) >= l.most {
		return New, Answer{}, ErrFull
	}
	e := &entry{key: k, units: units, at: now}
	l.entries[k] = e
	l.link(e)
	return New, Answer{}, nil
}

// Decide notes the answer of a take. One that got nothing is forgotten, so that
// its token may be used to try again.
func (l *Ledger) Decide(account uint64, token string, a Answer, now float64) {
	e := l.entries[key{account, token}]
	if e == nil || e.decided {
		return
	}
	if a.Granted <= 0 {
		l.forget(e)
		return
	}
	l.unlink(e)
	e.decided, e.answer, e.at, e.waiting = true, a, now, 0
	l.link(e)
}

// Drop tells that the asker of an undecided take has gone, and returns whether the
// take is to be called off: not if a repeat waits for its answer.
func (l *Ledger) Drop(account uint64, token string) bool {
	e := l.entries[key{account, token}]
	if e == nil || e.decided {
		return false
	}
	if e.waiting > 0 {
		e.waiting--
		return false
	}
	l.forget(e)
	return true
}

// Give tells which window the units go back to. It says yes once for each token.
func (l *Ledger) Give(account uint64, token string, units, now float64) (window float64, err error) {
	l.expire(now)
	e := l.entries[key{account, token}]
	switch {
	case e == nil:
		return 0, ErrUnknown
	case !e.decided:
		return 0, ErrOpen
	case e.given:
		return 0, ErrGiven
	case units > e.answer.Granted:
		return 0, ErrMore
	}
	e.given = true
	return e.answer.Window, nil
}
