package gateway

import (
	"context"
	"log"
	"net/http"
	"sync"
	"time"

	"linnetbend/internal/wire"
	"linnetbend/rules"
)

const (
	inboxSize    = 1024
	answerMargin = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	sameMoment   = 0.001 // a cancel so close before an attempt's time-out is one
)

// What sockets tell the loop.
type (
	arrival     struct{ x *exchange }
	clientGone  struct{ x *exchange }
	attemptDone struct {
		a      *attempt
		result result
	}
	bodyWhole struct{ a *attempt } // a body that passes through has gone whole
	callDone  struct {
		k       *call
		outcome rules.Outcome
		total   float64
	}
	news struct {
		listing Listing
		kind    rules.ListKind
	}
	handCall struct { // an operator's
		id   string
		ask  bool // only whether the id was ever listed
		out  bool
		done chan error // has room for one
	}
	outByHand struct{ ids map[string]struct{} } // all that are, as noted
)

// Loop is the one owner of the decision module. All that happens comes to it
// in order; it runs the module's actions and waits for no socket.
type Loop struct {
	clock    clock
	deploy   *wire.Deployment
	gateway  *rules.Gateway
	pools    *pools
	counter  *counter
	onListed func()

	inbox    chan any
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that use sockets

	live    map[rules.RequestID]*exchange // until the last attempt has ended
	ids     recent                        // the clients' own, of requests taken lately
	nextID  rules.RequestID
	names   map[rules.BackendID]listed // the ready ones
	ever    everListed
	out     map[string]struct{} // backends out by hand; the module leaves them out
	calls   map[uint64][]*call  // by name, in order, until their replies are handed on
	timers  timerHeap
	actions []rules.Action
	pending []rules.Event // events that actions brought about
}

func newLoop(c *Config, p *pools, k *counter, onListed func()) *Loop {
	l := &Loop{clock: newClock(), deploy: &c.Deployment, pools: p, counter: k, onListed: onListed,
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		live: map[rules.RequestID]*exchange{}, names: map[rules.BackendID]listed{},
		out: map[string]struct{}{}, calls: map[uint64][]*call{}}
	l.gateway, l.actions = rules.New(c.Settings, c.Seed, l.clock.now(), nil)
	l.act(l.actions)
	return l
}

// post tells the loop something. It returns false once the loop has ended.
func (l *Loop) post(m any) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}

// hear passes on what discovery told.
func (l *Loop) hear(told Listing) {
	kind := rules.Delta
	if told.Reset {
		kind = rules.FullList
	}
	l.post(news{told, kind})
}

// run works until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.take(m)
		case <-timer.C:
		}
		now := l.clock.now()
		for len(l.timers) > 0 && (l.timers[0].at <= now || l.void(l.timers[0])) {
			if t := l.timers.next(); !l.void(t) {
				l.due(t)
			}
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.at(l.timers[0].at)))
		}
	}
}

func (l *Loop) take(m any) {
	switch m := m.(type) {
	case arrival:
		l.arrive(m.x)
	case clientGone:
		l.leave(m.x)
	case attemptDone:
		if m.result.rest != nil {
			l.begin(m.a, m.result)
		} else {
			l.endAttempt(m.a, m.result)
		}
	case bodyWhole:
		l.bodyWhole(m.a)
	case callDone:
		l.endCall(m.k, m.outcome, m.total)
	case news:
		l.list(m.listing, m.kind)
	case handCall:
		m.done <- l.takeByHand(m)
	case outByHand:
		for id := range l.out {
			if _, still := m.ids[id]; !still {
				l.setOut(id, false)
			}
		}
		for id := range m.ids {
			l.setOut(id, true)
		}
	}
}

// leave takes a client's leaving. Danger: an answer may just have been given that
// passes through, and nobody would end it.
func (l *Loop) leave(x *exchange) {
	if x.open {
		x.open = false
		l.handle(rules.ClientGone{Request: x.ask.ID})
		l.drop(x)
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

// handle gives the module an event, and then what its actions brought about.
func (l *Loop) handle(ev rules.Event) {
	l.pending = append(l.pending, ev)
	if len(l.pending) > 1 {
		return // an outer call is at it
	}
	for n := 0; n < len(l.pending); n++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.pending[n], l.actions[:0])
		l.act(l.actions)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
}

// arrive gives a request an id of its own and hands it to the module.
func (l *Loop) arrive(x *exchange) {
	if l.deploy.MaxOpen > 0 && len(l.live) >= l.deploy.MaxOpen {
		x.reply <- answer{status: http.StatusServiceUnavailable} // nothing was sent for it
		return
	}
	// Danger: an id names one request. A second one under it, from whatever client, could be answered by
	// what a backend made for the first.
	if !l.ids.add(x.id, x.ask.Sent) {
		x.reply <- answer{status: http.StatusConflict}
		return
	}
	for taken := true; taken; _, taken = l.live[l.nextID] {
		l.nextID = max(l.nextID+1, 1) // 0 stands for no request
	}
	x.ask.ID, x.open = l.nextID, true
	l.live[x.ask.ID] = x
	l.handle(x.ask)
}

// list takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *Loop) list(told Listing, kind rules.ListKind) {
	ev := rules.Backends{Kind: kind}
	kept := map[rules.BackendID]bool{}
	for _, i := range told.Instances {
		b, err := i.backend(l.deploy)
		if err != nil {
			log.Printf("discovery: %v", err)
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
			l.names[b.ID] = listed{i.ID, i.HostPort, b.Born}
			if _, out := l.out[i.ID]; !out {
				l.pools.update(b.ID, i.HostPort, b.Born)
			}
		} else {
			delete(l.names, b.ID)
			l.pools.remove(b.ID)
		}
	}
	if kind != rules.Delta {
		for id := range l.names {
			if !kept[id] {
				delete(l.names, id)
				l.pools.remove(id)
			}
		}
	}
	l.handle(ev)
	if kind != rules.CachedList {
		l.onListed()
	}
}

func (l *Loop) act(actions []rules.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rules.Send:
			l.send(a)
		case rules.Cancel:
			l.cancel(a)
		case rules.Refuse:
			l.answer(a.Request, answer{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter})
		case rules.Fail:
			l.answer(a.Request, answer{status: http.StatusBadGateway})
		case rules.SetTimer:
			l.timers.add(timerEntry{at: l.clock.now() + max(a.In, 0), token: a.Token, request: a.Request})
		case rules.Count:
			l.count(a)
		case rules.Log:
			log.Print(a.Text)
		case rules.Subscribe: // the watch always runs
		}
	}
}

// byHand passes on a call of an operator and waits for its end.
func (l *Loop) byHand(ctx context.Context, c handCall) error {
	c.done = make(chan error, 1)
	if !l.post(c) {
		return errStopped
	}
	select {
	case err := <-c.done:
		return err
	case <-l.stopped:
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
	id := backendID(name)
	at, ready := l.names[id]
	ready = ready && at.name == name
	if out {
		l.out[name] = struct{}{}
		if ready {
			l.pools.remove(id)
		}
		l.handle(rules.Detach{Backend: id})
		return
	}
	delete(l.out, name)
	if ready {
		l.pools.update(id, at.address, at.born)
	}
	l.handle(rules.Attach{Backend: id})
}

// send starts an attempt. What is over or was tried too often gets none.
func (l *Loop) send(s rules.Send) {
	x := l.live[s.Request]
	if x == nil {
		log.Printf("request %d is not known", s.Request)
		return
	}
	now := l.clock.now()
	a := &attempt{x: x, number: len(x.attempts), backend: s.Backend, sent: now, deadline: x.ask.Deadline}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.until = l.clock.at(a.deadline)
	x.attempts = append(x.attempts, a)
	x.out++
	if !x.open || a.number >= max(l.deploy.MaxAttempts, 1) || a.deadline <= now {
		l.endAttempt(a, result{outcome: rules.Moot})
		return
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.passed = func(o rules.Outcome) { l.post(attemptDone{a, result{outcome: o}}) }
	if x.upload != nil {
		a.whole = func() { l.post(bodyWhole{a}) }
	}
	l.timers.add(timerEntry{at: a.deadline, attempt: a})
	l.attempts.Go(func() { // ends by a.until, or when the attempt is called off
		res := l.pools.attempt(a)
		a.cancel()
		l.post(attemptDone{a, res})
	})
}

// bodyWhole starts the client's time where its body has gone on whole.
func (l *Loop) bodyWhole(a *attempt) {
	x := a.x
	if a.ended || !x.open {
		return
	}
	x.ask.Deadline = l.clock.now() + x.left
	a.deadline = x.ask.Deadline
	l.timers.add(timerEntry{at: a.deadline, attempt: a})
	l.handle(rules.BodyWhole{Request: x.ask.ID, Deadline: x.ask.Deadline})
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
	l.handle(rules.Established{Request: x.ask.ID, Attempt: a.number, Backend: a.backend, Took: l.clock.now() - a.sent})
}

// endAttempt takes an attempt's one end; what comes after it is dropped.
func (l *Loop) endAttempt(a *attempt, res result) {
	if a.ended {
		return
	}
	a.ended = true
	x := a.x
	x.out--
	if res.outcome == rules.Served && x.open {
		header := passedOn(res.header)
		header.Del(loadHeader) // for gateways, not for clients
		l.answer(x.ask.ID, answer{status: http.StatusOK, header: header, body: res.body})
	}
	l.handle(rules.AttemptEnd{Request: x.ask.ID, Attempt: a.number, Backend: a.backend, Outcome: res.outcome,
		Took: l.clock.now() - a.sent, Done: !x.open})
	l.drop(x)
}

func (l *Loop) cancel(c rules.Cancel) {
	x := l.live[c.Request]
	if x == nil || c.Attempt >= len(x.attempts) || x.attempts[c.Attempt].ended || x.attempts[c.Attempt].streams {
		return
	}
	a := x.attempts[c.Attempt]
	a.callOff()
	outcome := rules.Cancelled
	if l.clock.now() >= a.deadline-sameMoment {
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
	x.reply <- a // it has room for one, and one is all it gets
	l.drop(x)
}

// drop forgets a request that has its answer and nothing out.
func (l *Loop) drop(x *exchange) {
	if !x.open && x.out == 0 {
		delete(l.live, x.ask.ID)
	}
}

func (l *Loop) count(c rules.Count) {
	k := &call{id: c.Call, name: c.Name, amount: c.Amount, sent: l.clock.now(),
		keep: min(max(time.Duration(c.Keep*float64(time.Second)), leastKeep), mostKeep)}
	k.report = func(k *call, o rules.Outcome, total float64) { l.post(callDone{k, o, total}) }
	l.calls[k.name] = append(l.calls[k.name], k)
	if l.counter == nil || !l.counter.add(k) {
		l.endCall(k, rules.Full, 0)
		return
	}
	l.timers.add(timerEntry{at: k.sent + l.deploy.CounterTimeout, call: k})
}

// endCall takes a call's one end. Danger: the module takes the replies for one
// name in the order of the calls, but a call that is turned away here, or goes
// out on a new connection, may end before an earlier one; it waits for that. What
// becomes of a call that was given up is told all the same.
func (l *Loop) endCall(k *call, o rules.Outcome, total float64) {
	if k.ended {
		if k.outcome == rules.TimedOut {
			l.handle(rules.CounterLate{Call: k.id, Outcome: o, Total: total})
		}
		return
	}
	k.ended, k.outcome, k.total = true, o, total
	for out := l.calls[k.name]; len(out) > 0 && out[0].ended; out = l.calls[k.name] {
		k := out[0]
		if l.calls[k.name] = out[1:]; len(out) == 1 {
			delete(l.calls, k.name)
		}
		l.handle(rules.CounterReply{Name: k.name, Outcome: k.outcome, Total: k.total, Took: l.clock.now() - k.sent})
	}
}

// giveUp ends a call whose time is over. An answer that has begun, and may never
// end, says as much as one that can't be read: the amount was added. Danger: told
// as silence, it would pass for a crowd, and what it added would be lost. A refusal
// cut to pieces on its way passes for added too; what is taken back then is one call's.
func (l *Loop) giveUp(k *call) {
	k.givenUp.Store(true)
	outcome := rules.TimedOut
	if k.begun.Load() {
		outcome = rules.Errored
	}
	l.endCall(k, outcome, 0)
}

// void tells whether nobody waits for a timer any more. Such timers are most of
// all, and the process is not woken for them.
func (l *Loop) void(t timerEntry) bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended || t.attempt.streams
	case t.call != nil:
		return t.call.ended
	case t.request != 0:
		return l.live[t.request] == nil
	}
	return false
}

func (l *Loop) due(t timerEntry) {
	switch {
	case t.attempt != nil:
		if l.clock.now() < t.attempt.deadline-sameMoment {
			return // its body has come whole since, and its time runs from there
		}
		t.attempt.callOff()
		l.endAttempt(t.attempt, result{outcome: rules.TimedOut})
	case t.call != nil:
		l.giveUp(t.call)
	default:
		l.handle(rules.Timer{Token: t.token})
	}
}

// timerEntry is a timer of the module's, or the time-out of an attempt or call.
type timerEntry struct {
	at      float64
	token   uint64
	request rules.RequestID // 0: the timer belongs to none
	attempt *attempt
	call    *call
}

// timerHeap has the earliest timer first. It is container/heap's algorithm
// without its interface: that took two allocations a timer, and a request has
// several.
type timerHeap []timerEntry

func (h *timerHeap) add(t timerEntry) {
	*h = append(*h, t)
	list := *h
	for i := len(list) - 1; i > 0; {
		up := (i - 1) / 2
		if list[up].at <= list[i].at {
			return
		}
		list[up], list[i] = list[i], list[up]
		i = up
	}
}

// next takes the earliest timer off. There must be one.
func (h *timerHeap) next() timerEntry {
	list := *h
	first, last := list[0], len(list)-1
	list[0], list[last] = list[last], timerEntry{}
	list = list[:last]
	*h = list
	for i := 0; ; {
		least := 2*i + 1
		if least >= last {
			return first
		}
		if right := least + 1; right < last && list[right].at < list[least].at {
			least = right
		}
		if list[i].at <= list[least].at {
			return first
		}
		list[i], list[least] = list[least], list[i]
		i = least
	}
}

// listed is what discovery says of a ready backend.
type listed struct {
	name, address string
	born          float64
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
	now, last map[string]struct{}
	since     float64
}

const (
	recentSpan = 4.0     // seconds; longer than a request stays open
	recentMost = 1 << 13 // ids of a span; then the next begins
)

// add tells whether an id is new, and remembers it.
func (r *recent) add(id string, now float64) bool {
	if r.now == nil || now-r.since > recentSpan || len(r.now) >= recentMost {
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
