package replica

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
	"elderyard/records"
)

// RestoreState replaces the state of all voters with a saved one. Only the leader can. A damaged state is rejected
// before any voter receives it.
func (s *Store) RestoreState(text []byte) error {
	var saved fleet.State
	if err := saved.Restore(text); err != nil {
		return err
	}
	configuration := s.raft.GetConfiguration()
	if err := configuration.Error(); err != nil {
		return fmt.Errorf("voters: %w", err)
	}
	last, text, err := s.prepareRestore(&saved, text)
	if err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Index: last, Size: int64(len(text)),
		Configuration: configuration.Configuration(), ConfigurationIndex: configuration.Index()}
	return s.classifyError(s.raft.Restore(meta, bytes.NewReader(text), s.callTimeout))
}

// prepareRestore returns the encoding of a saved state to restore, and the index after which raft must place it.
//
// The versions of the records are indices of the log. So after a restore the log must continue above all versions of
// the saved state, and the restored records need a version above all that followers may have received since the state
// was saved: otherwise followers would consider the restored records older than their own.
func (s *Store) prepareRestore(saved *fleet.State, text []byte) (last uint64, advanced []byte, err error) {
	var appliedIndex uint64
	s.ReadRecords(func(store *records.Store) { appliedIndex = store.Applied() })
	last = max(s.raft.LastIndex(), saved.Records().Applied())
	if appliedIndex == 0 && saved.Records().Applied() == 0 {
		return last, text, nil
	}
	restored := records.ChangeInfo{Version: last + 1, Author: "restore", Message: "a saved state was restored", At: time.Now().UTC()}
	if err := saved.Records().Advance(restored); err != nil {
		return 0, nil, fmt.Errorf("restore: %w", err)
	}
	if advanced, err = saved.Snapshot(); err != nil {
		return 0, nil, fmt.Errorf("restore: %w", err)
	}
	return last, advanced, nil
}
