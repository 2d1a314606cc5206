package scale

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"elderyard/internal/wait"
)

var faultSeeds = flag.Int("scale-fault-seeds", 1, "seeds of random faults, from -scale-seed on")

const zoneCount = 3

// zoneGateways returns the gateways of a zone.
func (s *recordsSite) zoneGateways(zone int) (gateways []*Gateway) {
	for i, g := range s.fleet.Gateways {
		if i%zoneCount == zone {
			gateways = append(gateways, g)
		}
	}
	return gateways
}

// versionCounts returns the number of running copies by the version in force.
func (s *recordsSite) versionCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, g := range s.fleet.Gateways {
		if version, running := g.Records.Version(); running {
			counts[version]++
		}
	}
	return counts
}

// followers returns count running control processes that are not the leader.
func (s *recordsSite) followers(count int) []*ControlProcess {
	s.t.Helper()
	_, others, err := s.cluster.Leader(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return others[:count]
}

const changesPerFault = 20
const changeInterval = 500 * time.Millisecond

// applyChanges makes count changes, one every changeInterval.
func (s *recordsSite) applyChanges(count int) {
	s.t.Helper()
	for range count {
		s.applyChange(s.catalog.Edit())
		wait.For(s.t.Context(), changeInterval)
	}
}

// loseZone ends the gateways of one zone, a third of all, and two control processes, makes changes, and restarts all
// of them at once.
func (s *recordsSite) loseZone() {
	s.t.Helper()
	killed := s.followers(2)
	for _, p := range killed {
		s.requireNoError(p.Kill())
	}
	s.stopCopies(s.zoneGateways(0))
	s.applyChanges(changesPerFault)
	survivorsTook := s.awaitHead()
	for _, p := range killed {
		s.requireNoError(p.Start())
	}
	began := time.Now()
	s.startCopies(s.zoneGateways(0))
	s.awaitHead()
	s.t.Logf("zone lost (%d gateways, 2 control processes): the other gateways had all of %d changes %v after the last one; after the restart, all gateways converged in %v",
		len(s.zoneGateways(0)), changesPerFault, survivorsTook.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	s.checkHistories()
}

func (s *recordsSite) stopCopies(gateways []*Gateway) {
	var stops sync.WaitGroup
	for _, g := range gateways {
		stops.Go(g.Records.Stop)
	}
	stops.Wait()
}

func (s *recordsSite) startCopies(gateways []*Gateway) {
	var starts sync.WaitGroup
	for _, g := range gateways {
		starts.Go(func() {
			if err := g.Records.Start(); err != nil {
				s.t.Error(err)
			}
		})
	}
	starts.Wait()
}

func (s *recordsSite) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// loseLeader kills the leader while a change is in progress.
func (s *recordsSite) loseLeader() {
	s.t.Helper()
	leader, _, err := s.cluster.Leader(s.t.Context())
	s.requireNoError(err)
	var killing sync.WaitGroup
	killing.Go(func() {
		wait.For(s.t.Context(), time.Millisecond)
		if err := leader.Kill(); err != nil {
			s.t.Error(err)
		}
	})
	accepted := s.applyChange(s.catalog.Edit())
	killing.Wait()
	took := s.awaitHead()
	s.requireNoError(leader.Start())
	s.requireNoError(s.cluster.AwaitLeader(s.t.Context()))
	s.t.Logf("leader killed during a change: acknowledged after %v, in force at all gateways %v later", accepted.AcknowledgedAt.Sub(accepted.RequestedAt).Round(time.Millisecond), took.Round(time.Millisecond))
	s.checkHistories()
}

// partitionRegion suspends two control processes and blocks the gateways of one zone, a third of all, from all control
// processes, so that these gateways reach no server.
func (s *recordsSite) partitionRegion() {
	s.t.Helper()
	suspended := s.followers(2)
	for _, p := range suspended {
		s.requireNoError(p.Suspend())
	}
	for _, g := range s.zoneGateways(1) {
		g.Link.Block(s.cluster.Addresses()...)
	}
	s.t.Logf("region partitioned (%d gateways, 2 control processes): versions %v", len(s.zoneGateways(1)), s.versionCounts())
	began := time.Now()
	for time.Since(began) < *partitionDuration {
		s.applyChange(s.catalog.Edit())
		wait.For(s.t.Context(), changeInterval)
	}
	s.t.Logf("after %v: versions %v", time.Since(began).Round(time.Second), s.versionCounts())
	for _, p := range suspended {
		s.requireNoError(p.Resume())
	}
	for _, g := range s.zoneGateways(1) {
		g.Link.Heal()
	}
	s.t.Logf("partition healed: all gateways converged in %v", s.awaitHead().Round(time.Millisecond))
	s.checkHistories()
}

// fault is an active random fault and the function that ends it.
type fault struct {
	name string
	heal func()
}

// TestRecordsRandomFaults makes changes during random faults and checks the histories: no acknowledged change is lost,
// no version is partly in force, no gateway goes back to an earlier version, and all gateways converge after the last
// fault.
func TestRecordsRandomFaults(t *testing.T) {
	for seed := *randomSeed; seed < *randomSeed+uint64(*faultSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	const gateways, count, steps, maxFaults = 20, 300, 40, 4
	s := startRecordsSite(t, ClusterOptions{Voters: 5, Replicas: 1}, FleetOptions{Size: gateways, ReportInterval: 100 * time.Millisecond, RecordsBytesPerSecond: 200_000}, count)
	if err := s.fleet.StartRecords(); err != nil {
		t.Fatal(err)
	}
	s.awaitHead()
	random := rand.New(rand.NewPCG(seed, 2))
	var active []fault
	counts := map[string]int{}
	for range steps {
		s.applyChange(s.catalog.Edit())
		if len(active) == maxFaults || len(active) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(active))
			active[i].heal()
			active = append(active[:i], active[i+1:]...)
		}
		if f := s.randomFault(random); f.name != "" {
			counts[f.name]++
			active = append(active, f)
		}
	}
	for _, f := range active {
		f.heal()
	}
	s.applyChange(s.catalog.Edit())
	took := s.awaitHead()
	s.checkHistories()
	t.Logf("seed %d: %v; all gateways converged %v after the last fault", seed, counts, took.Round(time.Millisecond))
}

// randomFault starts a fault. It returns one without a name if the drawn fault is impossible now: the gateway is
// stopped already, or the site cannot lose another control process.
func (s *recordsSite) randomFault(random *rand.Rand) fault {
	g := s.fleet.Gateways[random.IntN(len(s.fleet.Gateways))]
	p := s.cluster.Processes[random.IntN(len(s.cluster.Processes))]
	switch random.IntN(7) {
	case 0:
		return s.killProcess(p)
	case 1:
		return s.suspendProcess(p)
	case 2:
		g.Link.Block(s.cluster.Addresses()...)
		return fault{"gateway partitioned", g.Link.Heal}
	case 6:
		g.Link.Corrupt()
		return fault{"gateway's responses corrupted", g.Link.Heal}
	case 3:
		if _, running := g.Records.Version(); !running {
			return fault{}
		}
		g.Records.Stop()
		return fault{"gateway stopped", func() { s.requireNoError(g.Records.Start()) }}
	case 4:
		if _, running := g.Records.Version(); !running {
			return fault{}
		}
		g.Records.Stop()
		s.requireNoError(g.Records.Erase())
		return fault{"gateway lost its disk", func() { s.requireNoError(g.Records.Start()) }}
	default:
		if _, running := g.Records.Version(); !running {
			return fault{}
		}
		g.Records.Stop()
		s.corruptDisk(random, g)
		return fault{"gateway's disk corrupted", func() { s.requireNoError(g.Records.Start()) }}
	}
}

// maxUnavailable is how many of the six control processes may be unavailable at once: without two of its five voters
// the site still has a majority and accepts changes.
const maxUnavailable = 2

func (s *recordsSite) canLose(p *ControlProcess) bool {
	unavailable := 0
	for _, other := range s.cluster.Processes {
		if !other.Running() || other.Suspended() {
			unavailable++
		}
	}
	return unavailable < maxUnavailable && p.Running() && !p.Suspended()
}

func (s *recordsSite) killProcess(p *ControlProcess) fault {
	if !s.canLose(p) {
		return fault{}
	}
	s.requireNoError(p.Kill())
	return fault{"control process killed", func() { s.requireNoError(p.Start()) }}
}

func (s *recordsSite) suspendProcess(p *ControlProcess) fault {
	if !s.canLose(p) {
		return fault{}
	}
	s.requireNoError(p.Suspend())
	return fault{"control process suspended", func() { s.requireNoError(p.Resume()) }}
}

// corruptDisk alters or truncates a file of a stopped copy. The copy may then start with an older version, so the next
// run is recorded as a cold start.
func (s *recordsSite) corruptDisk(random *rand.Rand, g *Gateway) {
	s.t.Helper()
	files, err := os.ReadDir(s.fleet.copyDir(g))
	if errors.Is(err, os.ErrNotExist) || len(files) == 0 {
		return
	}
	s.requireNoError(err)
	path := filepath.Join(s.fleet.copyDir(g), files[random.IntN(len(files))].Name())
	content, err := os.ReadFile(path)
	s.requireNoError(err)
	if len(content) == 0 {
		return
	}
	offset := random.IntN(len(content))
	if random.IntN(2) == 0 {
		content = content[:offset]
	} else {
		content[offset] ^= 0x55
	}
	s.requireNoError(os.WriteFile(path, content, 0o600))
	g.Records.MarkCorrupted()
}
