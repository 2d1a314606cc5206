package gateway

import (
	"fmt"
	"hash/fnv"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	sharedIDSlots  = 1 << 15
	sharedIDProbes = 16                // slots in which an ID may stand
	sharedIDBytes  = 8                 // of a slot
	idTimeMask     = uint64(1)<<16 - 1 // the part of a slot that holds the time, in seconds; the rest identifies the ID
)

// sharedIDs remembers the IDs that the processes of an upgrade have accepted recently. Both serve for a while, and an ID
// that comes again may come to the other one. It is a hash table in a file that both have mapped; a slot is written by one
// atomic operation, and an ID stands in the first slot of its probes that was free. If all are in use the oldest is
// replaced. A nil table remembers nothing.
type sharedIDs struct {
	slots *[sharedIDSlots]atomic.Uint64
	span  time.Duration // for which an ID is remembered
}

// openSharedIDs maps the table of the gateway with the given name. Without a directory there is none.
func openSharedIDs(dir, name string, span time.Duration) (*sharedIDs, error) {
	if dir == "" {
		return nil, nil
	}
	file, err := os.OpenFile(filepath.Join(dir, "elderyard-"+url.PathEscape(name)+"-ids"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("shared IDs: %w", err)
	}
	defer file.Close()
	const size = sharedIDSlots * sharedIDBytes
	if err := file.Truncate(size); err != nil { // leaves what another process has written
		return nil, fmt.Errorf("shared IDs: %w", err)
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("shared IDs: %w", err)
	}
	return &sharedIDs{slots: (*[sharedIDSlots]atomic.Uint64)(unsafe.Pointer(&memory[0])), span: span}, nil
}

// add records an ID and reports whether it is new to all processes.
func (s *sharedIDs) add(id string, now time.Time) bool {
	if s == nil {
		return true
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	first, identity := hash.Sum64()%sharedIDSlots, hash.Sum64()&^idTimeMask
	entry := identity | uint64(now.Unix())&idTimeMask
	for {
		slot, previous, known := s.find(first, identity, now)
		if known {
			return false
		}
		if slot.CompareAndSwap(previous, entry) {
			return true
		}
	}
}

// find looks for an ID, and otherwise returns the slot to write it to and what stands there.
func (s *sharedIDs) find(first, identity uint64, now time.Time) (free *atomic.Uint64, previous uint64, known bool) {
	oldestAge := time.Duration(-1)
	for probe := range uint64(sharedIDProbes) {
		slot := &s.slots[(first+probe)%sharedIDSlots]
		entry := slot.Load()
		age := entryAge(entry, now)
		if entry&^idTimeMask == identity && entry != 0 && age <= s.span {
			return nil, 0, true
		}
		if entry == 0 || age > s.span {
			age = s.span + time.Second // the first of these is as good as any
		}
		if age > oldestAge {
			free, previous, oldestAge = slot, entry, age
		}
	}
	return free, previous, false
}

// entryAge returns how long ago an entry was written.
func entryAge(entry uint64, now time.Time) time.Duration {
	seconds := (uint64(now.Unix()) - entry) & idTimeMask
	return time.Duration(seconds) * time.Second
}
