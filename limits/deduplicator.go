// Package limits deduplicates takes and refunds of quota units that carry an idempotency
// token: a take that a client repeats counts once, and its units are refunded at most
// once. It is pure: the caller passes the time, and there is no goroutine and no clock.
// Package rules accounts for the units themselves.
package limits

import "errors"

// Status is what is known of a take when it begins.
type Status int

// The statuses.
const (
	New       Status = iota // the caller must decide it
	Pending                 // a repeat of a take that is being decided, whose grant is also for this one
	Duplicate               // a repeat of a take that has been decided, whose grant is returned
)

// The errors of takes and refunds. Their texts are sent to clients.
var (
	ErrUnitsMismatch  = errors.New("the token stands for a take of another number of units")
	ErrUnknownToken   = errors.New("no take under this token is known any more")
	ErrPending        = errors.New("the take under this token is not decided yet")
	ErrRefunded       = errors.New("what this token took has been given back")
	ErrExceedsGrant   = errors.New("more than the token took")
	ErrTooManyPending = errors.New("too many takes with tokens are being decided")
)

// Grant is the outcome of a take.
type Grant struct {
	Units  float64
	Window float64 // of the bucket that they came from, for a refund to the same one
	Shared bool    // they came from the shared count
}

type key struct {
	account uint64
	token   string
}

// entry is a take, and an element of the list of entries by age.
type entry struct {
	key
	units    float64
	since    float64 // when it was decided, or begun if it is pending
	decided  bool
	refunded bool
	repeats  int // number of repeats that wait for the grant
	grant    Grant
	older    *entry
	newer    *entry
}

// Deduplicator remembers the takes of a retention time. At its capacity it evicts the
// oldest decided one early; a repeat of that one would count again.
type Deduplicator struct {
	retention float64 // seconds
	capacity  int
	entries   map[key]*entry
	list      entry // sentinel of the ring: newer is the oldest entry, older the newest
}

// NewDeduplicator returns a deduplicator of at most capacity takes, each remembered for
// retention seconds from its decision.
func NewDeduplicator(retention float64, capacity int) *Deduplicator {
	d := &Deduplicator{retention: retention, capacity: capacity, entries: map[key]*entry{}}
	d.list.older, d.list.newer = &d.list, &d.list
	return d
}

// Len returns the number of takes that are remembered.
func (d *Deduplicator) Len() int { return len(d.entries) }

// link appends an entry to the list as the newest.
func (d *Deduplicator) link(e *entry) {
	e.older, e.newer = d.list.older, &d.list
	e.older.newer, e.newer.older = e, e
}

func (d *Deduplicator) unlink(e *entry) { e.older.newer, e.newer.older = e.newer, e.older }

func (d *Deduplicator) remove(e *entry) {
	d.unlink(e)
	delete(d.entries, e.key)
}

// evict removes decided entries that are older than the retention time, and the oldest
// decided ones while the capacity is reached.
func (d *Deduplicator) evict(now float64) {
	for e := d.list.newer; e != &d.list && (now-e.since > d.retention || len(d.entries) >= d.capacity); {
		next := e.newer
		if e.decided {
			d.remove(e)
		} else if now-e.since <= d.retention {
			break // all further entries are younger, and at the capacity a pending one ends the eviction
		}
		e = next
	}
}

// Begin returns the status of a take, with the grant of a duplicate. After New, the
// caller must call Complete or Cancel.
func (d *Deduplicator) Begin(account uint64, token string, units, now float64) (Status, Grant, error) {
	d.evict(now)
	k := key{account, token}
	if e := d.entries[k]; e != nil {
		switch {
		case e.units != units:
			return New, Grant{}, ErrUnitsMismatch
		case !e.decided:
			e.repeats++
			return Pending, Grant{}, nil
		}
		return Duplicate, e.grant, nil
	}
	if len(d.entries) >= d.capacity {
		return New, Grant{}, ErrTooManyPending
	}
	e := &entry{key: k, units: units, since: now}
	d.entries[k] = e
	d.link(e)
	return New, Grant{}, nil
}

// Complete records the grant of a take. A take that was granted nothing is removed, so
// that a client can retry it with the same token.
func (d *Deduplicator) Complete(account uint64, token string, g Grant, now float64) {
	e := d.entries[key{account, token}]
	if e == nil || e.decided {
		return
	}
	if g.Units <= 0 {
		d.remove(e)
		return
	}
	d.unlink(e)
	e.decided, e.grant, e.since, e.repeats = true, g, now, 0
	d.link(e)
}

// Cancel withdraws one client of a pending take. It returns true if no other client
// waits for the grant: then the take is removed and the caller must cancel it.
func (d *Deduplicator) Cancel(account uint64, token string) bool {
	e := d.entries[key{account, token}]
	if e == nil || e.decided {
		return false
	}
	if e.repeats > 0 {
		e.repeats--
		return false
	}
	d.remove(e)
	return true
}

// Refund returns the window of the bucket that the units of a take go back to. It
// succeeds once for each token.
func (d *Deduplicator) Refund(account uint64, token string, units, now float64) (window float64, err error) {
	d.evict(now)
	e := d.entries[key{account, token}]
	switch {
	case e == nil:
		return 0, ErrUnknownToken
	case !e.decided:
		return 0, ErrPending
	case e.refunded:
		return 0, ErrRefunded
	case units > e.grant.Units:
		return 0, ErrExceedsGrant
	}
	e.refunded = true
	return e.grant.Window, nil
}
