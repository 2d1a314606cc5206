package replica

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
)

// Propose proposes an entry and returns its outcome once it is committed and applied. Only the leader can. After an
// error that matches ErrNotLeader, nothing was changed. After one that matches ErrOutcomeUnknown, the entry may still
// be committed; this includes a context that ends first. Any other error means an invalid entry or a failure of raft
// itself.
func (s *Store) Propose(ctx context.Context, entry fleet.Entry) (fleet.Outcome, error) {
	text, err := entry.Encode()
	if err != nil {
		return fleet.Outcome{}, err
	}
	future := s.raft.Apply(text, s.callTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }() // ends with the future, which raft completes at shutdown at the latest
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

// classifyError wraps an error of raft in ErrNotLeader if the change was not committed, and in ErrOutcomeUnknown if it
// may be.
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

// Failed returns a channel that is closed when the voter has stopped permanently because a write failed after a
// truncation; see DiskError. The store must then be closed, and may be reopened.
func (s *Store) Failed() <-chan struct{} { return s.log.failed }

// DiskError returns the error of the last write to the log, or nil if it succeeded.
func (s *Store) DiskError() error { return s.log.lastError() }
