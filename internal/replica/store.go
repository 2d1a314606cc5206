// Package replica replicates a site's state among its voters with hashicorp/raft, and stores it on their disks. It is
// the driver of package fleet: encoded fleet entries are the commands of raft's log, and encodings of fleet's State are
// raft's snapshots. It adds no consensus protocol of its own, but two safeguards around the library: monitoredLog, for
// disk writes that fail after the log was truncated, and transport, for configuration changes.
//
// It does not decide what is proposed, and does not run the leader's duties; package internal/agent does both. It opens
// no connections either: Config.Streams does, with the authentication that the agent requires.
//
// Raft's goroutine for the state machine owns the fleet.State; other goroutines read it through View and ReadRecords,
// under a lock. A caller must close every Store that Open returned, exactly once, and must treat ErrOutcomeUnknown as
// "maybe committed".
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

// Errors that callers match with errors.Is.
var (
	// ErrNotLeader reports that this voter does not lead, or lost its leadership before it proposed the change. Nothing
	// was changed.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrOutcomeUnknown reports that the leadership was lost or a timeout expired while a change was in flight: it may
	// be committed later or never. The same request may be retried.
	ErrOutcomeUnknown = errors.New("it is not known whether the change was committed")
	// ErrDamaged reports that the log's file is damaged, so that the voter can't start.
	ErrDamaged = errors.New("is damaged")
	// ErrNothingToRecover reports that Config.Recover is set and the directory is empty.
	ErrNothingToRecover = errors.New("holds nothing to recover")
)

// Config is the configuration of a voter.
type Config struct {
	Dir       string           // directory of the log and the snapshots; Open creates it
	ID        string           // the voter's name, which must never change
	Streams   raft.StreamLayer // connections to and from the other voters; Close closes it
	Bootstrap bool             // if Dir is empty, start a new site with this voter alone
	// Recover makes this store the only voter, with the state in Dir. It is for a site that has permanently lost its
	// other voters.
	Recover bool
	// HeartbeatTimeout is the time without contact to the leader after which a follower starts an election. The other
	// timeouts derive from it.
	HeartbeatTimeout time.Duration
	Log              io.Writer // receives raft's warnings and errors
	// InjectWriteError is for tests. If set, it is called before each write to the log, which fails with its error.
	InjectWriteError func() error
}

const (
	retainedSnapshots = 2
	snapshotThreshold = 1024 // entries since the last snapshot
	trailingLogs      = 256  // entries before a snapshot that are retained for lagging voters
	maxAppendEntries  = 16   // entries per RPC
	maxPooledConns    = 3    // idle connections to each voter
	boltOpenTimeout   = 5 * time.Second
	// LogFileName is the name of the log file in Config.Dir.
	LogFileName = "log.bolt"
)

// Store is one voter or non-voter. Its methods are safe for concurrent use.
type Store struct {
	raft        *raft.Raft
	transport   *transport
	logs        *raftbolt.BoltStore
	log         *monitoredLog // wraps logs
	fsm         *stateMachine
	id          string
	callTimeout time.Duration // of an RPC to a voter, and of a proposal
}

// Open starts a voter, which Close stops. If its directory can't be read, the error names the file, and nothing in the
// directory is replaced. The error may match ErrDamaged or ErrNothingToRecover.
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
		return nil, fmt.Errorf("open the voter's snapshots: %w", err)
	}
	// MaxRPCsInFlight 1 disables pipelining: pipelined RPCs bypass the methods of transport. One RPC at a time is
	// enough for a state that changes once in seconds.
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

// openLog verifies and opens the log in a directory, which it creates if it does not exist.
func openLog(dir string) (*raftbolt.BoltStore, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create the voter's directory: %w", err)
	}
	path := filepath.Join(dir, LogFileName)
	if err := verifyLogFile(path); err != nil {
		return nil, fmt.Errorf("%s %w: %w; see \"A voter's store is damaged\" on the operators' page", path, ErrDamaged, err)
	}
	logs, err := raftbolt.New(raftbolt.Options{Path: path, BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("%s: %w (is another agent using this directory?)", path, err)
	}
	return logs, nil
}

// newRaftConfig returns raft's configuration of a voter.
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

// initialize recovers the site from the directory if config.Recover is set, and bootstraps a site if config.Bootstrap
// is set and the directory has no state.
func (s *Store) initialize(config Config, raftConfig *raft.Config, snapshots raft.SnapshotStore) error {
	hasState, err := raft.HasExistingState(s.logs, s.logs, snapshots)
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(config.Dir, LogFileName), err)
	}
	soleVoter := raft.Configuration{Servers: []raft.Server{{ID: raftConfig.LocalID, Address: s.transport.LocalAddr()}}}
	switch {
	case config.Recover && !hasState:
		return fmt.Errorf("%s %w", config.Dir, ErrNothingToRecover)
	case config.Recover:
		// RecoverCluster replays the log on the state machine that it receives, which must not be used afterwards.
		if err := raft.RecoverCluster(raftConfig, newStateMachine(), s.logs, s.logs, snapshots, s.transport, soleVoter); err != nil {
			return fmt.Errorf("recover: %w", err)
		}
	case config.Bootstrap && !hasState:
		if err := raft.BootstrapCluster(raftConfig, s.logs, s.logs, snapshots, s.transport, soleVoter); err != nil {
			return fmt.Errorf("bootstrap a site: %w", err)
		}
	}
	return nil
}

// Close stops the voter and closes its streams. Committed entries remain on its disk. It must be called once.
func (s *Store) Close() error {
	// Raft must shut down before a blocked write is released: otherwise it would continue after the failed write.
	shutdown := s.raft.Shutdown()
	close(s.log.released)
	err := shutdown.Error()
	return errors.Join(err, s.transport.Close(), s.logs.Close())
}

// View calls read with this voter's state, which is committed but may be stale. The state must neither be modified, nor
// be used after read has returned.
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

// VerifyLeader returns nil once a majority has confirmed that this voter leads and its state contains all entries that
// were committed before the call. Otherwise it returns an error that matches ErrNotLeader.
func (s *Store) VerifyLeader() error {
	if s.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	if err := s.raft.Barrier(s.callTimeout).Error(); err != nil {
		return fmt.Errorf("%w (%w)", ErrNotLeader, err) // not ErrOutcomeUnknown: a barrier changes nothing
	}
	return nil
}

// LeadershipChanged returns a channel that receives true each time this voter becomes the leader, and false each time
// it loses the leadership. All callers share one channel.
func (s *Store) LeadershipChanged() <-chan bool { return s.raft.LeaderCh() }

// Leader returns the name and address of the leader that this voter follows, empty if there is none.
func (s *Store) Leader() (id, address string) {
	leaderAddress, leaderID := s.raft.LeaderWithID()
	return string(leaderID), string(leaderAddress)
}

// IsLeader reports whether this voter considers itself the leader. It may be stale; see VerifyLeader.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }
