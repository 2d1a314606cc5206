package replica

import (
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// monitoredLog wraps raft's log store. It records the result of the last write, and blocks raft where continuing after
// a failed write would corrupt the log.
//
// When a follower's log is truncated to replace conflicting entries, and the replacements can't be written, raft
// assumes that the truncated entries still exist. It would append after the gap, count the missing entries as stored,
// or panic at one that is committed and missing. So a write that fails right after a truncation does not return before
// the store is closed: until then the voter responds to no other voter. The log on disk is intact, and the next Open
// reads it again.
type monitoredLog struct {
	raft.LogStore
	injectWriteError func() error
	err              atomic.Pointer[error] // of the last write; nil if it succeeded

	truncated atomic.Bool   // the end of the log was deleted, and nothing has been written since
	failed    chan struct{} // closed when a write blocks: the store must then be closed
	released  chan struct{} // closed by Store.Close, which unblocks the write
}

func newMonitoredLog(logs raft.LogStore, injectWriteError func() error) *monitoredLog {
	return &monitoredLog{LogStore: logs, injectWriteError: injectWriteError, failed: make(chan struct{}), released: make(chan struct{})}
}

// DeleteRange deletes entries, and records a truncation of the log's end.
func (l *monitoredLog) DeleteRange(from, to uint64) error {
	last, err := l.LogStore.LastIndex()
	if err != nil {
		return err
	}
	if to >= last { // otherwise it is compaction after a snapshot
		l.truncated.Store(true)
	}
	return l.LogStore.DeleteRange(from, to)
}

// StoreLog stores one entry, as StoreLogs does.
func (l *monitoredLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries. If that fails after a truncation, it closes l.failed and blocks until l.released is closed.
func (l *monitoredLog) StoreLogs(entries []*raft.Log) (err error) {
	if l.injectWriteError != nil {
		err = l.injectWriteError()
	}
	if err == nil {
		err = l.LogStore.StoreLogs(entries)
	}
	if err == nil {
		l.err.Store(nil)
		l.truncated.Store(false)
		return nil
	}
	l.err.Store(&err)
	if l.truncated.Load() {
		close(l.failed) // at most once: raft writes from one goroutine, which blocks here
		<-l.released
	}
	return err
}

// lastError returns the error of the last write, or nil if it succeeded.
func (l *monitoredLog) lastError() error {
	if err := l.err.Load(); err != nil {
		return *err
	}
	return nil
}
