package records

import (
	"errors"
	"fmt"
	"time"
)

// handleResponse processes a response. If its request is no longer in flight, the response only counts against the
// budget.
func (f *Follower) handleResponse(event ResponseReceived) []Action {
	if event.Bytes > 0 {
		f.budget.spend(event.Bytes)
	} else {
		f.budget.spend(len(event.Body))
	}
	sent := f.clearInFlight(event.ID)
	if sent == nil {
		return nil
	}
	var actions []Action
	var err error
	switch request := sent.Request.(type) {
	case ChangesRequest:
		actions, err = f.acceptChanges(sent, request, event.Body)
	case DigestsRequest:
		err = f.acceptDigests(event.Body)
	case ContentRequest:
		err = f.acceptChunk(event.Body)
	}
	f.recordOutcome(sent, err)
	f.updateBehindSince()
	return actions
}

// recordOutcome ejects the server if its response was not useful: for a short time if the server lags or has a
// different digest, for a longer one if the response is invalid.
func (f *Follower) recordOutcome(sent *inFlightRequest, err error) {
	switch {
	case err == nil:
		f.recordSuccess()
	case errors.Is(err, ErrStale), errors.Is(err, errLagging), errors.Is(err, errDigestDisputed):
		f.ejectServer(sent.Server, behindEjectionTime, err)
	default:
		f.ejectServer(sent.Server, corruptEjectionTime, err)
	}
}

// acceptDigests passes a server's digests to the repair.
func (f *Follower) acceptDigests(body []byte) error {
	digests, err := DecodeRangeDigests(body)
	if err != nil {
		return err
	}
	return f.repair.CompareDigests(digests)
}

// acceptChunk passes a chunk to the repair.
func (f *Follower) acceptChunk(body []byte) error {
	chunk, err := DecodeChunk(body)
	if err != nil {
		return err
	}
	return f.repair.StageChunk(chunk)
}

// acceptChanges processes a response to a request for changes.
func (f *Follower) acceptChanges(sent *inFlightRequest, request ChangesRequest, body []byte) ([]Action, error) {
	response, err := DecodeChangesResponse(body)
	if err != nil {
		return nil, err
	}
	if response.Behind || response.Version < request.Since {
		if sent.finishesRepair {
			f.repair.Recompare()
		}
		return nil, fmt.Errorf("%w: it is at version %d", errLagging, response.Version)
	}
	if sent.finishesRepair {
		return f.finishRepair(request, response)
	}
	return f.applyChanges(sent, response)
}

// errDigestDisputed means that a server has a different digest of the replica's version. A repair begins only if a
// second server confirms the difference, since the first server's content may be wrong.
var errDigestDisputed = errors.New("the server has another digest of the replica's version")

// applyChanges applies the changes above the replica's version, or begins a repair.
func (f *Follower) applyChanges(sent *inFlightRequest, response ChangesResponse) ([]Action, error) {
	if response.Repair == RepairDigest && f.repair == nil && !f.digestDisputed && len(f.servers.order) > 1 {
		f.digestDisputed = true
		return nil, errDigestDisputed
	}
	if response.Repair != "" {
		f.beginRepair(response.Repair)
		return nil, nil
	}
	if response.Delta != nil {
		if err := f.replica.ApplyDelta(*response.Delta); err != nil {
			return nil, err
		}
		f.markApplied()
		return []Action{Persist{Version: f.replica.Version(), Delta: response.Delta}}, nil
	}
	if response.Version != f.replica.Version() || response.Digest != f.replica.Digest() {
		return nil, fmt.Errorf("%w: nothing new, but version %d with %s", ErrDigest, response.Version, response.Digest)
	}
	f.markApplied()
	if f.replica.Version() >= f.head {
		f.delayRequests(sent, minPollInterval)
		return nil, nil
	}
	if f.now.Sub(f.behindSince) >= headGracePeriod {
		return nil, fmt.Errorf("%w: it does not give version %d", errLagging, f.head)
	}
	f.delayRequests(sent, initialBackoff)
	return nil, nil
}

// delayRequests limits the rate of requests to a server that responds at once instead of waiting.
func (f *Follower) delayRequests(sent *inFlightRequest, interval time.Duration) {
	if f.now.Sub(sent.sentAt) < interval {
		f.nextRequestAt = f.now.Add(f.jitter.shorten(interval))
	}
}

// markApplied records that the replica is at a server's newest version. It drops a repair that would not lead to a
// newer version.
func (f *Follower) markApplied() {
	f.digestDisputed = false
	if f.replica.Version() >= f.head {
		f.confirmedAt = f.now
	}
	if f.repair != nil && f.replica.Version() >= f.repair.maxVersion() {
		f.repair = nil
	}
}

// beginRepair begins a repair unless one is in progress.
func (f *Follower) beginRepair(reason RepairReason) {
	if f.repair != nil {
		return
	}
	f.repair = NewRepair(f.replica)
	f.repairReason = reason
}

// finishRepair completes the repair with the changes above its staged ranges. If the server has
// compacted them, the ranges are compared again.
func (f *Follower) finishRepair(request ChangesRequest, response ChangesResponse) ([]Action, error) {
	if response.Repair != "" {
		f.repair.Recompare()
		return nil, nil
	}
	delta := Delta{From: request.Since, To: response.Version, Digest: response.Digest}
	if response.Delta != nil {
		delta = *response.Delta
	}
	if err := f.repair.Finish(f.replica, delta); err != nil {
		f.repair.Recompare()
		return nil, err
	}
	f.repair = nil
	f.markApplied()
	return []Action{Persist{Version: f.replica.Version()}}, nil
}
