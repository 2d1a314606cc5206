package replica

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
)

// stateMachine implements raft.FSM with the replicated state. Only raft's goroutine for it modifies the state, with mu
// locked for writing; other goroutines read with mu locked for reading.
type stateMachine struct {
	mu             sync.RWMutex
	state          fleet.State
	changed        chan struct{} // closed at the next change
	recordsChanged chan struct{} // closed at the next change of the records
}

func newStateMachine() *stateMachine {
	return &stateMachine{changed: make(chan struct{}), recordsChanged: make(chan struct{})}
}

// Apply applies a committed entry. It returns a fleet.Outcome, or an error if nothing was changed.
func (m *stateMachine) Apply(log *raft.Log) any {
	entry, err := fleet.Decode(log.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		// All voters must skip the same entries: otherwise their states would diverge. Decoding is deterministic, so
		// they do.
		return fmt.Errorf("entry %d: %w", log.Index, err)
	}
	before := m.state.Records().Version()
	outcome, err := m.state.Apply(log.Index, entry)
	if err != nil {
		return fmt.Errorf("entry %d: %w", log.Index, err)
	}
	m.notifyChanged()
	if m.state.Records().Version() != before {
		m.notifyRecordsChanged()
	}
	return outcome
}

// notifyChanged wakes the receivers of Changed. The caller must hold mu for writing.
func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the current state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := m.state.Snapshot()
	return snapshot(text), err
}

// Restore replaces the state with that of a snapshot. On error, the state is unchanged.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.Restore(text); err != nil {
		return err
	}
	m.notifyChanged()
	m.notifyRecordsChanged()
	return nil
}

// snapshot is an encoded state.
type snapshot []byte

// Persist writes the snapshot to the sink and closes it.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: the snapshot is held in memory.
func (s snapshot) Release() {}
