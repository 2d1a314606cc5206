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
	tokenRetention = 60.0    // seconds for which a take with a token is remembered
	maxTokens      = 1 << 16 // takes with a token that are remembered
	minWait        = 0.1     // seconds that a take without WAIT may wait, beyond two calls of the counter
)

// Limiter turns limit commands into checks by the module of an event loop. Only the event
// loop's goroutine may access the state of tokens.
type Limiter struct {
	loop         *owner.EventLoop
	plans        []rules.Plan
	planNames    []string
	fleet        int     // number of gateways
	defaultWait  float64 // seconds, for a take without WAIT
	accountPlans map[uint64]int
	defaultPlan  int // of accounts that accountPlans doesn't have; -1: their commands must name it

	tokens  *limits.Deduplicator
	repeats map[tokenKey][]*queuedReply // takes that wait for the result of the take that they repeat
	noWaits bool                        // no take may wait any more

	stats struct{ takes, refused, local, repeats, gives, peeks, units atomic.Int64 }
}

type tokenKey struct {
	account uint64
	token   string
}

// NewLimiter returns a limiter for the module of an event loop, whose plans have the names
// planNames. It gives accounts their plan by its name; others have defaultPlan, or none if
// that is "".
func NewLimiter(loop *owner.EventLoop, set rules.Settings, planNames []string, accounts map[uint64]string, defaultPlan string) (*Limiter, error) {
	l := &Limiter{loop: loop, plans: set.Plans, planNames: planNames, fleet: max(set.FleetSize, 1), defaultWait: minWait + 2*set.CounterTimeout,
		accountPlans: map[uint64]int{}, defaultPlan: -1, tokens: limits.NewDeduplicator(tokenRetention, maxTokens), repeats: map[tokenKey][]*queuedReply{}}
	var err error
	if defaultPlan != "" {
		if l.defaultPlan, err = l.planIndex(defaultPlan); err != nil {
			return nil, err
		}
	}
	for id, name := range accounts {
		if l.accountPlans[id], err = l.planIndex(name); err != nil {
			return nil, fmt.Errorf("account %016x: %w", id, err)
		}
	}
	return l, nil
}

func (l *Limiter) planIndex(name string) (int, error) {
	for i, n := range l.planNames {
		if n == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("there is no plan %q; there are %s", name, strings.Join(l.planNames, ", "))
}

var errNoPlan = errors.New("the plan of this account is not known here: name it with PLAN")

// planOf returns the plan of an account. If a command names a plan, that must be the one
// of the account or the account must have none.
func (l *Limiter) planOf(account uint64, named string) (int, error) {
	configured, found := l.accountPlans[account]
	if named != "" {
		plan, err := l.planIndex(named)
		if err == nil && found && plan != configured {
			err = fmt.Errorf("the plan of this account is %s", l.planNames[configured])
		}
		return plan, err
	}
	if found {
		return configured, nil
	}
	if l.defaultPlan < 0 {
		return 0, errNoPlan
	}
	return l.defaultPlan, nil
}

// planWithLimit returns the plan with the limit of a CL.THROTTLE: a burst of limit units,
// and count units per period of seconds. It must be the plan of the account if that has
// one: otherwise the error states the limit of that plan.
func (l *Limiter) planWithLimit(account uint64, limit, count, period int64) (int, error) {
	matches := func(p *rules.Plan) bool {
		return p.Rate > 0 && math.Floor(p.Burst) == float64(limit) &&
			math.Abs(float64(count)/float64(period)-p.Rate) <= 1e-3*p.Rate
	}
	plan, found := l.accountPlans[account]
	if !found && l.defaultPlan >= 0 {
		plan, found = l.defaultPlan, true
	}
	if found {
		p := &l.plans[plan]
		if !matches(p) {
			return 0, fmt.Errorf("the plan of this account is %s: a burst of %g units and %g a second; max_burst would be %g",
				l.planNames[plan], p.Burst, p.Rate, math.Floor(p.Burst)-1)
		}
		return plan, nil
	}
	match := -1
	for i := range l.plans {
		if matches(&l.plans[i]) {
			if match >= 0 {
				return 0, errNoPlan
			}
			match = i
		}
	}
	if match < 0 {
		return 0, errors.New("no plan of this site has these figures")
	}
	return match, nil
}

// limitRequest is a parsed limit command.
type limitRequest struct {
	account                uint64
	plan                   int
	units                  float64
	gateways, firstGateway int // of SPREAD and FIRST: how many gateways serve the account, and the first of them
	token                  string
	wait                   float64 // seconds; negative: no WAIT
	partial, refund        bool    // refund: the command is LIMIT.GIVE
	peek                   bool
}

// queuedReply is the reply of one command of a pipeline.
type queuedReply struct {
	write   func(*replyWriter, *queuedReply) // writes the reply; nil: text is the reply
	text    []byte
	version int

	// Of a limit command. The event loop's goroutine sets the result before it completes the batch.
	limiter  *Limiter
	request  limitRequest
	check    owner.Check
	batch    *batch
	event    rules.Check // of a take
	result   rules.CheckResult
	repeated bool
	err      error
	decided  bool
}

// batch is the limit commands of a pipeline that are decided together.
type batch struct {
	undecided int           // decremented by the event loop's goroutine
	done      chan struct{} // receives one value, for which it has a buffer
}

// finish sets the result of a command. The last one of a batch completes the batch.
func (r *queuedReply) finish(result rules.CheckResult, repeated bool, err error) {
	if r.decided {
		return
	}
	r.result, r.repeated, r.err, r.decided = result, repeated, err, true
	if r.batch.undecided--; r.batch.undecided == 0 {
		r.batch.done <- struct{}{}
	}
}

// NewEvent returns the event for the command, or nil if the state of tokens decides it.
func (r *queuedReply) NewEvent(id rules.RequestID) rules.Event {
	l, request := r.limiter, &r.request
	now := l.loop.Now()
	switch {
	case request.peek:
		l.stats.peeks.Add(1)
		return rules.Peek{ID: id, Customer: rules.CustomerID(request.account), Plan: request.plan, FirstGateway: request.firstGateway, Gateways: request.gateways}
	case request.refund:
		window, err := l.tokens.Refund(request.account, request.token, request.units, now)
		if err != nil {
			r.finish(rules.CheckResult{}, false, err)
			return nil
		}
		l.stats.gives.Add(1)
		return rules.Refund{ID: id, Customer: rules.CustomerID(request.account), Plan: request.plan, FirstGateway: request.firstGateway, Gateways: request.gateways,
			Units: request.units, Window: window}
	}
	if request.token != "" {
		status, grant, err := l.tokens.Begin(request.account, request.token, request.units, now)
		switch {
		case err != nil:
			r.finish(rules.CheckResult{}, false, err)
			return nil
		case status == limits.Pending:
			l.repeats[request.key()] = append(l.repeats[request.key()], r)
			return nil
		case status == limits.Duplicate:
			l.stats.repeats.Add(1)
			r.finish(rules.CheckResult{Granted: grant.Units, Shared: grant.Shared, Window: grant.Window, Remaining: math.NaN()}, true, nil)
			return nil
		}
	}
	wait := request.wait
	if wait < 0 {
		wait = l.defaultWait
	}
	if l.noWaits {
		wait = 0
	}
	r.event = rules.Check{ID: id, Customer: rules.CustomerID(request.account), Plan: request.plan, Units: request.units, FirstGateway: request.firstGateway,
		Gateways: request.gateways, Deadline: now + wait, Partial: request.partial}
	return &r.event
}

// Complete receives the module's result.
func (r *queuedReply) Complete(result rules.CheckResult) {
	if !r.request.peek && !r.request.refund {
		r.limiter.recordTake(&r.request, result)
	}
	r.finish(result, false, nil)
}

// ShouldCancel reports whether the command of a disconnected client is to be cancelled: a take
// is not if a repeat waits for its result.
func (r *queuedReply) ShouldCancel() bool {
	return r.request.token == "" || r.request.refund || r.limiter.tokens.Cancel(r.request.account, r.request.token)
}

func (request *limitRequest) key() tokenKey { return tokenKey{request.account, request.token} }

// recordTake counts a take that has been decided, and finishes the takes that repeated it
// in the meantime.
func (l *Limiter) recordTake(request *limitRequest, result rules.CheckResult) {
	l.stats.takes.Add(1)
	l.stats.units.Add(int64(result.Granted))
	switch {
	case result.Granted <= 0:
		l.stats.refused.Add(1)
	case !result.Shared:
		l.stats.local.Add(1)
	}
	if request.token == "" {
		return
	}
	l.tokens.Complete(request.account, request.token, limits.Grant{Units: result.Granted, Window: result.Window, Shared: result.Shared}, l.loop.Now())
	key := request.key()
	for _, r := range l.repeats[key] {
		l.stats.repeats.Add(1)
		r.finish(result, true, nil)
	}
	delete(l.repeats, key)
}

// disconnect is a message to the event loop. It cancels the undecided commands of a client
// that has disconnected.
type disconnect struct {
	limiter *Limiter
	replies []*queuedReply
}

// Process runs in the event loop's goroutine.
func (d disconnect) Process() {
	for _, r := range d.replies {
		if r.decided || r.check.CheckRequester == nil {
			continue
		}
		key := r.request.key()
		repeats := d.limiter.repeats[key]
		isRepeat := false
		for i, other := range repeats {
			if other == r {
				isRepeat = true
				if d.limiter.repeats[key] = append(repeats[:i:i], repeats[i+1:]...); len(repeats) == 1 {
					delete(d.limiter.repeats, key)
				}
				d.limiter.tokens.Cancel(key.account, key.token)
				break
			}
		}
		if !isRepeat {
			owner.CancelChecks{Loop: d.limiter.loop, Checks: []*owner.Check{&r.check}}.Process()
		}
	}
}

// endWaits is a message to the event loop. It decides the takes that wait as at the end of
// their time, and later ones at once.
type endWaits struct{ limiter *Limiter }

// Process runs in the event loop's goroutine.
func (e endWaits) Process() {
	e.limiter.noWaits = true
	e.limiter.loop.ExpireChecks()
}

// toMillis converts seconds to whole milliseconds, rounded up.
func toMillis(seconds float64) int64 {
	return int64(math.Ceil(seconds * float64(time.Second/time.Millisecond)))
}
