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
	responseMargin   = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	timeoutTolerance = 0.001 // a cancel so close before an attempt's time-out is one
)

// What sockets and operators tell the loop.
type (
	requestArrived struct {
		loop     *Loop
		exchange *exchange
	}
	clientDisconnected struct {
		loop     *Loop
		exchange *exchange
	}
	attemptEnded struct {
		loop    *Loop
		attempt *attempt
		result  result
	}
	requestSent struct { // a body that passes through has gone whole
		loop    *Loop
		attempt *attempt
	}
	listUpdate struct {
		loop    *Loop
		listing discovery.Listing
		kind    rules.ListKind
	}
	detachCommand struct { // an operator's
		loop      *Loop
		id        string
		checkOnly bool // only whether the id was ever listed
		detach    bool
		done      chan error // has room for one
	}
	fleetUpdate struct { // by how many gateways
		loop *Loop
		rules.FleetUpdate
	}
	detachedUpdate struct { // all that are, as noted
		loop *Loop
		ids  map[string]struct{}
	}
	processEnding struct{ loop *Loop } // the process will be killed soon
)

// Take accepts a request that a client has sent.
func (m requestArrived) Process() { m.loop.accept(m.exchange) }

// Take cancels the requests of a client that has disconnected.
func (m clientDisconnected) Process() { m.loop.disconnect(m.exchange) }

// Take records that the body of an attempt's request has been sent completely.
func (m requestSent) Process() { m.loop.onRequestSent(m.attempt) }

// Take applies an endpoint list.
func (m listUpdate) Process() { m.loop.applyListing(m.listing, m.kind) }

// Take passes the number of gateways on to the module.
func (m fleetUpdate) Process() { m.loop.Handle(m.FleetUpdate) }

// Take answers every open request, since the process ends soon.
func (m processEnding) Process() { m.loop.respondToAll() }

// Take carries out an operator's call and sends its result to the caller.
func (m detachCommand) Process() { m.done <- m.loop.runDetachCommand(m) }

// Take records the end of an attempt, or the beginning of a streamed response.
func (m attemptEnded) Process() {
	if m.result.stream != nil {
		m.loop.beginStream(m.attempt, m.result)
	} else {
		m.loop.endAttempt(m.attempt, m.result)
	}
}

// Take replaces the set of backends that operators have taken out of service.
func (m detachedUpdate) Process() {
	for id := range m.loop.detached {
		if _, still := m.ids[id]; !still {
			m.loop.setDetached(id, false)
		}
	}
	for id := range m.ids {
		m.loop.setDetached(id, true)
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

	telemetry   *telemetry.Telemetry // nil: nothing is exported
	sampleRatio float64              // of requests that are traced

	attempts sync.WaitGroup // those that use sockets

	exchanges      map[rules.RequestID]*exchange    // until the last attempt has ended
	openIDs        map[string]struct{}              // the clients' own ids of those
	recentIDs      recentIDs                        // and of requests taken lately
	terminating    bool                             // what comes is turned away: the process ends
	readyBackends  map[rules.BackendID]readyBackend // the ready ones
	backendHistory backendHistory
	detached       map[string]struct{} // backends out by hand; the module leaves them out
}

func newLoop(conf *config.Config, pools *pools, counter owner.Counter, onListed func()) *Loop {
	l := &Loop{EventLoop: owner.New(conf.Settings, conf.Seed, counter), deploy: &conf.Deployment, pools: pools, onListed: onListed,
		exchanges: map[rules.RequestID]*exchange{}, openIDs: map[string]struct{}{}, readyBackends: map[rules.BackendID]readyBackend{}, detached: map[string]struct{}{}}
	l.recentIDs.span = longestDeadline(conf).Seconds() + conf.AnswerSlack
	l.Start(l)
	return l
}

// hear passes on what discovery told.
func (l *Loop) onListing(listing discovery.Listing) {
	kind := rules.DeltaList
	if listing.Reset {
		kind = rules.FullList
	}
	l.Post(listUpdate{l, listing, kind})
}

// divide passes on how many gateways there are.
func (l *Loop) setFleet(divisor, coldSenders int) {
	l.Post(fleetUpdate{l, rules.FleetUpdate{QuotaDivisor: divisor, ColdSenders: coldSenders}})
}

// leave takes a client's leaving. Danger: an answer may just have been given that
// passes through, and nobody would end it.
func (l *Loop) disconnect(ex *exchange) {
	if ex.open {
		ex.open = false
		l.recordEvent(ex, traces.Event{Kind: traces.ClientLeft})
		l.Handle(rules.ClientDisconnected{Request: ex.request.ID})
		ex.abortUnsent()
		l.removeIfDone(ex)
		if ex.upload != nil {
			// Danger: the server watches for a client's end only behind a whole body, so the handler of
			// one that is not read to its end would wait for good, and keep the connection.
			ex.reply <- response{status: http.StatusBadRequest}
		}
		return
	}
	select {
	case response := <-ex.reply:
		if response.stream == nil {
			return
		}
		response.stream.onDrop()
		for _, attempt := range ex.attempts {
			if attempt.streaming {
				l.endAttempt(attempt, result{outcome: rules.Cancelled})
			}
		}
	default:
	}
}

// arrive gives a request an id of its own and hands it to the module.
func (l *Loop) accept(ex *exchange) {
	if l.terminating || l.deploy.MaxOpenRequests > 0 && len(l.exchanges) >= l.deploy.MaxOpenRequests {
		ex.reply <- response{status: http.StatusServiceUnavailable} // nothing was sent for it
		return
	}
	// Danger: an id names one request. A second one under it, from whatever client, could be answered by
	// what a backend made for the first.
	_, open := l.openIDs[ex.correlationID]
	if !l.recentIDs.add(ex.correlationID, ex.request.SentAt) || open {
		ex.reply <- response{status: http.StatusConflict}
		return
	}
	ex.request.ID, ex.open = l.NewRequestID(), true
	l.exchanges[ex.request.ID], l.openIDs[ex.correlationID] = ex, struct{}{}
	if counts := l.RollupCounts(); counts != nil {
		counts.Requests++
	}
	l.recordEvent(ex, traces.Event{Kind: traces.Began})
	l.Handle(ex.request)
}

// list takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *Loop) applyListing(listing discovery.Listing, kind rules.ListKind) {
	event := rules.Backends{Kind: kind}
	present := map[rules.BackendID]bool{}
	for _, instance := range listing.Instances {
		backend, err := instance.Backend(l.deploy)
		if err != nil {
			log.Printf("discovery: %v", err)
		}
		if instance.ID == "" {
			continue
		}
		if other, known := l.readyBackends[backend.ID]; known && other.name != instance.ID {
			log.Printf("discovery: instances %q and %q have one id; the second is left out", other.name, instance.ID)
			continue
		}
		present[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		l.backendHistory.add(instance.ID)
		if backend.State == rules.Ready {
			l.readyBackends[backend.ID] = readyBackend{instance.ID, instance.HostPort, instance.Zone, backend.StartedAt}
			if _, detached := l.detached[instance.ID]; !detached {
				l.pools.update(backend.ID, instance.HostPort, backend.StartedAt)
			}
		} else {
			delete(l.readyBackends, backend.ID)
			l.pools.remove(backend.ID)
		}
	}
	if kind != rules.DeltaList {
		for id := range l.readyBackends {
			if !present[id] {
				delete(l.readyBackends, id)
				l.pools.remove(id)
			}
		}
	}
	l.Handle(event)
	if kind != rules.CachedList {
		if counts := l.RollupCounts(); counts != nil {
			counts.Changes += len(event.Entries)
		}
		l.onListed()
	}
}

// Live tells whether a request, or an attempt of it, is still out.
func (l *Loop) InFlight(id rules.RequestID) bool { return l.exchanges[id] != nil }

// Refuse answers a request: trying again is harmless.
func (l *Loop) Refuse(a rules.Refuse) {
	l.respond(a.Request, response{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter, reason: a.Reason, admittedAt: a.AdmittedAt})
}

// Fail answers a request that may have run.
func (l *Loop) Fail(a rules.Fail) { l.respond(a.Request, response{status: http.StatusBadGateway}) }

// byHand passes on a call of an operator and waits for its end.
func (l *Loop) sendDetachCommand(ctx context.Context, command detachCommand) error {
	command.loop, command.done = l, make(chan error, 1)
	if !l.Post(command) {
		return errStopped
	}
	select {
	case err := <-command.done:
		return err
	case <-l.Stopped():
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Loop) runDetachCommand(command detachCommand) error {
	if _, detached := l.detached[command.id]; !detached && !l.backendHistory.has(command.id) {
		return errNeverListed
	}
	if !command.checkOnly {
		l.setDetached(command.id, command.detach)
	}
	return nil
}

// setOut takes a backend out or puts it back. Its connections follow as at a
// change of the list: no dial that waits goes on, and what is out may be answered.
func (l *Loop) setDetached(name string, detached bool) {
	if _, already := l.detached[name]; already == detached {
		return
	}
	id := discovery.BackendID(name)
	backend, ready := l.readyBackends[id]
	ready = ready && backend.name == name
	if detached {
		l.detached[name] = struct{}{}
		if ready {
			l.pools.remove(id)
		}
		l.Handle(rules.Detach{Backend: id})
		return
	}
	delete(l.detached, name)
	if ready {
		l.pools.update(id, backend.address, backend.startedAt)
	}
	l.Handle(rules.Attach{Backend: id})
}

// Send starts an attempt. What is over or was tried too often gets none.
func (l *Loop) Send(send rules.Send) {
	ex := l.exchanges[send.Request]
	if ex == nil {
		log.Printf("request %d is not known", send.Request)
		return
	}
	now := l.Clock.Now()
	attempt := &attempt{exchange: ex, loop: l, number: len(ex.attempts), backend: send.Backend, sentAt: now, deadline: ex.request.Deadline}
	if send.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+send.Timeout)
	}
	attempt.socketDeadline, attempt.writeDeadline = l.Clock.At(attempt.deadline), l.retryWriteDeadline(ex)
	ex.attempts = append(ex.attempts, attempt)
	ex.activeAttempts++
	l.recordAttempt(attempt, send.AdmittedAt)
	if !ex.open || attempt.number >= max(l.deploy.MaxAttempts, 1) || attempt.deadline <= now {
		l.endAttempt(attempt, result{outcome: rules.NotSent})
		return
	}
	attempt.ctx, attempt.cancel = context.WithCancel(context.Background())
	attempt.onStreamEnd = func(o rules.Outcome) { l.Post(attemptEnded{l, attempt, result{outcome: o}}) }
	if ex.upload != nil {
		attempt.onSent = func() { l.Post(requestSent{l, attempt}) }
	}
	l.ScheduleTimeout(attempt.deadline, attempt)
	l.attempts.Go(func() { // ends by a.until, or when the attempt is called off
		result := l.pools.send(attempt)
		attempt.cancel()
		result.load = parseLoadReport(result.loadText, l.deploy.LoadFields) // here, where it holds up no other request
		l.Post(attemptEnded{l, attempt, result})
	})
}

// latest is when a repeat must have gone out, if an attempt before may have run; the
// zero time: whenever. Danger: the module looks at the window when it decides, and a
// connection that comes up late would bring the repeat to a backend that has forgotten.
func (l *Loop) retryWriteDeadline(ex *exchange) time.Time {
	class := &l.deploy.Classes[ex.request.Class]
	for _, a := range ex.attempts { // in the order they were sent
		if class.Idempotency == rules.IdempotentByKey && !a.neverRan {
			return l.Clock.At(a.sentAt + class.DedupeWindow - 2*l.deploy.Tick)
		}
	}
	return time.Time{}
}

// bodyWhole starts the client's time where its body has gone on whole.
func (l *Loop) onRequestSent(attempt *attempt) {
	ex := attempt.exchange
	if attempt.ended || !ex.open {
		return
	}
	ex.request.Deadline = l.Clock.Now() + ex.timeLeft
	attempt.deadline = ex.request.Deadline
	l.ScheduleTimeout(attempt.deadline, attempt)
	l.Handle(rules.BodyComplete{Request: ex.request.ID, Deadline: ex.request.Deadline})
}

// begin gives a client an answer that passes through: it is final from its first
// byte, and the attempt is out until its last.
func (l *Loop) beginStream(attempt *attempt, res result) {
	ex := attempt.exchange
	if attempt.ended || !ex.open {
		res.stream.onDrop()
		l.endAttempt(attempt, result{outcome: rules.Cancelled})
		return
	}
	attempt.streaming = true
	header := endToEndHeaders(res.header)
	header.Del(loadHeader)
	l.respond(ex.request.ID, response{status: http.StatusOK, header: header, stream: res.stream})
	l.Handle(rules.ResponseStarted{Request: ex.request.ID, Attempt: attempt.number, Backend: attempt.backend, Duration: l.Clock.Now() - attempt.sentAt})
}

// endAttempt takes an attempt's one end; what comes after it is dropped.
func (l *Loop) endAttempt(attempt *attempt, result result) {
	if result.clientDisconnected && !attempt.ended {
		l.disconnect(attempt.exchange) // the server will see it too, and say it again
	}
	if attempt.ended {
		return
	}
	attempt.ended, attempt.neverRan = true, rules.NeverRan(result.outcome)
	ex := attempt.exchange
	ex.activeAttempts--
	l.recordEvent(ex, traces.Event{Kind: traces.Ended, Attempt: attempt.number, Outcome: result.outcome})
	if result.outcome == rules.Served && ex.open {
		header := endToEndHeaders(result.header)
		header.Del(loadHeader) // for gateways, not for clients
		l.respond(ex.request.ID, response{status: http.StatusOK, header: header, body: result.body})
	}
	l.Handle(rules.AttemptEnd{Request: ex.request.ID, Attempt: attempt.number, Backend: attempt.backend, Outcome: result.outcome,
		Duration: l.Clock.Now() - attempt.sentAt, RequestDone: !ex.open, LoadData: result.load})
	l.removeIfDone(ex)
}

// Cancel ends an attempt.
func (l *Loop) Cancel(cancel rules.Cancel) {
	ex := l.exchanges[cancel.Request]
	if ex == nil || cancel.Attempt >= len(ex.attempts) || ex.attempts[cancel.Attempt].ended || ex.attempts[cancel.Attempt].streaming {
		return
	}
	attempt := ex.attempts[cancel.Attempt]
	attempt.abort()
	outcome := rules.Cancelled
	if l.Clock.Now() >= attempt.deadline-timeoutTolerance {
		outcome = rules.TimedOut // the module learns from it
	}
	l.endAttempt(attempt, result{outcome: outcome})
}

// answer gives a request its final answer, if it has none.
func (l *Loop) respond(id rules.RequestID, response response) {
	ex := l.exchanges[id]
	if ex == nil || !ex.open {
		return
	}
	ex.open = false
	l.recordEvent(ex, responseEvent(response))
	ex.reply <- response // it has room for one, and one is all it gets
	ex.abortUnsent()
	l.removeIfDone(ex)
}

// endAll answers all that is held: refused where the module finds that harmless, else
// failed. What passes through goes on until the process ends.
func (l *Loop) respondToAll() {
	l.terminating = true
	for id, ex := range l.exchanges {
		if !ex.open {
			continue
		}
		l.Handle(rules.ExpireRequest(id))
		if ex.open { // its body is still coming
			l.Handle(rules.ClientDisconnected{Request: id})
			l.Fail(rules.Fail{Request: id})
		}
	}
}

// drop forgets a request that has its answer and nothing out.
func (l *Loop) removeIfDone(ex *exchange) {
	if !ex.open && ex.activeAttempts == 0 {
		delete(l.exchanges, ex.request.ID)
		delete(l.openIDs, ex.correlationID)
	}
}

// Finished tells whether nobody waits for the attempt's time-out.
func (a *attempt) Finished() bool { return a.ended || a.streaming }

// Expire ends an attempt whose time is over.
func (a *attempt) Expire() {
	if a.loop.Clock.Now() < a.deadline-timeoutTolerance {
		return // its body has come whole since, and its time runs from there
	}
	a.abort()
	a.loop.endAttempt(a, result{outcome: rules.TimedOut})
}

// listed is what discovery says of a ready backend.
type readyBackend struct {
	name, address, zone string
	startedAt           float64
}

// everListed remembers the ids of backends that discovery told of, the newest
// some thousands at least: where backends are replaced all day, ids are ever new.
type backendHistory struct{ current, previous map[string]struct{} }

const backendsPerGeneration = 1 << 12 // ids of a generation; then the next begins

func (h *backendHistory) add(id string) {
	if _, listed := h.current[id]; listed {
		return
	}
	if h.current == nil || len(h.current) >= backendsPerGeneration {
		h.current, h.previous = map[string]struct{}{}, h.current
	}
	h.current[id] = struct{}{}
}

func (h *backendHistory) has(id string) bool {
	_, now := h.current[id]
	_, last := h.previous[id]
	return now || last
}

// recent remembers ids for a while: those of the present span and of the last.
type recentIDs struct {
	span              float64 // seconds
	current, previous map[string]struct{}
	startedAt         float64
}

const idsPerSpan = 1 << 13 // ids of a span; then the next begins

// add tells whether an id is new, and remembers it.
func (r *recentIDs) add(id string, now float64) bool {
	if r.current == nil || now-r.startedAt > r.span || len(r.current) >= idsPerSpan {
		r.current, r.previous, r.startedAt = map[string]struct{}{}, r.current, now
	}
	if _, seen := r.current[id]; seen {
		return false
	}
	if _, seen := r.previous[id]; seen {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
