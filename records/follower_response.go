package records

import (
	"errors"
	"fmt"
	"time"
)

// handleResponse takes in the answer to the open request.
func (f *Follower) handleResponse(event ResponseReceived) []Action {
	if event.Bytes > 0 {
		f.budget.spend(event.Bytes)
	} else {
		f.budget.spend(len(event.Body))
	}
	ask := f.clearInFlight(event.ID)
	if ask == nil {
		return nil
	}
	var saved []Action
	var err error
	switch request := ask.Request.(type) {
	case ChangesRequest:
		saved, err = f.acceptChanges(ask, request, event.Body)
	case DigestsRequest:
		err = f.acceptDigests(event.Body)
	case ContentRequest:
		err = f.acceptChunk(event.Body)
	}
	f.recordOutcome(ask, err)
	f.updateBehindSince()
	return saved
}

// recordOutcome stays with the server that has answered, or leaves it.
func (f *Follower) recordOutcome(ask *inFlightRequest, err error) {
	switch {
	case err == nil:
		f.recordSuccess()
	case errors.Is(err, ErrBehind), errors.Is(err, errLagging), errors.Is(err, errDigestDisputed):
		f.ejectServer(ask.Server, behindEjectionTime, err)
	default:
		f.ejectServer(ask.Server, corruptEjectionTime, err)
	}
}

func (f *Follower) acceptDigests(body []byte) error {
	digests, err := DecodeRangeDigests(body)
	if err != nil {
		return err
	}
	return f.repair.CompareDigests(digests)
}

func (f *Follower) acceptChunk(body []byte) error {
	chunk, err := DecodeChunk(body)
	if err != nil {
		return err
	}
	return f.repair.StageChunk(chunk)
}

func (f *Follower) acceptChanges(ask *inFlightRequest, request ChangesRequest, body []byte) ([]Action, error) {
	answer, err := DecodeChangesResponse(body)
	if err != nil {
		return nil, err
	}
	if answer.Behind || answer.Version < request.Since {
		if ask.finishesRepair {
			f.repair.Recompare()
		}
		return nil, fmt.Errorf("%w: it is at version %d", errLagging, answer.Version)
	}
	if ask.finishesRepair {
		return f.finishRepair(request, answer)
	}
	return f.applyChanges(ask, answer)
}

// errDigestDisputed is that a server takes the replica's content for wrong. Another one is
// asked before that is believed.
var errDigestDisputed = errors.New("the server has another digest of the replica's version")

// applyChanges takes an answer to a request for the changes above the replica's version.
func (f *Follower) applyChanges(ask *inFlightRequest, answer ChangesResponse) ([]Action, error) {
	if answer.Repair == RepairDigest && f.repair == nil && !f.digestDisputed && len(f.servers.order) > 1 {
		f.digestDisputed = true
		return nil, errDigestDisputed
	}
	if answer.Repair != "" {
		f.beginRepair(answer.Repair)
		return nil, nil
	}
	if answer.Delta != nil {
		if err := f.replica.ApplyDelta(*answer.Delta); err != nil {
			return nil, err
		}
		f.markApplied()
		return []Action{Persist{Version: f.replica.Version(), Delta: answer.Delta}}, nil
	}
	if answer.Version != f.replica.Version() || answer.Digest != f.replica.Digest() {
		return nil, fmt.Errorf("%w: nothing new, but version %d with %s", ErrDigest, answer.Version, answer.Digest)
	}
	f.markApplied()
	if f.replica.Version() >= f.head {
		f.delayRequests(ask, minPollInterval)
		return nil, nil
	}
	if f.now.Sub(f.behindSince) >= headGracePeriod {
		return nil, fmt.Errorf("%w: it does not give version %d", errLagging, f.head)
	}
	f.delayRequests(ask, initialBackoff)
	return nil, nil
}

// delayRequests spaces requests whose answers came sooner than that.
func (f *Follower) delayRequests(ask *inFlightRequest, pause time.Duration) {
	if f.now.Sub(ask.sentAt) < pause {
		f.nextRequestAt = f.now.Add(f.jitter.shorten(pause))
	}
}

// markApplied notes that the replica is what a server has as its newest. A repair that
// would not lead further is not needed any more.
func (f *Follower) markApplied() {
	f.digestDisputed = false
	if f.replica.Version() >= f.head {
		f.confirmedAt = f.now
	}
	if f.repair != nil && f.replica.Version() >= f.repair.maxVersion() {
		f.repair = nil
	}
}

func (f *Follower) beginRepair(reason RepairReason) {
	if f.repair != nil {
		return
	}
	f.repair = NewRepair(f.replica)
	f.repairReason = reason
}

// finishRepair takes the changes that complete what has been staged.
func (f *Follower) finishRepair(request ChangesRequest, answer ChangesResponse) ([]Action, error) {
	if answer.Repair != "" {
		f.repair.Recompare()
		return nil, nil
	}
	delta := Delta{From: request.Since, To: answer.Version, Digest: answer.Digest}
	if answer.Delta != nil {
		delta = *answer.Delta
	}
	if err := f.repair.Finish(f.replica, delta); err != nil {
		f.repair.Recompare()
		return nil, err
	}
	f.repair = nil
	f.markApplied()
	return []Action{Persist{Version: f.replica.Version()}}, nil
}
