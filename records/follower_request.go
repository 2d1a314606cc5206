package records

import (
	"fmt"
	"time"
)

// clearInFlight removes and returns the request in flight if it has the ID, otherwise it returns nil.
func (f *Follower) clearInFlight(id uint64) *inFlightRequest {
	if f.inFlight == nil || f.inFlight.ID != id {
		return nil
	}
	sent := f.inFlight
	f.inFlight = nil
	return sent
}

// requestDeadline returns the deadline of the request in flight. A long poll expires early if the head has advanced
// and the server does not send it: the server may be stalled or lagging.
func (f *Follower) requestDeadline() time.Time {
	deadline := f.inFlight.sentAt.Add(f.inFlight.Timeout)
	if changes, ok := f.inFlight.Request.(ChangesRequest); !ok || changes.Wait == 0 || f.behindSince.IsZero() {
		return deadline
	}
	since := f.inFlight.sentAt
	if f.behindSince.After(since) {
		since = f.behindSince
	}
	if grace := since.Add(headGracePeriod); grace.Before(deadline) {
		return grace
	}
	return deadline
}

// expireRequest cancels the request in flight if its deadline has passed, and ejects the server.
func (f *Follower) expireRequest() []Action {
	if f.inFlight == nil || f.now.Before(f.requestDeadline()) {
		return nil
	}
	elapsed := f.now.Sub(f.inFlight.sentAt)
	sent := f.clearInFlight(f.inFlight.ID)
	if elapsed < sent.Timeout {
		f.ejectServer(sent.Server, behindEjectionTime, fmt.Errorf("%w: it does not give version %d", errLagging, f.head))
	} else {
		f.ejectServer(sent.Server, failedEjectionTime, fmt.Errorf("no answer within %v", sent.Timeout))
	}
	return []Action{Cancel{ID: sent.ID}}
}

// planRequest returns the next request and the earliest time for it.
func (f *Follower) planRequest() (inFlightRequest, time.Time) {
	request, finishesRepair, debt := f.chooseRequest()
	planned := inFlightRequest{Send: Send{Request: request, Timeout: requestTimeout}, finishesRepair: finishesRepair}
	if changes, ok := request.(ChangesRequest); ok {
		planned.Timeout += changes.Wait
	}
	ready := f.nextRequestAt
	if paidOff := f.budget.readyAt(debt); paidOff.After(ready) {
		ready = paidOff
	}
	return planned, ready
}

// chooseRequest returns the next request, whether it finishes the repair, and the budget's debt at which it may
// still be sent. Changes have priority over the ranges of a repair and may be requested in debt, so that the traffic
// of a repair does not delay them.
func (f *Follower) chooseRequest() (request Request, finishesRepair bool, debt time.Duration) {
	digest := f.replica.Digest()
	changes := ChangesRequest{Since: f.replica.Version(), Digest: &digest}
	if f.repair == nil {
		changes.Wait = LongPollWait
		return changes, false, maxBudgetDebt
	}
	if f.replica.Version() > 0 && f.now.Sub(f.changesRequestedAt) >= repairPollInterval {
		return changes, false, maxBudgetDebt
	}
	switch f.repair.Next() {
	case NeedDigests:
		return DigestsRequest{}, false, 0
	case NeedContent:
		return ContentRequest{Ranges: f.repair.Pending(), MaxBytes: chunkRequestBytes}, false, 0
	}
	return ChangesRequest{Since: f.repair.Since()}, true, maxBudgetDebt
}

// sendNext sends the next request if none is in flight and it is due.
func (f *Follower) sendNext() []Action {
	if f.inFlight != nil || len(f.servers.order) == 0 {
		return nil
	}
	next, ready := f.planRequest()
	if f.now.Before(ready) {
		return nil
	}
	f.lastID++
	next.ID = f.lastID
	next.Server = f.servers.pick(f.now, f.failures > 0)
	next.sentAt = f.now
	f.inFlight = &next
	if _, ok := next.Request.(ChangesRequest); ok && !next.finishesRepair {
		f.changesRequestedAt = f.now
	}
	return []Action{next.Send}
}
