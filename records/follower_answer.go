package records

import (
	"errors"
	"fmt"
	"time"
)

// answered takes in the answer to the open request.
func (f *Follower) answered(event Answered) []Action {
	if event.Bytes > 0 {
		f.budget.spend(event.Bytes)
	} else {
		f.budget.spend(len(event.Body))
	}
	ask := f.close(event.ID)
	if ask == nil {
		return nil
	}
	var saved []Action
	var err error
	switch request := ask.Request.(type) {
	case ChangesRequest:
		saved, err = f.takeAnswer(ask, request, event.Body)
	case DigestsRequest:
		err = f.takeDigests(event.Body)
	case ContentRequest:
		err = f.takeChunk(event.Body)
	}
	f.judge(ask, err)
	f.noteVersion()
	return saved
}

// judge stays with the server that has answered, or leaves it.
func (f *Follower) judge(ask *openAsk, err error) {
	switch {
	case err == nil:
		f.useful()
	case errors.Is(err, ErrBehind), errors.Is(err, errLagging), errors.Is(err, errDoubted):
		f.leave(ask.Server, avoidBehind, err)
	default:
		f.leave(ask.Server, avoidDamaged, err)
	}
}

func (f *Follower) takeDigests(body []byte) error {
	digests, err := DecodeRangeDigests(body)
	if err != nil {
		return err
	}
	return f.repair.TakeDigests(digests)
}

func (f *Follower) takeChunk(body []byte) error {
	chunk, err := DecodeChunk(body)
	if err != nil {
		return err
	}
	return f.repair.TakeChunk(chunk)
}

func (f *Follower) takeAnswer(ask *openAsk, request ChangesRequest, body []byte) ([]Action, error) {
	answer, err := DecodeAnswer(body)
	if err != nil {
		return nil, err
	}
	if answer.Behind || answer.Version < request.Since {
		if ask.finish {
			f.repair.Recompare()
		}
		return nil, fmt.Errorf("%w: it is at version %d", errLagging, answer.Version)
	}
	if ask.finish {
		return f.finishRepair(request, answer)
	}
	return f.follow(ask, answer)
}

// errDoubted is that a server takes the replica's content for wrong. Another one is
// asked before that is believed.
var errDoubted = errors.New("the server has another digest of the replica's version")

// follow takes an answer to a request for the changes above the replica's version.
func (f *Follower) follow(ask *openAsk, answer Answer) ([]Action, error) {
	if answer.Repair == RepairDigest && f.repair == nil && !f.doubted && len(f.servers.order) > 1 {
		f.doubted = true
		return nil, errDoubted
	}
	if answer.Repair != "" {
		f.beginRepair(answer.Repair)
		return nil, nil
	}
	if answer.Delta != nil {
		if err := f.replica.ApplyDelta(*answer.Delta); err != nil {
			return nil, err
		}
		f.applied()
		return []Action{Save{Version: f.replica.Version(), Delta: answer.Delta}}, nil
	}
	if answer.Version != f.replica.Version() || answer.Digest != f.replica.Digest() {
		return nil, fmt.Errorf("%w: nothing new, but version %d with %s", ErrDigest, answer.Version, answer.Digest)
	}
	f.applied()
	if f.replica.Version() >= f.head {
		f.pause(ask, pollPause)
		return nil, nil
	}
	if f.now.Sub(f.behindSince) >= headGrace {
		return nil, fmt.Errorf("%w: it does not give version %d", errLagging, f.head)
	}
	f.pause(ask, retryFirst)
	return nil, nil
}

// pause spaces requests whose answers came sooner than that.
func (f *Follower) pause(ask *openAsk, pause time.Duration) {
	if f.now.Sub(ask.at) < pause {
		f.notUntil = f.now.Add(f.jitter.shorten(pause))
	}
}

// applied notes that the replica is what a server has as its newest. A repair that
// would not lead further is not needed any more.
func (f *Follower) applied() {
	f.doubted = false
	if f.replica.Version() >= f.head {
		f.confirmed = f.now
	}
	if f.repair != nil && f.replica.Version() >= f.repair.highest() {
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
func (f *Follower) finishRepair(request ChangesRequest, answer Answer) ([]Action, error) {
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
	f.applied()
	return []Action{Save{Version: f.replica.Version()}}, nil
}
