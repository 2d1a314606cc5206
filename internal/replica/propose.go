package replica

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
)

// Propose proposes an entry and returns its outcome once it is committed and applied. The leader alone can. An error that
// matches ErrNotLeader says that nothing was changed, one that matches ErrOutcomeUnknown that the entry may be committed still; the
// latter also if the context ends first. Any other error is of an invalid entry, or of raft itself.
func (s *Store) Propose(ctx context.Context, entry fleet.Entry) (fleet.Outcome, error) {
	text, err := entry.Encode()
	if err != nil {
		return fleet.Outcome{}, err
	}
	future := s.raft.Apply(text, s.callTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }() // ends with the future, which raft completes at its shutdown at the latest
	select {
	case <-ctx.Done():
		return fleet.Outcome{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case err := <-done:
		if err != nil {
			return fleet.Outcome{}, s.classifyError(err)
		}
	}
	switch response := future.Response().(type) {
	case fleet.Outcome:
		return response, nil
	case error:
		return fleet.Outcome{}, response
	}
	return fleet.Outcome{}, fmt.Errorf("the voters answered %T", future.Response())
}

// classifyError wraps an error of raft in ErrNotLeader or ErrOutcomeUnknown, depending on whether the change may be committed.
func (s *Store) classifyError(err error) error {
	if err == nil {
		return nil
	}
	if diskError := s.DiskError(); diskError != nil {
		return fmt.Errorf("%w: this voter can't write its store: %w", ErrOutcomeUnknown, diskError)
	}
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return fmt.Errorf("%w (%w)", ErrNotLeader, err)
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown), errors.Is(err, raft.ErrAbortedByRestore):
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return err
}

// Failed returns a channel that is closed when the voter has stopped for good because a write failed after a truncation,
// see DiskError. The store must then be closed, and may be opened anew.
func (s *Store) Failed() <-chan struct{} { return s.log.failed }

// DiskError returns the error of the last write to the log, nil if it succeeded.
func (s *Store) DiskError() error { return s.log.lastError() }
