package replica

import (
	"fmt"
	"time"

	"elderyard/fleet"
	"elderyard/records"
)

// ReadRecords reads the records as this voter has them, committed but maybe old.
// The store must be read only, and not be kept.
func (s *Store) ReadRecords(read func(*records.Store)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	read(s.fsm.state.Records())
}

// RecordsChanged returns what is closed when the records change next.
func (s *Store) RecordsChanged() <-chan struct{} {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	return s.fsm.recordsChanged
}

// notifyRecordsChanged tells those that wait for a change of the records. The lock is held.
func (m *stateMachine) notifyRecordsChanged() {
	close(m.recordsChanged)
	m.recordsChanged = make(chan struct{})
}

// prepareRestore prepares a saved state for its restore. It returns the index behind
// which raft is to place it, and the state's text.
//
// Danger: the records' versions are indices of the log. Behind a restore the log
// must go on above all versions of the saved state, and the restored records need
// a version above all that replicas may have taken since the state was saved.
func (s *Store) prepareRestore(saved *fleet.State, text []byte) (last uint64, advanced []byte, err error) {
	var present uint64
	s.ReadRecords(func(store *records.Store) { present = store.Applied() })
	last = max(s.raft.LastIndex(), saved.Records().Applied())
	if present == 0 && saved.Records().Applied() == 0 {
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
