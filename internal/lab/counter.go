package lab

import (
	"net"
	"time"

	"elderyard/internal/standin/counter"
	"elderyard/internal/standin/link"
	"elderyard/internal/standin/respstore"
)

// sharedCounter is what holds the site's counts, and what can be done to it.
type sharedCounter interface {
	Links() []*link.Link
	SetFaults(counter.Faults)
	Split(half map[string]int)
	Heal(keep int)
	Reset()
	Close()
}

// openCounter starts the stand-in that the site asks for.
func (s *Site) openCounter(ways []*link.Link) (sharedCounter, error) {
	if s.Store == storeRESP {
		listeners := make([]net.Listener, len(ways))
		for i, w := range ways {
			listeners[i] = w
		}
		return &store{respstore.NewWithListeners(nil, "", s.Seed, listeners...), ways}, nil
	}
	return counter.Start(counter.Config{PerSecond: max(950, 10*s.Rate), Parts: 2, Service: time.Millisecond, Conns: 32,
		Idle: 10 * time.Second, Seed: s.Seed, MaxRecords: maxCounterRecords}, ways...)
}

// store is a RESP store in the counter's place.
type store struct {
	*respstore.Store
	ways []*link.Link
}

// Links returns the links that lead to the store.
func (s *store) Links() []*link.Link { return s.ways }

// SetFaults sets the faults that the store injects into its answers.
func (s *store) SetFaults(t counter.Faults) { s.Store.SetRandomFaults(respstore.RandomFaults(t)) }

// Reset deletes all counters.
func (s *store) Reset() { s.DeleteAll() }
