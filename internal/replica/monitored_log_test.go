package replica

import (
	"errors"
	"testing"

	"github.com/hashicorp/raft"

	"elderyard/internal/testwait"
)

// TestFailedWriteAfterTruncationBlocks: a write that fails right after a truncation must block until the store is
// closed, otherwise raft would continue with a log that lacks entries which it counts as stored.
func TestFailedWriteAfterTruncationBlocks(t *testing.T) {
	full := false
	log := newMonitoredLog(raft.NewInmemStore(), func() error {
		if full {
			return errors.New("no space left on device")
		}
		return nil
	})
	for i := range uint64(5) {
		testwait.Must(t, log.StoreLog(&raft.Log{Index: i + 1, Term: 1}))
	}
	testwait.Must(t, log.DeleteRange(1, 2)) // compaction: a failed write after it must return its error
	full = true
	if err := log.StoreLog(&raft.Log{Index: 6, Term: 2}); err == nil {
		t.Fatal("the write succeeded")
	}
	full = false
	testwait.Must(t, log.DeleteRange(4, 5))
	testwait.Must(t, log.StoreLog(&raft.Log{Index: 4, Term: 2})) // a successful write clears the truncation
	testwait.Must(t, log.DeleteRange(4, 4))
	full = true
	done := make(chan error, 1)
	go func() { done <- log.StoreLog(&raft.Log{Index: 4, Term: 3}) }()
	select {
	case <-log.failed:
	case err := <-done:
		t.Fatalf("the write returned: %v", err)
	}
	select {
	case err := <-done:
		t.Fatalf("the write returned: %v", err)
	default:
	}
	close(log.released)
	if err := <-done; err == nil {
		t.Fatal("the write succeeded")
	}
}
