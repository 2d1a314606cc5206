package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// mostFetches is how many gateways of a fleet read a whole file at once. Real
// ones would all do so, each on its own machine.
const mostFetches = 64

// FleetOptions describe the hollow gateways of a site.
type FleetOptions struct {
	Size        int
	Servers     []string // addresses of the control machines
	ReportEvery time.Duration
	RecordsDir  string // folder of the gateways' copies of the records; "": they keep none
	RecordBytes int    // budget of a copy in bytes a second; 0: the default
}

// Fleet is many hollow gateways in this process.
type Fleet struct {
	Gateways []*Gateway

	options FleetOptions
	fetches chan struct{}
	stop    context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	inForce map[uint64]*arrival // by revision
}

// arrival is how far a revision has come.
type arrival struct {
	gateways   int
	everywhere chan struct{} // closed when all gateways have it
	at         time.Time     // when it was
}

// StartFleet starts the gateways. Their first reports spread over one interval.
// Copies of the records are started by StartRecords.
func StartFleet(o FleetOptions) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{options: o, fetches: make(chan struct{}, mostFetches), stop: cancel, inForce: map[uint64]*arrival{}}
	for i := range o.Size {
		f.Gateways = append(f.Gateways, newGateway(f, i))
	}
	for i, g := range f.Gateways {
		first := o.ReportEvery * time.Duration(i) / time.Duration(o.Size)
		f.running.Go(func() { g.run(ctx, first) })
	}
	return f
}

// copyDir is the folder of a gateway's copy of the records.
func (f *Fleet) copyDir(g *Gateway) string { return filepath.Join(f.options.RecordsDir, g.Name) }

// StartRecords starts all copies of the records at once.
func (f *Fleet) StartRecords() error {
	for _, g := range f.Gateways {
		if err := g.Records.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends the gateways.
func (f *Fleet) Stop() {
	f.stop()
	for _, g := range f.Gateways {
		f.running.Go(g.Records.Stop)
	}
	f.running.Wait()
}

// Histories returns the lives of all copies of the records, by gateway.
func (f *Fleet) Histories() map[string][]Life {
	histories := map[string][]Life{}
	for _, g := range f.Gateways {
		histories[g.Name] = g.Records.Lives()
	}
	return histories
}

func (f *Fleet) arrivalOf(revision uint64) *arrival {
	a := f.inForce[revision]
	if a == nil {
		a = &arrival{everywhere: make(chan struct{})}
		f.inForce[revision] = a
	}
	return a
}

func (f *Fleet) noteInForce(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.arrivalOf(revision)
	a.gateways++
	if a.gateways == len(f.Gateways) {
		a.at = time.Now()
		close(a.everywhere)
	}
}

// AwaitRevision waits until all gateways have a revision in force, and returns
// when that was.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) (time.Time, error) {
	f.mu.Lock()
	a := f.arrivalOf(revision)
	f.mu.Unlock()
	select {
	case <-a.everywhere:
		f.mu.Lock()
		defer f.mu.Unlock()
		return a.at, nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return time.Time{}, fmt.Errorf("revision %d is in force at %d of %d gateways: %w", revision, a.gateways, len(f.Gateways), ctx.Err())
	}
}

// Counts are sums over all gateways.
type Counts struct {
	Received int64 // bytes
	Sent     int64 // bytes
	Messages int64 // calls that were answered
}

// Bytes returns all bytes.
func (c Counts) Bytes() int64 { return c.Received + c.Sent }

// Minus returns what has been counted since an earlier count.
func (c Counts) Minus(before Counts) Counts {
	return Counts{c.Received - before.Received, c.Sent - before.Sent, c.Messages - before.Messages}
}

// Counts returns what has been counted since the start.
func (f *Fleet) Counts() (sum Counts) {
	for _, g := range f.Gateways {
		sum.Received += g.Traffic.Received()
		sum.Sent += g.Traffic.Sent()
		sum.Messages += g.Messages()
	}
	return sum
}
