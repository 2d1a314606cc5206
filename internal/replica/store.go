// Package replica keeps a site's desired state on the voters' disks by
// hashicorp/raft. It adds no agreement of its own: entries of package fleet go
// through raft's log, snapshots of the state into raft's snapshots.
package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"

	"elderyard/fleet"
)

// Errors that callers tell apart.
var (
	// ErrNoLeader says that this voter does not lead, or lost its lead before it
	// took the call on. Nothing was changed.
	ErrNoLeader = errors.New("this voter does not lead")
	// ErrUnknown says that the lead was lost, or time ran out, while a change was on
	// its way: it may be committed later or never. The same request may be repeated.
	ErrUnknown = errors.New("it is not known whether the change was committed")
)

// Config is what a voter is started with.
type Config struct {
	Dir              string // of logs and snapshots
	ID               string // the voter's name, for good
	Streams          raft.StreamLayer
	Bootstrap        bool          // found a site of one voter where the folder is empty
	Recover          bool          // become the only voter, with what the folder holds; for when the others are lost for good
	HeartbeatTimeout time.Duration // a leader that is not heard of for so long is replaced
	Log              io.Writer
	// InjectWriteError, where a test sets it, is asked before each write to the log.
	InjectWriteError func() error
}

const (
	retainedSnapshots = 2
	snapshotThreshold = 1024 // entries
	trailingLogs      = 256
	maxAppendEntries  = 16
	maxPooledConns    = 3
	boltOpenTimeout   = 5 * time.Second
	// LogFileName is the file of the log in the voter's folder.
	LogFileName = "log.bolt"
)

// Store is one voter.
type Store struct {
	raft        *raft.Raft
	transport   *transport
	logs        *raftbolt.BoltStore
	log         *monitoredLog
	fsm         *stateMachine
	id          string
	callTimeout time.Duration
}

// stateMachine is the state that raft drives. Raft calls it from one goroutine;
// readers come from others.
type stateMachine struct {
	mu             sync.RWMutex
	state          fleet.State
	changed        chan struct{} // closed at the next change
	recordsChanged chan struct{} // closed at the next change of the records
}

func newMachine() *stateMachine {
	return &stateMachine{changed: make(chan struct{}), recordsChanged: make(chan struct{})}
}

// Apply applies a committed entry. It returns a fleet.Outcome or an error.
func (m *stateMachine) Apply(log *raft.Log) any {
	entry, err := fleet.Decode(log.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		// Danger: a voter that left out what others take would come to another state.
		// All decode alike, so all leave it out.
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

// notifyChanged tells those that wait for a change. The lock is held.
func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the state as of now.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	text, err := m.state.Snapshot()
	return snapshot(text), err
}

// Restore replaces the state by that of a snapshot.
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

// snapshot is a state as it was at one moment.
type snapshot []byte

// Persist writes the snapshot to the sink and closes it.
func (f snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(f); err != nil {
		sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: the snapshot is memory alone.
func (f snapshot) Release() {}

// monitoredLog remembers what the disk last said, and stops the voter where
// going on would be a guess.
//
// Danger: when a follower's log is cut back, to take other entries in place of
// the ones that lost, and these can't be written, raft goes on believing that the
// old ones are there. It would then write behind a hole, count that as stored,
// or panic at an entry that is committed and missing. So the call that failed
// does not return: the voter says nothing any more, to nobody, until it is closed.
// What is on its disk is whole, and the next start reads it anew.
type monitoredLog struct {
	raft.LogStore
	injectWriteError func() error
	err              atomic.Pointer[error]

	truncated atomic.Bool   // the log was cut back, and nothing has been written since
	failed    chan struct{} // closed when the voter must be closed
	released  chan struct{} // closed when it is
}

// DeleteRange deletes entries, and records whether the log's end was cut off.
func (w *monitoredLog) DeleteRange(from, to uint64) error {
	last, err := w.LogStore.LastIndex()
	if err != nil {
		return err
	}
	if to >= last { // not of the front, as after a snapshot
		w.truncated.Store(true)
	}
	return w.LogStore.DeleteRange(from, to)
}

// StoreLog stores one entry, as StoreLogs does.
func (w *monitoredLog) StoreLog(l *raft.Log) error { return w.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries. After a truncation that no entry followed yet, an error
// stops the voter, and the call returns once the voter is closed.
func (w *monitoredLog) StoreLogs(l []*raft.Log) (err error) {
	if w.injectWriteError != nil {
		err = w.injectWriteError()
	}
	if err == nil {
		err = w.LogStore.StoreLogs(l)
	}
	if err == nil {
		w.err.Store(nil)
		w.truncated.Store(false)
		return nil
	}
	w.err.Store(&err)
	if w.truncated.Load() {
		close(w.failed) // raft writes from one goroutine, which stays here
		<-w.released
	}
	return err
}

// Open starts a voter. What its folder holds and can't be read is an error that
// names the file, and nothing is made up in its place.
func Open(c Config) (s *Store, err error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("voter's folder: %w", err)
	}
	path := filepath.Join(c.Dir, LogFileName)
	if err := verifyLogFile(path); err != nil {
		return nil, fmt.Errorf("%s is damaged: %w; see \"A voter's store is damaged\" on the operators' page", path, err)
	}
	options := raftbolt.Options{Path: path}
	options.BoltOptions = boltOptions()
	logs, err := raftbolt.New(options)
	if err != nil {
		return nil, fmt.Errorf("%s: %w (is another agent running on this folder?)", path, err)
	}
	defer func() {
		if err != nil {
			logs.Close()
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{Name: "voter", Level: hclog.Warn, Output: c.Log, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.Dir, retainedSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("voter's snapshots: %w", err)
	}
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(c.ID)
	config.Logger = logger
	config.HeartbeatTimeout, config.ElectionTimeout, config.LeaderLeaseTimeout = c.HeartbeatTimeout, c.HeartbeatTimeout, c.HeartbeatTimeout/2
	config.CommitTimeout = c.HeartbeatTimeout / 20
	config.SnapshotThreshold, config.TrailingLogs, config.MaxAppendEntries = snapshotThreshold, trailingLogs, maxAppendEntries
	config.ShutdownOnRemove = false

	s = &Store{logs: logs, id: c.ID, fsm: newMachine(), callTimeout: 10 * c.HeartbeatTimeout}
	s.log = &monitoredLog{LogStore: logs, injectWriteError: c.InjectWriteError, failed: make(chan struct{}), released: make(chan struct{})}
	// One call at a time to a voter, so that each goes through wire: a site's state changes once in seconds.
	transport := newTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: c.Streams, MaxPool: maxPooledConns,
		MaxRPCsInFlight: 1, Timeout: s.callTimeout, Logger: logger}))
	defer func() {
		if err != nil {
			transport.Close()
		}
	}()
	s.transport = transport
	known, err := raft.HasExistingState(logs, logs, snapshots)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	alone := raft.Configuration{Servers: []raft.Server{{ID: config.LocalID, Address: s.transport.LocalAddr()}}}
	switch {
	case c.Recover && !known:
		return nil, fmt.Errorf("%s holds nothing to recover", c.Dir)
	case c.Recover:
		if err := raft.RecoverCluster(config, newMachine(), logs, logs, snapshots, s.transport, alone); err != nil {
			return nil, fmt.Errorf("recover: %w", err)
		}
	case c.Bootstrap && !known:
		if err := raft.BootstrapCluster(config, logs, logs, snapshots, s.transport, alone); err != nil {
			return nil, fmt.Errorf("found a site: %w", err)
		}
	}
	if s.raft, err = raft.NewRaft(config, s.fsm, s.log, logs, snapshots, s.transport); err != nil {
		return nil, fmt.Errorf("voter's store in %s: %w; see \"A voter's store is damaged\" on the operators' page", c.Dir, err)
	}
	return s, nil
}

// Close ends the voter. What was committed stays on its disk.
func (s *Store) Close() error {
	ended := s.raft.Shutdown() // first: what is released finds that it has ended
	close(s.log.released)
	err := ended.Error()
	return errors.Join(err, s.transport.Close(), s.logs.Close())
}

// Propose has the voters agree on an entry and returns what became of it.
func (s *Store) Propose(ctx context.Context, e fleet.Entry) (fleet.Outcome, error) {
	text, err := e.Encode()
	if err != nil {
		return fleet.Outcome{}, err
	}
	future := s.raft.Apply(text, s.callTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }() // ends with the future, which raft ends at its shutdown
	select {
	case <-ctx.Done():
		return fleet.Outcome{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	case err := <-done:
		if err != nil {
			return fleet.Outcome{}, s.classifyError(err)
		}
	}
	switch r := future.Response().(type) {
	case fleet.Outcome:
		return r, nil
	case error:
		return fleet.Outcome{}, r
	}
	return fleet.Outcome{}, fmt.Errorf("the voters answered %T", future.Response())
}

// classifyError tells errors by what they mean for the caller.
func (s *Store) classifyError(err error) error {
	if err == nil {
		return nil
	}
	if disk := s.DiskError(); disk != nil {
		return fmt.Errorf("%w: this voter can't write its store: %w", ErrUnknown, disk)
	}
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return fmt.Errorf("%w (%w)", ErrNoLeader, err)
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown), errors.Is(err, raft.ErrAbortedByRestore):
		return fmt.Errorf("%w (%w)", ErrUnknown, err)
	}
	return err
}

// Failed is closed when the voter has stopped for good, because its disk failed
// where going on would be a guess: see DiskError. It must be closed, and opened
// anew.
func (s *Store) Failed() <-chan struct{} { return s.log.failed }

// DiskError is what the disk said to the last write; nil: it was written.
func (s *Store) DiskError() error {
	if e := s.log.err.Load(); e != nil {
		return *e
	}
	return nil
}

// VerifyLeader returns once this voter leads, by word of a majority, and its state
// holds all that was committed before.
func (s *Store) VerifyLeader() error {
	if s.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	if err := s.raft.Barrier(s.callTimeout).Error(); err != nil {
		// Nothing was asked to change, so nothing is in doubt.
		return fmt.Errorf("%w (%w)", ErrNoLeader, err)
	}
	return nil
}

// View reads the state as this voter has it, committed but maybe old. The state
// must not be kept.
func (s *Store) View(read func(*fleet.State)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	read(&s.fsm.state)
}

// Changed returns what is closed when the state changes next.
func (s *Store) Changed() <-chan struct{} {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	return s.fsm.changed
}

// LeadershipChanged tells of each time that this voter gains or loses the lead.
func (s *Store) LeadershipChanged() <-chan bool { return s.raft.LeaderCh() }

// Leader returns the voter that leads, as far as this one knows.
func (s *Store) Leader() (id, address string) {
	a, i := s.raft.LeaderWithID()
	return string(i), string(a)
}

// IsLeader tells whether this voter believes that it leads.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }

// Member is one store of the site: a voter, or a replica that follows the log
// and has no vote.
type Member struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Leader   bool   `json:"leader"`
	NonVoter bool   `json:"non_voter,omitempty"`
}

// Members returns the voters and the replicas without a vote, by name.
func (s *Store) Members() ([]Member, error) {
	future := s.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, fmt.Errorf("voters: %w", err)
	}
	leader, _ := s.Leader()
	var list []Member
	for _, server := range future.Configuration().Servers {
		list = append(list, Member{Name: string(server.ID), Address: string(server.Address),
			Leader: string(server.ID) == leader, NonVoter: server.Suffrage == raft.Nonvoter})
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// Change is a change of the voters that a majority has agreed on.
type Change struct{ at position }

// AddVoter makes an agent a voter. The leader alone can. A majority has agreed when it returns; see Lacking for the rest.
func (s *Store) AddVoter(name, address string) (Change, error) {
	return s.awaitChange(s.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, s.callTimeout))
}

// AddNonVoter makes an agent a replica that follows the log and answers reads, and counts for no majority. The
// leader alone can. A voter is not demoted by it: that is refused.
func (s *Store) AddNonVoter(name, address string) (Change, error) {
	list, err := s.Members()
	if err != nil {
		return Change{}, err
	}
	if slices.ContainsFunc(list, func(m Member) bool { return m.Name == name && !m.NonVoter }) {
		return Change{}, fmt.Errorf("%s is a voter: remove it before it is added without a vote", name)
	}
	return s.awaitChange(s.raft.AddNonvoter(raft.ServerID(name), raft.ServerAddress(address), 0, s.callTimeout))
}

// Remove takes a voter or a replica without a vote out. The leader alone can; it must leave a voter.
func (s *Store) Remove(name string) (Change, error) {
	list, err := s.Members()
	if err != nil {
		return Change{}, err
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.Name == name }) {
		return Change{}, fmt.Errorf("%s is no voter", name)
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.Name != name && !m.NonVoter }) {
		return Change{}, fmt.Errorf("%s is the only voter: a site needs one", name)
	}
	return s.awaitChange(s.raft.RemoveServer(raft.ServerID(name), 0, s.callTimeout))
}

// awaitChange waits for a majority to agree on a change.
func (s *Store) awaitChange(change raft.IndexFuture) (Change, error) {
	if err := change.Error(); err != nil {
		return Change{}, s.classifyError(err)
	}
	return Change{position{s.raft.CurrentTerm(), change.Index()}}, nil
}

// LaggingVoters waits until every voter has noted a change, as long as one call to a voter may take, and returns those
// that have not, or are not heard of. A leader that has taken itself out tells what it last heard.
func (s *Store) LaggingVoters(ctx context.Context, c Change) ([]string, error) {
	members, err := s.Members()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == s.id }) {
		cancel()
	}
	var others []raft.ServerID
	for _, m := range members {
		if m.Name != s.id && !m.NonVoter { // one without a vote bears on no majority
			others = append(others, raft.ServerID(m.Name))
		}
	}
	return s.transport.awaitPosition(ctx, others, c.at), nil
}

// RestoreState has all voters take a saved state in place of theirs. The leader alone
// can. A state that is damaged is refused before anybody is told.
func (s *Store) RestoreState(text []byte) error {
	var saved fleet.State
	if err := saved.Restore(text); err != nil {
		return err
	}
	members := s.raft.GetConfiguration()
	if err := members.Error(); err != nil {
		return fmt.Errorf("voters: %w", err)
	}
	last, text, err := s.prepareRestore(&saved, text)
	if err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Index: last, Size: int64(len(text)),
		Configuration: members.Configuration(), ConfigurationIndex: members.Index()}
	return s.classifyError(s.raft.Restore(meta, bytes.NewReader(text), s.callTimeout))
}
