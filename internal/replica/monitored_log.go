package replica

import (
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// monitoredLog is the log's store as raft sees it. It records the result of the last write, and blocks raft where going on
// after a failed write would break the log.
//
// When a follower's log is truncated to replace entries that lost, and the replacements can't be written, raft believes
// that the truncated entries still exist. It would append behind the gap, count those entries as stored, or panic at one
// that is committed and missing. So a write that fails right after a truncation does not return before the store is
// closed: until then the voter answers no other. The log on disk is intact, and the next Open reads it anew.
type monitoredLog struct {
	raft.LogStore
	injectWriteError func() error
	err              atomic.Pointer[error] // of the last write; nil: it succeeded

	truncated atomic.Bool   // the log's end was deleted, and nothing has been written since
	failed    chan struct{} // closed when a write blocks, so that the store must be closed
	released  chan struct{} // closed when the store is closed
}

func newMonitoredLog(logs raft.LogStore, injectWriteError func() error) *monitoredLog {
	return &monitoredLog{LogStore: logs, injectWriteError: injectWriteError, failed: make(chan struct{}), released: make(chan struct{})}
}

// DeleteRange deletes entries, and records whether these are the log's end.
func (l *monitoredLog) DeleteRange(from, to uint64) error {
	last, err := l.LogStore.LastIndex()
	if err != nil {
		return err
	}
	if to >= last { // else it is compaction, after a snapshot
		l.truncated.Store(true)
	}
	return l.LogStore.DeleteRange(from, to)
}

// StoreLog stores one entry, as StoreLogs does.
func (l *monitoredLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries. If that fails after a truncation, it closes failed and returns once released is closed.
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
		close(l.failed) // once: raft writes from one goroutine, which blocks here
		<-l.released
	}
	return err
}

// lastError returns the error of the last write, nil if it succeeded.
func (l *monitoredLog) lastError() error {
	if err := l.err.Load(); err != nil {
		return *err
	}
	return nil
}
