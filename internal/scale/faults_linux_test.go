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

const zones = 3

// zone returns the gateways of a zone.
func (s *recordsSite) zone(zone int) (list []*Gateway) {
	for i, g := range s.fleet.Gateways {
		if i%zones == zone {
			list = append(list, g)
		}
	}
	return list
}

// versions counts the copies that run by the version that they have in force.
func (s *recordsSite) versions() map[uint64]int {
	counts := map[uint64]int{}
	for _, g := range s.fleet.Gateways {
		if version, runs := g.Records.Version(); runs {
			counts[version]++
		}
	}
	return counts
}

// followers returns control processes that do not lead.
func (s *recordsSite) followers(count int) []*ControlProcess {
	s.t.Helper()
	_, others, err := s.cluster.Leader(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return others[:count]
}

const changesInFault = 20 // one every changePause
const changePause = 500 * time.Millisecond

func (s *recordsSite) changes(count int) {
	s.t.Helper()
	for range count {
		s.change(s.catalog.Edit())
		wait.For(s.t.Context(), changePause)
	}
}

// loseZone ends a third of the gateways and two control processes at once, and
// starts them again, all in one instant.
func (s *recordsSite) loseZone() {
	s.t.Helper()
	lost := s.followers(2)
	for _, p := range lost {
		s.must(p.Kill())
	}
	s.stopCopies(s.zone(0))
	s.changes(changesInFault)
	others := s.awaitHead()
	for _, p := range lost {
		s.must(p.Start())
	}
	began := time.Now()
	s.startCopies(s.zone(0))
	s.awaitHead()
	s.t.Logf("a zone lost (%d gateways, 2 control processes): the others had all of %d changes %v after the last; started again, all are one after %v",
		len(s.zone(0)), changesInFault, others.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	s.audit()
}

func (s *recordsSite) stopCopies(list []*Gateway) {
	var stops sync.WaitGroup
	for _, g := range list {
		stops.Go(g.Records.Stop)
	}
	stops.Wait()
}

func (s *recordsSite) startCopies(list []*Gateway) {
	var starts sync.WaitGroup
	for _, g := range list {
		starts.Go(func() {
			if err := g.Records.Start(); err != nil {
				s.t.Error(err)
			}
		})
	}
	starts.Wait()
}

func (s *recordsSite) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// loseLeader kills the leader while a change is on its way.
func (s *recordsSite) loseLeader() {
	s.t.Helper()
	leader, _, err := s.cluster.Leader(s.t.Context())
	s.must(err)
	var killing sync.WaitGroup
	killing.Go(func() {
		wait.For(s.t.Context(), time.Millisecond)
		if err := leader.Kill(); err != nil {
			s.t.Error(err)
		}
	})
	accepted := s.change(s.catalog.Edit())
	killing.Wait()
	took := s.awaitHead()
	s.must(leader.Start())
	s.must(s.cluster.AwaitLeader(s.t.Context()))
	s.t.Logf("the leader killed in the middle of a change: acknowledged after %v, in force everywhere %v after that", accepted.At.Sub(accepted.Asked).Round(time.Millisecond), took.Round(time.Millisecond))
	s.audit()
}

// cutRegion has two control processes stand still and takes a third of the gateways
// off all the others, so that these have nobody who answers.
func (s *recordsSite) cutRegion() {
	s.t.Helper()
	inside := s.followers(2)
	for _, p := range inside {
		s.must(p.Suspend())
	}
	for _, g := range s.zone(1) {
		g.Link.Cut(s.cluster.Addresses()...)
	}
	s.t.Logf("a region cut (%d gateways, 2 control processes): versions %v", len(s.zone(1)), s.versions())
	began := time.Now()
	for time.Since(began) < *cutFor {
		s.change(s.catalog.Edit())
		wait.For(s.t.Context(), changePause)
	}
	s.t.Logf("after %v: versions %v", time.Since(began).Round(time.Second), s.versions())
	for _, p := range inside {
		s.must(p.Resume())
	}
	for _, g := range s.zone(1) {
		g.Link.Heal()
	}
	s.t.Logf("healed: all are one after %v", s.awaitHead().Round(time.Millisecond))
	s.audit()
}

// fault is one random fault and what ends it.
type fault struct {
	name string
	heal func()
}

// TestRecordsRandomFaults has random faults beside changes, and rules from records
// alone that nothing acknowledged is lost, none is half in force, none goes back,
// and all are one after the last fault.
func TestRecordsRandomFaults(t *testing.T) {
	for seed := *daySeed; seed < *daySeed+uint64(*faultSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playFaults(t, seed) })
	}
}

func playFaults(t *testing.T, seed uint64) {
	const gateways, count, steps, mostFaults = 20, 300, 40, 4
	s := startRecordsSite(t, ClusterOptions{Voters: 5, Replicas: 1}, FleetOptions{Size: gateways, ReportEvery: 100 * time.Millisecond, RecordBytes: 200_000}, count)
	if err := s.fleet.StartRecords(); err != nil {
		t.Fatal(err)
	}
	s.awaitHead()
	random := rand.New(rand.NewPCG(seed, 2))
	var open []fault
	counts := map[string]int{}
	for range steps {
		s.change(s.catalog.Edit())
		if len(open) == mostFaults || len(open) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(open))
			open[i].heal()
			open = append(open[:i], open[i+1:]...)
		}
		if f := s.randomFault(random); f.name != "" {
			counts[f.name]++
			open = append(open, f)
		}
	}
	for _, f := range open {
		f.heal()
	}
	s.change(s.catalog.Edit())
	took := s.awaitHead()
	s.audit()
	t.Logf("seed %d: %v; all are one %v after the last fault", seed, counts, took.Round(time.Millisecond))
}

// randomFault begins a fault; one without a name is none, where the site could bear
// no more.
func (s *recordsSite) randomFault(random *rand.Rand) fault {
	g := s.fleet.Gateways[random.IntN(len(s.fleet.Gateways))]
	p := s.cluster.Processes[random.IntN(len(s.cluster.Processes))]
	switch random.IntN(7) {
	case 0:
		return s.killProcess(p)
	case 1:
		return s.suspendProcess(p)
	case 2:
		g.Link.Cut(s.cluster.Addresses()...)
		return fault{"gateway cut off", g.Link.Heal}
	case 6:
		g.Link.Damage()
		return fault{"gateway's answers damaged", g.Link.Heal}
	case 3:
		if _, runs := g.Records.Version(); !runs {
			return fault{}
		}
		g.Records.Stop()
		return fault{"gateway stopped", func() { s.must(g.Records.Start()) }}
	case 4:
		if _, runs := g.Records.Version(); !runs {
			return fault{}
		}
		g.Records.Stop()
		s.must(g.Records.Erase())
		return fault{"gateway lost its disk", func() { s.must(g.Records.Start()) }}
	default:
		if _, runs := g.Records.Version(); !runs {
			return fault{}
		}
		g.Records.Stop()
		s.damage(random, g)
		return fault{"gateway's disk damaged", func() { s.must(g.Records.Start()) }}
	}
}

// mostAway is how many of the six control processes may be away at once: with two
// of five voters away the others can still change something.
const mostAway = 2

func (s *recordsSite) mayLose(p *ControlProcess) bool {
	away := 0
	for _, other := range s.cluster.Processes {
		if !other.Running() || other.Suspended() {
			away++
		}
	}
	return away < mostAway && p.Running() && !p.Suspended()
}

func (s *recordsSite) killProcess(p *ControlProcess) fault {
	if !s.mayLose(p) {
		return fault{}
	}
	s.must(p.Kill())
	return fault{"control process killed", func() { s.must(p.Start()) }}
}

func (s *recordsSite) suspendProcess(p *ControlProcess) fault {
	if !s.mayLose(p) {
		return fault{}
	}
	s.must(p.Suspend())
	return fault{"control process stands still", func() { s.must(p.Resume()) }}
}

// damage changes or cuts off a file of a stopped copy. What a gateway then takes up
// is older at most: the ledger is told that it begins anew.
func (s *recordsSite) damage(random *rand.Rand, g *Gateway) {
	s.t.Helper()
	files, err := os.ReadDir(s.fleet.copyDir(g))
	if errors.Is(err, os.ErrNotExist) || len(files) == 0 {
		return
	}
	s.must(err)
	path := filepath.Join(s.fleet.copyDir(g), files[random.IntN(len(files))].Name())
	text, err := os.ReadFile(path)
	s.must(err)
	if len(text) == 0 {
		return
	}
	at := random.IntN(len(text))
	if random.IntN(2) == 0 {
		text = text[:at]
	} else {
		text[at] ^= 0x55
	}
	s.must(os.WriteFile(path, text, 0o600))
	g.Records.NoteDamage()
}
