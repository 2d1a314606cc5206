package records

import (
	"fmt"
	"time"
)

// clearInFlight takes back the open request if it has this ID.
func (f *Follower) clearInFlight(id uint64) *inFlightRequest {
	if f.inFlight == nil || f.inFlight.ID != id {
		return nil
	}
	ask := f.inFlight
	f.inFlight = nil
	return ask
}

// requestDeadline returns until when the open request may take.
func (f *Follower) requestDeadline() time.Time {
	until := f.inFlight.sentAt.Add(f.inFlight.Timeout)
	if changes, ok := f.inFlight.Request.(ChangesRequest); !ok || changes.Wait == 0 || f.behindSince.IsZero() {
		return until
	}
	since := f.inFlight.sentAt
	if f.behindSince.After(since) {
		since = f.behindSince
	}
	if grace := since.Add(headGracePeriod); grace.Before(until) {
		return grace
	}
	return until
}

// expireRequest gives up the open request if it takes too long.
func (f *Follower) expireRequest() []Action {
	if f.inFlight == nil || f.now.Before(f.requestDeadline()) {
		return nil
	}
	late := f.now.Sub(f.inFlight.sentAt)
	ask := f.clearInFlight(f.inFlight.ID)
	if late < ask.Timeout {
		f.ejectServer(ask.Server, behindEjectionTime, fmt.Errorf("%w: it does not give version %d", errLagging, f.head))
	} else {
		f.ejectServer(ask.Server, failedEjectionTime, fmt.Errorf("no answer within %v", ask.Timeout))
	}
	return []Action{Cancel{ID: ask.ID}}
}

// planRequest returns what is to be asked next, and from when on.
func (f *Follower) planRequest() (inFlightRequest, time.Time) {
	request, finish, debt := f.chooseRequest()
	ask := inFlightRequest{Send: Send{Request: request, Timeout: requestTimeout}, finishesRepair: finish}
	if changes, ok := request.(ChangesRequest); ok {
		ask.Timeout += changes.Wait
	}
	ready := f.nextRequestAt
	if paid := f.budget.readyAt(debt); paid.After(ready) {
		ready = paid
	}
	return ask, ready
}

// chooseRequest returns the request, whether it finishes the repair, and how much debt
// the budget may have for it. Changes go before the ranges of a repair.
func (f *Follower) chooseRequest() (request Request, finish bool, debt time.Duration) {
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

// sendNext asks for what is next if its time has come.
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
