package replica

import "elderyard/records"

// ReadRecords calls read with this voter's records, which are committed but may be stale. They must neither be
// modified, nor be used after read has returned.
func (s *Store) ReadRecords(read func(*records.Store)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	read(s.fsm.state.Records())
}

// RecordsChanged returns a channel that is closed at the next change of the records.
func (s *Store) RecordsChanged() <-chan struct{} {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	return s.fsm.recordsChanged
}

// notifyRecordsChanged wakes the receivers of RecordsChanged. The caller must hold mu for writing.
func (m *stateMachine) notifyRecordsChanged() {
	close(m.recordsChanged)
	m.recordsChanged = make(chan struct{})
}
