package gateway

import (
	"context"
	"log"
	"net/http"
	"sync"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/discovery"
	"elderyard/internal/owner"
	"elderyard/internal/telemetry"
	"elderyard/internal/wire"
	"elderyard/rules"
	"elderyard/traces"
)

const (
	answerMargin = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	sameMoment   = 0.001 // a cancel so close before an attempt's time-out is one
)

// What sockets and operators tell the loop.
type (
	arrival struct {
		l *Loop
		x *exchange
	}
	clientGone struct {
		l *Loop
		x *exchange
	}
	attemptDone struct {
		l      *Loop
		a      *attempt
		result result
	}
	bodyWhole struct { // a body that passes through has gone whole
		l *Loop
		a *attempt
	}
	news struct {
		l       *Loop
		listing discovery.Listing
		kind    rules.ListKind
	}
	handCall struct { // an operator's
		l    *Loop
		id   string
		ask  bool // only whether the id was ever listed
		out  bool
		done chan error // has room for one
	}
	divided struct { // by how many gateways
		l *Loop
		rules.FleetUpdate
	}
	outByHand struct { // all that are, as noted
		l   *Loop
		ids map[string]struct{}
	}
	ending struct{ l *Loop } // the process will be killed soon
)

// Process accepts a request that a client has sent.
func (m arrival) Process() { m.l.arrive(m.x) }

// Process cancels the requests of a client that has disconnected.
func (m clientGone) Process() { m.l.leave(m.x) }

// Process records that the body of an attempt's request has been sent completely.
func (m bodyWhole) Process() { m.l.bodyWhole(m.a) }

// Process applies an endpoint list.
func (m news) Process() { m.l.list(m.listing, m.kind) }

// Process passes the number of gateways on to the module.
func (m divided) Process() { m.l.Handle(m.FleetUpdate) }

// Process answers every open request, since the process ends soon.
func (m ending) Process() { m.l.endAll() }

// Process carries out an operator's call and sends its result to the caller.
func (m handCall) Process() { m.done <- m.l.takeByHand(m) }

// Process records the end of an attempt, or the beginning of a streamed response.
func (m attemptDone) Process() {
	if m.result.rest != nil {
		m.l.begin(m.a, m.result)
	} else {
		m.l.endAttempt(m.a, m.result)
	}
}

// Process replaces the set of backends that operators have taken out of service.
func (m outByHand) Process() {
	for id := range m.l.out {
		if _, still := m.ids[id]; !still {
			m.l.setOut(id, false)
		}
	}
	for id := range m.ids {
		m.l.setOut(id, true)
	}
}

// Loop is the part of the module's owner that concerns requests: it gives each its
// one final answer, starts and ends attempts, and hands the list of backends on. All of it
// runs in the owner's goroutine.
type Loop struct {
	*owner.EventLoop
	deploy   *wire.Deployment
	pools    *pools
	onListed func()

	telemetry *telemetry.Telemetry // nil: nothing is exported
	share     float64              // of requests that are traced

	attempts sync.WaitGroup // those that use sockets

	live  map[rules.RequestID]*exchange // until the last attempt has ended
	held  map[string]struct{}           // the clients' own ids of those
	ids   recent                        // and of requests taken lately
	over  bool                          // what comes is turned away: the process ends
	names map[rules.BackendID]listed    // the ready ones
	ever  everListed
	out   map[string]struct{} // backends out by hand; the module leaves them out
}

func newLoop(c *config.Config, p *pools, k owner.Counter, onListed func()) *Loop {
	l := &Loop{EventLoop: owner.New(c.Settings, c.Seed, k), deploy: &c.Deployment, pools: p, onListed: onListed,
		live: map[rules.RequestID]*exchange{}, held: map[string]struct{}{}, names: map[rules.BackendID]listed{}, out: map[string]struct{}{}}
	l.ids.span = longest(c).Seconds() + c.AnswerSlack
	l.Start(l)
	return l
}

// hear passes on what discovery told.
func (l *Loop) hear(told discovery.Listing) {
	kind := rules.DeltaList
	if told.Reset {
		kind = rules.FullList
	}
	l.Post(news{l, told, kind})
}

// divide passes on how many gateways there are.
func (l *Loop) divide(share, cold int) {
	l.Post(divided{l, rules.FleetUpdate{QuotaDivisor: share, ColdSenders: cold}})
}

// leave takes a client's leaving. Danger: an answer may just have been given that
// passes through, and nobody would end it.
func (l *Loop) leave(x *exchange) {
	if x.open {
		x.open = false
		l.recordEvent(x, traces.Event{Kind: traces.ClientLeft})
		l.Handle(rules.ClientDisconnected{Request: x.ask.ID})
		x.withhold()
		l.drop(x)
		if x.upload != nil {
			// Danger: the server watches for a client's end only behind a whole body, so the handler of
			// one that is not read to its end would wait for good, and keep the connection.
			x.reply <- answer{status: http.StatusBadRequest}
		}
		return
	}
	select {
	case a := <-x.reply:
		if a.rest == nil {
			return
		}
		a.rest.drop()
		for _, out := range x.attempts {
			if out.streams {
				l.endAttempt(out, result{outcome: rules.Cancelled})
			}
		}
	default:
	}
}

// arrive gives a request an id of its own and hands it to the module.
func (l *Loop) arrive(x *exchange) {
	if l.over || l.deploy.MaxOpenRequests > 0 && len(l.live) >= l.deploy.MaxOpenRequests {
		x.reply <- answer{status: http.StatusServiceUnavailable} // nothing was sent for it
		return
	}
	// Danger: an id names one request. A second one under it, from whatever client, could be answered by
	// what a backend made for the first.
	_, twice := l.held[x.id]
	if !l.ids.add(x.id, x.ask.SentAt) || twice {
		x.reply <- answer{status: http.StatusConflict}
		return
	}
	x.ask.ID, x.open = l.NewRequestID(), true
	l.live[x.ask.ID], l.held[x.id] = x, struct{}{}
	if m := l.RollupCounts(); m != nil {
		m.Requests++
	}
	l.recordEvent(x, traces.Event{Kind: traces.Began})
	l.Handle(x.ask)
}

// list takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *Loop) list(told discovery.Listing, kind rules.ListKind) {
	ev := rules.Backends{Kind: kind}
	kept := map[rules.BackendID]bool{}
	for _, i := range told.Instances {
		b, err := i.Backend(l.deploy)
		if err != nil {
			log.Printf("discovery: %v", err)
		}
		if i.ID == "" {
			continue
		}
		if other, known := l.names[b.ID]; known && other.name != i.ID {
			log.Printf("discovery: instances %q and %q have one id; the second is left out", other.name, i.ID)
			continue
		}
		kept[b.ID] = true
		ev.Entries = append(ev.Entries, b)
		l.ever.add(i.ID)
		if b.State == rules.Ready {
			l.names[b.ID] = listed{i.ID, i.HostPort, i.Zone, b.StartedAt}
			if _, out := l.out[i.ID]; !out {
				l.pools.update(b.ID, i.HostPort, b.StartedAt)
			}
		} else {
			delete(l.names, b.ID)
			l.pools.remove(b.ID)
		}
	}
	if kind != rules.DeltaList {
		for id := range l.names {
			if !kept[id] {
				delete(l.names, id)
				l.pools.remove(id)
			}
		}
	}
	l.Handle(ev)
	if kind != rules.CachedList {
		if m := l.RollupCounts(); m != nil {
			m.Changes += len(ev.Entries)
		}
		l.onListed()
	}
}

// InFlight tells whether a request, or an attempt of it, is still out.
func (l *Loop) InFlight(id rules.RequestID) bool { return l.live[id] != nil }

// Refuse answers a request: trying again is harmless.
func (l *Loop) Refuse(a rules.Refuse) {
	l.answer(a.Request, answer{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter, why: a.Reason, paid: a.AdmittedAt})
}

// Fail answers a request that may have run.
func (l *Loop) Fail(a rules.Fail) { l.answer(a.Request, answer{status: http.StatusBadGateway}) }

// byHand passes on a call of an operator and waits for its end.
func (l *Loop) byHand(ctx context.Context, c handCall) error {
	c.l, c.done = l, make(chan error, 1)
	if !l.Post(c) {
		return errStopped
	}
	select {
	case err := <-c.done:
		return err
	case <-l.Stopped():
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Loop) takeByHand(c handCall) error {
	if _, out := l.out[c.id]; !out && !l.ever.has(c.id) {
		return errNeverListed
	}
	if !c.ask {
		l.setOut(c.id, c.out)
	}
	return nil
}

// setOut takes a backend out or puts it back. Its connections follow as at a
// change of the list: no dial that waits goes on, and what is out may be answered.
func (l *Loop) setOut(name string, out bool) {
	if _, was := l.out[name]; was == out {
		return
	}
	id := discovery.BackendID(name)
	at, ready := l.names[id]
	ready = ready && at.name == name
	if out {
		l.out[name] = struct{}{}
		if ready {
			l.pools.remove(id)
		}
		l.Handle(rules.Detach{Backend: id})
		return
	}
	delete(l.out, name)
	if ready {
		l.pools.update(id, at.address, at.born)
	}
	l.Handle(rules.Attach{Backend: id})
}

// Send starts an attempt. What is over or was tried too often gets none.
func (l *Loop) Send(s rules.Send) {
	x := l.live[s.Request]
	if x == nil {
		log.Printf("request %d is not known", s.Request)
		return
	}
	now := l.Clock.Now()
	a := &attempt{x: x, loop: l, number: len(x.attempts), backend: s.Backend, sent: now, deadline: x.ask.Deadline}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.until, a.latest = l.Clock.At(a.deadline), l.latest(x)
	x.attempts = append(x.attempts, a)
	x.out++
	l.recordAttempt(a, s.AdmittedAt)
	if !x.open || a.number >= max(l.deploy.MaxAttempts, 1) || a.deadline <= now {
		l.endAttempt(a, result{outcome: rules.NotSent})
		return
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.passed = func(o rules.Outcome) { l.Post(attemptDone{l, a, result{outcome: o}}) }
	if x.upload != nil {
		a.whole = func() { l.Post(bodyWhole{l, a}) }
	}
	l.ScheduleTimeout(a.deadline, a)
	l.attempts.Go(func() { // ends by a.until, or when the attempt is called off
		res := l.pools.attempt(a)
		a.cancel()
		res.told = readLoad(res.load, l.deploy.LoadFields) // here, where it holds up no other request
		l.Post(attemptDone{l, a, res})
	})
}

// latest is when a repeat must have gone out, if an attempt before may have run; the
// zero time: whenever. Danger: the module looks at the window when it decides, and a
// connection that comes up late would bring the repeat to a backend that has forgotten.
func (l *Loop) latest(x *exchange) time.Time {
	class := &l.deploy.Classes[x.ask.Class]
	for _, a := range x.attempts { // in the order they were sent
		if class.Idempotency == rules.IdempotentByKey && !a.neverRan {
			return l.Clock.At(a.sent + class.DedupeWindow - 2*l.deploy.Tick)
		}
	}
	return time.Time{}
}

// bodyWhole starts the client's time where its body has gone on whole.
func (l *Loop) bodyWhole(a *attempt) {
	x := a.x
	if a.ended || !x.open {
		return
	}
	x.ask.Deadline = l.Clock.Now() + x.left
	a.deadline = x.ask.Deadline
	l.ScheduleTimeout(a.deadline, a)
	l.Handle(rules.BodyComplete{Request: x.ask.ID, Deadline: x.ask.Deadline})
}

// begin gives a client an answer that passes through: it is final from its first
// byte, and the attempt is out until its last.
func (l *Loop) begin(a *attempt, res result) {
	x := a.x
	if a.ended || !x.open {
		res.rest.drop()
		l.endAttempt(a, result{outcome: rules.Cancelled})
		return
	}
	a.streams = true
	header := passedOn(res.header)
	header.Del(loadHeader)
	l.answer(x.ask.ID, answer{status: http.StatusOK, header: header, rest: res.rest})
	l.Handle(rules.ResponseStarted{Request: x.ask.ID, Attempt: a.number, Backend: a.backend, Duration: l.Clock.Now() - a.sent})
}

// endAttempt takes an attempt's one end; what comes after it is dropped.
func (l *Loop) endAttempt(a *attempt, res result) {
	if res.left && !a.ended {
		l.leave(a.x) // the server will see it too, and say it again
	}
	if a.ended {
		return
	}
	a.ended, a.neverRan = true, rules.NeverRan(res.outcome)
	x := a.x
	x.out--
	l.recordEvent(x, traces.Event{Kind: traces.Ended, Attempt: a.number, Outcome: res.outcome})
	if res.outcome == rules.Served && x.open {
		header := passedOn(res.header)
		header.Del(loadHeader) // for gateways, not for clients
		l.answer(x.ask.ID, answer{status: http.StatusOK, header: header, body: res.body})
	}
	l.Handle(rules.AttemptEnd{Request: x.ask.ID, Attempt: a.number, Backend: a.backend, Outcome: res.outcome,
		Duration: l.Clock.Now() - a.sent, RequestDone: !x.open, LoadData: res.told})
	l.drop(x)
}

// Cancel ends an attempt.
func (l *Loop) Cancel(c rules.Cancel) {
	x := l.live[c.Request]
	if x == nil || c.Attempt >= len(x.attempts) || x.attempts[c.Attempt].ended || x.attempts[c.Attempt].streams {
		return
	}
	a := x.attempts[c.Attempt]
	a.callOff()
	outcome := rules.Cancelled
	if l.Clock.Now() >= a.deadline-sameMoment {
		outcome = rules.TimedOut // the module learns from it
	}
	l.endAttempt(a, result{outcome: outcome})
}

// answer gives a request its final answer, if it has none.
func (l *Loop) answer(id rules.RequestID, a answer) {
	x := l.live[id]
	if x == nil || !x.open {
		return
	}
	x.open = false
	l.recordEvent(x, answered(a))
	x.reply <- a // it has room for one, and one is all it gets
	x.withhold()
	l.drop(x)
}

// endAll answers all that is held: refused where the module finds that harmless, else
// failed. What passes through goes on until the process ends.
func (l *Loop) endAll() {
	l.over = true
	for id, x := range l.live {
		if !x.open {
			continue
		}
		l.Handle(rules.ExpireRequest(id))
		if x.open { // its body is still coming
			l.Handle(rules.ClientDisconnected{Request: id})
			l.Fail(rules.Fail{Request: id})
		}
	}
}

// drop forgets a request that has its answer and nothing out.
func (l *Loop) drop(x *exchange) {
	if !x.open && x.out == 0 {
		delete(l.live, x.ask.ID)
		delete(l.held, x.id)
	}
}

// Finished tells whether nobody waits for the attempt's time-out.
func (a *attempt) Finished() bool { return a.ended || a.streams }

// Expire ends an attempt whose time is over.
func (a *attempt) Expire() {
	if a.loop.Clock.Now() < a.deadline-sameMoment {
		return // its body has come whole since, and its time runs from there
	}
	a.callOff()
	a.loop.endAttempt(a, result{outcome: rules.TimedOut})
}

// listed is what discovery says of a ready backend.
type listed struct {
	name, address, zone string
	born                float64
}

// everListed remembers the ids of backends that discovery told of, the newest
// some thousands at least: where backends are replaced all day, ids are ever new.
type everListed struct{ now, last map[string]struct{} }

const everMost = 1 << 12 // ids of a generation; then the next begins

func (e *everListed) add(id string) {
	if _, there := e.now[id]; there {
		return
	}
	if e.now == nil || len(e.now) >= everMost {
		e.now, e.last = map[string]struct{}{}, e.now
	}
	e.now[id] = struct{}{}
}

func (e *everListed) has(id string) bool {
	_, now := e.now[id]
	_, last := e.last[id]
	return now || last
}

// recent remembers ids for a while: those of the present span and of the last.
type recent struct {
	span      float64 // seconds
	now, last map[string]struct{}
	since     float64
}

const recentMost = 1 << 13 // ids of a span; then the next begins

// add tells whether an id is new, and remembers it.
func (r *recent) add(id string, now float64) bool {
	if r.now == nil || now-r.since > r.span || len(r.now) >= recentMost {
		r.now, r.last, r.since = map[string]struct{}{}, r.now, now
	}
	if _, seen := r.now[id]; seen {
		return false
	}
	if _, seen := r.last[id]; seen {
		return false
	}
	r.now[id] = struct{}{}
	return true
}
