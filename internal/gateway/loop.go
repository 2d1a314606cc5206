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
	responseMargin   = 0.005 // seconds of a deadline reserved for the loop, the write and the way to the client
	timeoutTolerance = 0.001 // seconds: an attempt cancelled this close to its deadline counts as timed out
)

// Messages from connections and from operators to the loop.
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
	requestSent struct { // the streamed body of a request has been written completely
		loop    *Loop
		attempt *attempt
	}
	responsePending struct { // the start of a response of unknown length has come
		loop    *Loop
		attempt *attempt
		body    *pendingBody
	}
	listUpdate struct {
		loop    *Loop
		listing discovery.Listing
		kind    rules.ListKind
	}
	detachCommand struct { // from an operator
		loop      *Loop
		id        string
		checkOnly bool // reports whether the backend was ever listed and changes nothing
		detach    bool
		done      chan error // buffered: the loop must not block on the caller
	}
	fleetUpdate struct { // the number of gateways that share quotas and cold backends
		loop *Loop
		rules.FleetUpdate
	}
	detachedUpdate struct { // all backends that are recorded as detached
		loop *Loop
		ids  map[string]struct{}
	}
	processEnding struct{ loop *Loop } // the platform will kill the process soon
)

// Process accepts a client's request.
func (m requestArrived) Process() { m.loop.accept(m.exchange) }

// Process cancels the request of a client that has disconnected.
func (m clientDisconnected) Process() { m.loop.disconnect(m.exchange) }

// Process records that the streamed body of a request has been written completely.
func (m requestSent) Process() { m.loop.onRequestSent(m.attempt) }

// Process records that a backend is giving an answer.
func (m responsePending) Process() { m.loop.onResponsePending(m.attempt, m.body) }

// Process applies an endpoint list.
func (m listUpdate) Process() { m.loop.applyListing(m.listing, m.kind) }

// Process passes the number of gateways to the decision module.
func (m fleetUpdate) Process() { m.loop.Handle(m.FleetUpdate) }

// Process responds to every open request, since the process is about to end.
func (m processEnding) Process() { m.loop.respondToAll() }

// Process runs an operator's command and sends its result to the caller.
func (m detachCommand) Process() { m.done <- m.loop.runDetachCommand(m) }

// Process records the end of an attempt, or the start of a streamed response.
func (m attemptEnded) Process() {
	if m.result.stream != nil {
		m.loop.beginStream(m.attempt, m.result)
	} else {
		m.loop.endAttempt(m.attempt, m.result)
	}
}

// Process replaces the set of backends that operators have detached.
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

// Loop handles requests in the goroutine of the module's owner: it gives each request exactly one
// response, starts and ends attempts, and passes backend lists to the decision module.
// All of its methods run in that goroutine.
type Loop struct {
	*owner.EventLoop
	deploy   *wire.Deployment
	pools    *pools
	onListed func()

	telemetry   *telemetry.Exporter // nil: traces and metrics are not exported
	sampleRatio float64             // fraction of requests that are traced

	attempts sync.WaitGroup // attempts that use connections

	exchanges      map[rules.RequestID]*exchange // requests that are open or have an attempt in flight
	openIDs        map[string]struct{}           // correlation IDs of those requests
	recentIDs      recentIDs                     // and of requests accepted recently
	sharedIDs      *sharedIDs                    // and by the other process of an upgrade; nil: there is none
	terminating    bool                          // the process is ending: new requests are rejected
	readyBackends  map[rules.BackendID]readyBackend
	addresses      map[string]rules.BackendID // of the ready backends; of two at one address the one that started last
	backendHistory backendHistory
	detached       map[string]struct{} // backends detached by operators; the decision module leaves them out
}

func newLoop(conf *config.Config, pools *pools, counter owner.Counter, onListed func()) *Loop {
	l := &Loop{EventLoop: owner.New(conf.Settings, conf.Seed, counter), deploy: &conf.Deployment, pools: pools, onListed: onListed,
		exchanges: map[rules.RequestID]*exchange{}, openIDs: map[string]struct{}{}, readyBackends: map[rules.BackendID]readyBackend{}, addresses: map[string]rules.BackendID{}, detached: map[string]struct{}{}}
	l.recentIDs.span = longestDeadline(conf).Seconds() + conf.AnswerSlack
	l.Start(l)
	return l
}

// onListing posts an endpoint list from discovery to the loop.
func (l *Loop) onListing(listing discovery.Listing) {
	kind := rules.DeltaList
	if listing.Reset {
		kind = rules.FullList
	}
	l.Post(listUpdate{l, listing, kind})
}

// setFleet posts the number of gateways to the loop.
func (l *Loop) setFleet(quotaDivisor, coldSenders int) {
	l.Post(fleetUpdate{l, rules.FleetUpdate{QuotaDivisor: quotaDivisor, ColdSenders: coldSenders}})
}

// disconnect handles a client's disconnect. A streamed response may just have been handed to the
// handler, which will not read it any more: its attempt must be ended here, as nothing else would end it.
func (l *Loop) disconnect(ex *exchange) {
	if ex.open {
		ex.open = false
		l.recordEvent(ex, traces.Event{Kind: traces.ClientDisconnected})
		l.Handle(rules.ClientDisconnected{Request: ex.request.ID})
		ex.abortUnsent()
		l.removeIfDone(ex)
		if ex.upload != nil {
			// The server notices a disconnect only once the body has been read to its end. A handler
			// whose body has not been read that far would wait forever and keep the connection.
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

// accept assigns an internal ID to a request and passes it to the decision module.
func (l *Loop) accept(ex *exchange) {
	if l.terminating || l.deploy.MaxOpenRequests > 0 && len(l.exchanges) >= l.deploy.MaxOpenRequests {
		ex.reply <- response{status: http.StatusServiceUnavailable} // nothing was sent to a backend
		return
	}
	// A correlation ID must identify one request. A second request with the same ID, from any client, could
	// receive the response that a backend made for the first.
	_, open := l.openIDs[ex.correlationID]
	if !l.recentIDs.add(ex.correlationID, ex.request.SentAt) || open || !l.sharedIDs.add(ex.correlationID, time.Now()) {
		ex.reply <- response{status: http.StatusConflict}
		return
	}
	ex.request.ID, ex.open = l.NewRequestID(), true
	ex.singleRun = newSingleRun(&l.deploy.Classes[ex.request.Class])
	l.exchanges[ex.request.ID], l.openIDs[ex.correlationID] = ex, struct{}{}
	if counts := l.RollupCounts(); counts != nil {
		counts.Requests++
	}
	l.recordEvent(ex, traces.Event{Kind: traces.RequestAccepted})
	l.Handle(ex.request)
	l.watchUpload(ex)
}

// applyListing applies an endpoint list from discovery. Connections are updated before the decision
// module learns of the list.
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
			log.Printf("discovery: instances %q and %q map to the same ID; ignoring the second", other.name, instance.ID)
			continue
		}
		present[backend.ID] = true
		if backend.State == rules.Ready && !l.claimAddress(&event, backend, instance) {
			backend.State = rules.Removed
		}
		event.Entries = append(event.Entries, backend)
		l.backendHistory.add(instance.ID)
		if backend.State == rules.Ready {
			l.setReady(backend.ID, readyBackend{instance.ID, instance.HostPort, instance.Zone, backend.StartedAt})
			if _, detached := l.detached[instance.ID]; !detached {
				l.pools.update(backend.ID, instance.HostPort, backend.StartedAt)
			}
		} else {
			l.forgetReady(backend.ID)
			l.pools.remove(backend.ID)
		}
	}
	if kind != rules.DeltaList {
		for id := range l.readyBackends {
			if !present[id] {
				l.forgetReady(id)
				l.pools.remove(id)
			}
		}
	}
	l.Handle(event)
	if kind != rules.CachedList {
		if counts := l.RollupCounts(); counts != nil {
			counts.BackendChanges += len(event.Entries)
		}
		l.onListed()
	}
}

// InFlight reports whether a request is open or has an attempt in flight.
func (l *Loop) InFlight(id rules.RequestID) bool { return l.exchanges[id] != nil }

// Refuse rejects a request that did not run, so that the client may safely retry it.
func (l *Loop) Refuse(a rules.Refuse) {
	l.respond(a.Request, response{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter, reason: a.Reason, admittedAt: a.AdmittedAt})
}

// Fail ends a request that may have run.
func (l *Loop) Fail(a rules.Fail) { l.respond(a.Request, response{status: http.StatusBadGateway}) }

// sendDetachCommand posts an operator's command to the loop and waits for its result.
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

// setDetached detaches a backend or attaches it again. Its connections are updated as for a change of
// the endpoint list: pending dials are cancelled, and attempts in flight may still get a response.
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

// Send starts an attempt. A request that is over or has used up its attempts gets none.
func (l *Loop) Send(send rules.Send) {
	ex := l.exchanges[send.Request]
	if ex == nil {
		log.Printf("decision module sent an attempt for unknown request %d", send.Request)
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
	mayRun := ex.singleRun.begin()
	if !mayRun || !ex.open || attempt.number >= max(l.deploy.MaxAttempts, 1) || attempt.deadline <= now {
		l.endAttempt(attempt, result{outcome: rules.NotSent})
		return
	}
	attempt.ctx, attempt.cancel = context.WithCancel(context.Background())
	attempt.onStreamEnd = func(o rules.Outcome) { l.Post(attemptEnded{l, attempt, result{outcome: o}}) }
	attempt.onPending = func(body *pendingBody) { l.Post(responsePending{l, attempt, body}) }
	if ex.upload != nil {
		attempt.onSent = func() { l.Post(requestSent{l, attempt}) }
	}
	l.ScheduleTimeout(attempt.deadline, attempt)
	l.attempts.Go(func() { // ends by socketDeadline, or when the attempt is aborted
		result := l.pools.send(attempt)
		attempt.cancel()
		if result.passedOn {
			return
		}
		result.load = parseLoadReport(result.loadText, l.deploy.LoadFields) // parsed here so that the loop's goroutine is not held up
		l.Post(attemptEnded{l, attempt, result})
	})
}

// retryWriteDeadline returns the time by which a retry must have been written if an earlier attempt may
// have run; zero means that any time will do. The decision module checks the deduplication window when it
// decides, but a connection that is established late would deliver the retry to a backend that no longer
// remembers the key.
func (l *Loop) retryWriteDeadline(ex *exchange) time.Time {
	class := &l.deploy.Classes[ex.request.Class]
	for _, a := range ex.attempts { // in sending order
		if class.Idempotency == rules.IdempotentByKey && !a.neverRan {
			return l.Clock.At(a.sentAt + class.DedupeWindow - 2*l.deploy.Tick)
		}
	}
	return time.Time{}
}

// onRequestSent replaces the time limit of a streamed body by the client's own once the body has been written.
func (l *Loop) onRequestSent(attempt *attempt) {
	ex := attempt.exchange
	if attempt.ended || !ex.open {
		return
	}
	ex.bodyForwarded = true
	ex.request.SentAt = l.lastByteAt(ex)
	ex.request.Deadline = ex.request.SentAt + ex.timeLeft
	attempt.deadline = ex.request.Deadline
	l.ScheduleTimeout(attempt.deadline, attempt)
	l.Handle(rules.BodyComplete{Request: ex.request.ID, SentAt: ex.request.SentAt, Deadline: ex.request.Deadline})
}

// beginStream hands a streamed response to the client. It is final from its first byte, and the
// attempt remains in flight until its last.
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

// endAttempt records the end of an attempt. It has an effect once per attempt; later results are dropped.
func (l *Loop) endAttempt(attempt *attempt, result result) {
	if result.clientDisconnected && !attempt.ended {
		l.disconnect(attempt.exchange) // the server notices the disconnect too, and posts it again
	}
	if attempt.ended {
		return
	}
	attempt.ended, attempt.neverRan = true, rules.NeverRan(result.outcome)
	ex := attempt.exchange
	ex.activeAttempts--
	if attempt.neverRan {
		ex.singleRun.neverRan()
	}
	l.recordEvent(ex, traces.Event{Kind: traces.AttemptEnded, Attempt: attempt.number, Outcome: result.outcome})
	if result.outcome == rules.Served && ex.open {
		header := endToEndHeaders(result.header)
		header.Del(loadHeader) // meant for gateways, not for clients
		l.respond(ex.request.ID, response{status: http.StatusOK, header: header, body: result.body})
	}
	l.Handle(rules.AttemptEnd{Request: ex.request.ID, Attempt: attempt.number, Backend: attempt.backend, Outcome: result.outcome,
		Duration: l.Clock.Now() - attempt.sentAt, RequestDone: !ex.open, LoadData: result.load})
	l.removeIfDone(ex)
}

// Cancel ends an attempt on behalf of the decision module.
func (l *Loop) Cancel(cancel rules.Cancel) {
	ex := l.exchanges[cancel.Request]
	if ex == nil || cancel.Attempt >= len(ex.attempts) || ex.attempts[cancel.Attempt].ended || ex.attempts[cancel.Attempt].streaming {
		return
	}
	attempt := ex.attempts[cancel.Attempt]
	attempt.abort()
	outcome := rules.Cancelled
	if l.Clock.Now() >= attempt.deadline-timeoutTolerance {
		outcome = rules.TimedOut // reported as a timeout, from which the decision module learns
	}
	l.endAttempt(attempt, result{outcome: outcome})
}

// respond sends a request its response, unless it already has one.
func (l *Loop) respond(id rules.RequestID, response response) {
	ex := l.exchanges[id]
	if ex == nil || !ex.open {
		return
	}
	ex.open = false
	l.recordEvent(ex, responseEvent(response))
	ex.reply <- response // never blocks: the channel is buffered, and each request gets one response
	ex.abortUnsent()
	l.removeIfDone(ex)
}

// respondToAll ends all open requests: they are refused where the decision module finds that safe, and
// failed otherwise. Streamed responses go on until the process ends.
func (l *Loop) respondToAll() {
	l.terminating = true
	for id, ex := range l.exchanges {
		if !ex.open {
			continue
		}
		l.Handle(rules.ExpireRequest(id))
		if ex.open { // its body is still being received
			l.Handle(rules.ClientDisconnected{Request: id})
			l.Fail(rules.Fail{Request: id})
		}
	}
}

// removeIfDone forgets a request that has its response and no attempt in flight.
func (l *Loop) removeIfDone(ex *exchange) {
	if !ex.open && ex.activeAttempts == 0 {
		delete(l.exchanges, ex.request.ID)
		delete(l.openIDs, ex.correlationID)
	}
}

// Finished reports whether the attempt's timeout no longer applies.
func (a *attempt) Finished() bool { return a.ended || a.responding || a.streaming }

// Expire times out an attempt at its deadline.
func (a *attempt) Expire() {
	if a.loop.Clock.Now() < a.deadline-timeoutTolerance {
		return // the deadline was moved when the streamed body had been written completely
	}
	a.abort()
	a.loop.endAttempt(a, result{outcome: rules.TimedOut})
}

// readyBackend is what discovery reports about a ready backend.
type readyBackend struct {
	name, address, zone string
	startedAt           float64
}

// backendHistory remembers the IDs of backends that discovery has listed. Where backends are replaced all
// day there are always new IDs, so it holds a bounded number: at least the newest backendsPerGeneration.
type backendHistory struct{ current, previous map[string]struct{} }

const backendsPerGeneration = 1 << 12 // IDs until a new generation begins

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

// recentIDs remembers IDs for a limited time: those of the current span and of the previous one.
type recentIDs struct {
	span              float64 // seconds
	current, previous map[string]struct{}
	startedAt         float64
}

const idsPerSpan = 1 << 13 // IDs until a new span begins

// add records an ID and reports whether it is new.
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
