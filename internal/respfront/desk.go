package respfront

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"elderyard/internal/owner"
	"elderyard/limits"
	"elderyard/rules"
)

const (
	tokenSpan  = 60.0    // seconds for which a take's token is remembered
	mostTokens = 1 << 16 // takes with a token that are remembered
	leastWait  = 0.1     // seconds that a take has, beside two calls of the counter
)

// Desk turns limit commands into checks. What it keeps of tokens belongs to the
// owner's goroutine.
type Desk struct {
	owner    *owner.EventLoop
	plans    []rules.Plan
	names    []string
	fleet    int
	patience float64 // seconds, of a take that names no wait
	accounts map[uint64]int
	plan     int // of accounts that are not named; -1: they must say

	ledger  *limits.Ledger
	waiting map[tokenKey][]*slot // repeats that wait for the answer of the first

	stats struct{ takes, refused, local, repeats, gives, peeks, units atomic.Int64 }
}

type tokenKey struct {
	account uint64
	token   string
}

// NewDesk takes checks for an owner's module. Names are those of the plans;
// accounts says which plan an account has, plan which one the others have, "" for none.
func NewDesk(o *owner.EventLoop, set rules.Settings, names []string, accounts map[uint64]string, plan string) (*Desk, error) {
	d := &Desk{owner: o, plans: set.Plans, names: names, fleet: max(set.FleetSize, 1), patience: leastWait + 2*set.CounterTimeout,
		accounts: map[uint64]int{}, plan: -1, ledger: limits.NewLedger(tokenSpan, mostTokens), waiting: map[tokenKey][]*slot{}}
	var err error
	if plan != "" {
		if d.plan, err = d.planOf(plan); err != nil {
			return nil, err
		}
	}
	for id, name := range accounts {
		if d.accounts[id], err = d.planOf(name); err != nil {
			return nil, fmt.Errorf("account %016x: %w", id, err)
		}
	}
	return d, nil
}

func (d *Desk) planOf(name string) (int, error) {
	for i, n := range d.names {
		if n == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("there is no plan %q; there are %s", name, strings.Join(d.names, ", "))
}

var errNoPlan = errors.New("the plan of this account is not known here: name it with PLAN")

// planFor is an account's plan, or the one that a command names.
func (d *Desk) planFor(account uint64, named string) (int, error) {
	known, is := d.accounts[account]
	if named != "" {
		plan, err := d.planOf(named)
		if err == nil && is && plan != known {
			err = fmt.Errorf("the plan of this account is %s", d.names[known])
		}
		return plan, err
	}
	if is {
		return known, nil
	}
	if d.plan < 0 {
		return 0, errNoPlan
	}
	return d.plan, nil
}

// matching is the plan whose figures a throttle names: limit units at most, count a
// period of seconds. A figure that contradicts is an error that states the plan's.
func (d *Desk) matching(account uint64, limit, count, period int64) (int, error) {
	fits := func(p *rules.Plan) bool {
		return p.Rate > 0 && math.Floor(p.Burst) == float64(limit) &&
			math.Abs(float64(count)/float64(period)-p.Rate) <= 1e-3*p.Rate
	}
	known, is := d.accounts[account]
	if !is && d.plan >= 0 {
		known, is = d.plan, true
	}
	if is {
		p := &d.plans[known]
		if !fits(p) {
			return 0, fmt.Errorf("the plan of this account is %s: a burst of %g units and %g a second; max_burst would be %g",
				d.names[known], p.Burst, p.Rate, math.Floor(p.Burst)-1)
		}
		return known, nil
	}
	found := -1
	for i := range d.plans {
		if fits(&d.plans[i]) {
			if found >= 0 {
				return 0, errNoPlan
			}
			found = i
		}
	}
	if found < 0 {
		return 0, errors.New("no plan of this site has these figures")
	}
	return found, nil
}

// ask is a parsed limit command.
type ask struct {
	account         uint64
	plan            int
	units           float64
	spread, first   int
	token           string
	wait            float64 // seconds; below 0: none was named
	partial, giving bool
	peek            bool
}

// slot is the place of one command's reply in a pipeline.
type slot struct {
	reply   func(*replies, *slot) // writes the reply; nil: text is it
	text    []byte
	version int

	// Of a limit command. The owner's goroutine fills in the answer before the batch is done.
	desk     *Desk
	ask      ask
	check    owner.Check
	batch    *batch
	event    rules.Check // of a take
	answer   rules.CheckResult
	repeated bool
	err      error
	decided  bool
}

// batch is the limit commands of a pipeline that are decided together.
type batch struct {
	left int           // not decided; the owner's
	done chan struct{} // has room for one
}

func (s *slot) finish(a rules.CheckResult, repeated bool, err error) {
	if s.decided {
		return
	}
	s.answer, s.repeated, s.err, s.decided = a, repeated, err, true
	if s.batch.left--; s.batch.left == 0 {
		s.batch.done <- struct{}{}
	}
}

// NewEvent makes the slot's event, or answers it from the ledger.
func (s *slot) NewEvent(id rules.RequestID) rules.Event {
	d, q := s.desk, &s.ask
	now := d.owner.Now()
	switch {
	case q.peek:
		d.stats.peeks.Add(1)
		return rules.Peek{ID: id, Customer: rules.CustomerID(q.account), Plan: q.plan, FirstGateway: q.first, Gateways: q.spread}
	case q.giving:
		window, err := d.ledger.Give(q.account, q.token, q.units, now)
		if err != nil {
			s.finish(rules.CheckResult{}, false, err)
			return nil
		}
		d.stats.gives.Add(1)
		return rules.Refund{ID: id, Customer: rules.CustomerID(q.account), Plan: q.plan, FirstGateway: q.first, Gateways: q.spread,
			Units: q.units, Window: window}
	}
	if q.token != "" {
		verdict, a, err := d.ledger.Take(q.account, q.token, q.units, now)
		switch {
		case err != nil:
			s.finish(rules.CheckResult{}, false, err)
			return nil
		case verdict == limits.Waits:
			d.waiting[q.key()] = append(d.waiting[q.key()], s)
			return nil
		case verdict == limits.Repeated:
			d.stats.repeats.Add(1)
			s.finish(rules.CheckResult{Granted: a.Granted, Shared: a.Shared, Window: a.Window, Remaining: math.NaN()}, true, nil)
			return nil
		}
	}
	wait := q.wait
	if wait < 0 {
		wait = d.patience
	}
	s.event = rules.Check{ID: id, Customer: rules.CustomerID(q.account), Plan: q.plan, Units: q.units, FirstGateway: q.first,
		Gateways: q.spread, Deadline: now + wait, Partial: q.partial}
	return &s.event
}

// Complete takes the module's answer.
func (s *slot) Complete(a rules.CheckResult) {
	if !s.ask.peek && !s.ask.giving {
		s.desk.book(&s.ask, a)
	}
	s.finish(a, false, nil)
}

// ShouldCancel tells whether a take is called off: not if a repeat waits for its answer.
func (s *slot) ShouldCancel() bool {
	return s.ask.token == "" || s.ask.giving || s.desk.ledger.Drop(s.ask.account, s.ask.token)
}

func (q *ask) key() tokenKey { return tokenKey{q.account, q.token} }

// book notes a take's answer, and tells those that repeated it meanwhile.
func (d *Desk) book(q *ask, a rules.CheckResult) {
	d.stats.takes.Add(1)
	d.stats.units.Add(int64(a.Granted))
	switch {
	case a.Granted <= 0:
		d.stats.refused.Add(1)
	case !a.Shared:
		d.stats.local.Add(1)
	}
	if q.token == "" {
		return
	}
	d.ledger.Decide(q.account, q.token, limits.Answer{Granted: a.Granted, Window: a.Window, Shared: a.Shared}, d.owner.Now())
	key := q.key()
	for _, s := range d.waiting[key] {
		d.stats.repeats.Add(1)
		s.finish(a, true, nil)
	}
	delete(d.waiting, key)
}

// leaving calls off what the client of a connection that ended still waits for.
type leaving struct {
	d     *Desk
	slots []*slot
}

// Process runs in the owner's goroutine.
func (l leaving) Process() {
	for _, s := range l.slots {
		if s.decided || s.check.CheckRequester == nil {
			continue
		}
		key := s.ask.key()
		line := l.d.waiting[key]
		waits := false
		for i, other := range line {
			if other == s {
				waits = true
				if l.d.waiting[key] = append(line[:i:i], line[i+1:]...); len(line) == 1 {
					delete(l.d.waiting, key)
				}
				l.d.ledger.Drop(key.account, key.token)
				break
			}
		}
		if !waits {
			owner.CancelChecks{Loop: l.d.owner, Checks: []*owner.Check{&s.check}}.Process()
		}
	}
}

// ms is a time in whole milliseconds, rounded up.
func ms(seconds float64) int64 {
	return int64(math.Ceil(seconds * float64(time.Second/time.Millisecond)))
}
