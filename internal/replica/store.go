// Package replica replicates a site's state among its voters by hashicorp/raft, and stores it on their disks. It is the
// driver of package fleet: encoded fleet entries are the commands of raft's log, and encodings of fleet's State are raft's
// snapshots. It adds no consensus protocol of its own, but two safeguards around the library: monitoredLog, for a disk that
// fails at the wrong moment, and transport, for changes of the voters.
//
// It does not decide what is proposed, and doesn't run the leader's duties; package internal/agent does both. It opens no
// connections either: Config.Streams does, with the authentication that the agent demands.
//
// The state machine's goroutine in raft owns the fleet.State; others read it through View and ReadRecords, under a lock. A
// caller must close every Store that Open returned, exactly once, and must treat ErrOutcomeUnknown as "maybe committed".
package replica

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"

	"elderyard/fleet"
)

// Errors that callers tell apart by errors.Is.
var (
	// ErrNotLeader reports that this voter does not lead, or lost its leadership before it proposed the change. Nothing was
	// changed.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrOutcomeUnknown reports that the leadership was lost, or time ran out, while a change was in flight: it may be committed
	// later or never. The same request may be retried.
	ErrOutcomeUnknown = errors.New("it is not known whether the change was committed")
	// ErrDamaged reports that the log's file is damaged, so that the voter can't start.
	ErrDamaged = errors.New("is damaged")
	// ErrNothingToRecover reports that Config.Recover is set and the folder is empty.
	ErrNothingToRecover = errors.New("holds nothing to recover")
)

// Config is the configuration of a voter.
type Config struct {
	Dir              string           // of log and snapshots; Open creates it
	ID               string           // the voter's name, which must never change
	Streams          raft.StreamLayer // connections to and from the other voters; Close closes it
	Bootstrap        bool             // found a site with this voter alone if Dir is empty
	Recover          bool             // become the only voter, with the state in Dir; for a site whose other voters are lost for good
	HeartbeatTimeout time.Duration    // a leader that is silent for so long is replaced; the other timeouts derive from it
	Log              io.Writer        // of raft's warnings and errors
	// InjectWriteError, if a test sets it, is called before each write to the log, which fails with its error.
	InjectWriteError func() error
}

const (
	retainedSnapshots = 2
	snapshotThreshold = 1024 // entries since the last snapshot
	trailingLogs      = 256  // entries before a snapshot that remain, for voters that lag
	maxAppendEntries  = 16   // in one call to a voter
	maxPooledConns    = 3    // to each voter
	boltOpenTimeout   = 5 * time.Second
	// LogFileName is the name of the log's file in Config.Dir.
	LogFileName = "log.bolt"
)

// Store is one voter, or a replica without a vote. Its methods are safe for concurrent use.
type Store struct {
	raft        *raft.Raft
	transport   *transport
	logs        *raftbolt.BoltStore
	log         *monitoredLog // around logs
	fsm         *stateMachine
	id          string
	callTimeout time.Duration // of a call to a voter, and of a proposal
}

// Open starts a voter, which Close ends. If its folder can't be read, the error names the file, and nothing in the folder
// is replaced: errors.Is tells ErrDamaged and ErrNothingToRecover.
func Open(config Config) (s *Store, err error) {
	logs, err := openLog(config.Dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			logs.Close()
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{Name: "voter", Level: hclog.Warn, Output: config.Log, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(config.Dir, retainedSnapshots, logger)
	if err != nil {
		return nil, fmt.Errorf("voter's snapshots: %w", err)
	}
	// One call at a time to a voter, because only calls that are not pipelined pass through the methods of transport.
	// That is enough for a state that changes once in seconds.
	callTimeout := 10 * config.HeartbeatTimeout
	transport := newTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: config.Streams, MaxPool: maxPooledConns,
		MaxRPCsInFlight: 1, Timeout: callTimeout, Logger: logger}))
	defer func() {
		if err != nil {
			transport.Close()
		}
	}()
	s = &Store{transport: transport, logs: logs, log: newMonitoredLog(logs, config.InjectWriteError), fsm: newStateMachine(), id: config.ID, callTimeout: callTimeout}
	raftConfig := newRaftConfig(config, logger)
	if err := s.initialize(config, raftConfig, snapshots); err != nil {
		return nil, err
	}
	if s.raft, err = raft.NewRaft(raftConfig, s.fsm, s.log, logs, snapshots, s.transport); err != nil {
		return nil, fmt.Errorf("voter's store in %s: %w; see \"A voter's store is damaged\" on the operators' page", config.Dir, err)
	}
	return s, nil
}

// openLog verifies and opens the log of a folder, which it creates if it does not exist.
func openLog(dir string) (*raftbolt.BoltStore, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("voter's folder: %w", err)
	}
	path := filepath.Join(dir, LogFileName)
	if err := verifyLogFile(path); err != nil {
		return nil, fmt.Errorf("%s %w: %w; see \"A voter's store is damaged\" on the operators' page", path, ErrDamaged, err)
	}
	logs, err := raftbolt.New(raftbolt.Options{Path: path, BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("%s: %w (is another agent running on this folder?)", path, err)
	}
	return logs, nil
}

func newRaftConfig(config Config, logger hclog.Logger) *raft.Config {
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID = raft.ServerID(config.ID)
	raftConfig.Logger = logger
	raftConfig.HeartbeatTimeout = config.HeartbeatTimeout
	raftConfig.ElectionTimeout = config.HeartbeatTimeout
	raftConfig.LeaderLeaseTimeout = config.HeartbeatTimeout / 2
	raftConfig.CommitTimeout = config.HeartbeatTimeout / 20
	raftConfig.SnapshotThreshold = snapshotThreshold
	raftConfig.TrailingLogs = trailingLogs
	raftConfig.MaxAppendEntries = maxAppendEntries
	raftConfig.ShutdownOnRemove = false
	return raftConfig
}

// initialize recovers or bootstraps the folder, if the configuration says so and the folder allows it.
func (s *Store) initialize(config Config, raftConfig *raft.Config, snapshots raft.SnapshotStore) error {
	hasState, err := raft.HasExistingState(s.logs, s.logs, snapshots)
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(config.Dir, LogFileName), err)
	}
	alone := raft.Configuration{Servers: []raft.Server{{ID: raftConfig.LocalID, Address: s.transport.LocalAddr()}}}
	switch {
	case config.Recover && !hasState:
		return fmt.Errorf("%s %w", config.Dir, ErrNothingToRecover)
	case config.Recover:
		// RecoverCluster replays the log on a state machine of its own, which is not used afterwards.
		if err := raft.RecoverCluster(raftConfig, newStateMachine(), s.logs, s.logs, snapshots, s.transport, alone); err != nil {
			return fmt.Errorf("recover: %w", err)
		}
	case config.Bootstrap && !hasState:
		if err := raft.BootstrapCluster(raftConfig, s.logs, s.logs, snapshots, s.transport, alone); err != nil {
			return fmt.Errorf("found a site: %w", err)
		}
	}
	return nil
}

// Close ends the voter and its streams. What was committed remains on its disk. It must be called once.
func (s *Store) Close() error {
	// Raft must shut down before a blocked write is released: otherwise it would go on after the failed write.
	shutdown := s.raft.Shutdown()
	close(s.log.released)
	err := shutdown.Error()
	return errors.Join(err, s.transport.Close(), s.logs.Close())
}

// View calls read with the state as this voter has it: committed, but maybe outdated. The state must not be changed, nor
// used after read has returned.
func (s *Store) View(read func(*fleet.State)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	read(&s.fsm.state)
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	return s.fsm.changed
}

// VerifyLeader returns once a majority has confirmed that this voter leads and its state has all that was committed
// before the call. Otherwise the error matches ErrNotLeader.
func (s *Store) VerifyLeader() error {
	if s.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	if err := s.raft.Barrier(s.callTimeout).Error(); err != nil {
		return fmt.Errorf("%w (%w)", ErrNotLeader, err) // not ErrOutcomeUnknown: a barrier changes nothing
	}
	return nil
}

// LeadershipChanged returns a channel that receives true each time this voter becomes the leader, and false each time it
// ceases to be. It is the same channel for every caller.
func (s *Store) LeadershipChanged() <-chan bool { return s.raft.LeaderCh() }

// Leader returns the name and address of the leader as far as this voter knows, empty if it knows of none.
func (s *Store) Leader() (id, address string) {
	leaderAddress, leaderID := s.raft.LeaderWithID()
	return string(leaderID), string(leaderAddress)
}

// IsLeader reports whether this voter considers itself the leader. It may be outdated; see VerifyLeader.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }
