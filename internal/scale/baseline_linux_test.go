package scale

import (
	"fmt"
	"testing"
	"time"

	"elderyard/internal/wait"
)

const (
	reportInterval = 2 * time.Second // default of the agent
	// measuredHeartbeat is longer than the default, so that a busy machine causes no change of leader, whose cost
	// would be measured as well.
	measuredHeartbeat = 5 * time.Second
)

// TestBaseline measures a site at rest, and the rollout of site files as revisions.
func TestBaseline(t *testing.T) {
	if !*longRun {
		t.Skip("measurements need -scale-long")
	}
	results := newResults(t)
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := startSiteWith(t, ClusterOptions{Voters: *voters, Heartbeat: measuredHeartbeat}, FleetOptions{Size: n, ReportInterval: reportInterval})
			s.apply(1)
			s.measureIdle(results)
			s.measureSiteFile(results)
		})
	}
}

// controlUsage is the resource usage of the leader and of one follower at a time.
type controlUsage struct {
	at               time.Time
	leader, follower Usage
}

// controlUsage returns the usage of the leader and of the first other running process. The follower is the same one in
// each call while the leader and the running processes stay the same.
func (s *site) controlUsage() (u controlUsage) {
	s.t.Helper()
	leader, others, err := s.cluster.Leader(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	u.at = time.Now()
	if u.leader, err = leader.Usage(); err != nil {
		s.t.Fatal(err)
	}
	if len(others) > 0 {
		if u.follower, err = others[0].Usage(); err != nil {
			s.t.Fatal(err)
		}
	}
	return u
}

// measureIdle measures reports without changes.
func (s *site) measureIdle(r *Results) {
	s.t.Helper()
	n := float64(len(s.fleet.Gateways))
	before, counts := s.controlUsage(), s.fleet.Counts()
	wait.For(s.t.Context(), *idleDuration)
	after, counted := s.controlUsage(), s.fleet.Counts().Sub(counts)
	seconds := after.at.Sub(before.at).Seconds()

	r.Add("agent.bytes_per_second", "B/s", n, float64(counted.Bytes())/n/seconds)
	r.Add("agent.messages_per_second", "1/s", n, float64(counted.Messages)/n/seconds)
	r.Add("leader.cpu_cores", "cores", n, (after.leader.CPU-before.leader.CPU).Seconds()/seconds)
	r.Add("leader.memory_mb", "MB", n, float64(after.leader.ResidentBytes)/megabyte)
	r.Add("leader.bytes_per_second", "B/s", n, float64(after.leader.IOBytes-before.leader.IOBytes)/seconds)
	if *voters > 1 {
		r.Add("voter.cpu_cores", "cores", n, (after.follower.CPU-before.follower.CPU).Seconds()/seconds)
		r.Add("voter.memory_mb", "MB", n, float64(after.follower.ResidentBytes)/megabyte)
		r.Add("voter.bytes_per_second", "B/s", n, float64(after.follower.IOBytes-before.follower.IOBytes)/seconds)
	}
}

// measureSiteFile measures changes of one entry in a large site file.
func (s *site) measureSiteFile(r *Results) {
	s.t.Helper()
	n := float64(len(s.fleet.Gateways))
	s.apply(*entryCount) // not measured: the first revision changes more than one entry
	for range *changeCount {
		for _, p := range s.cluster.Processes {
			if err := p.ResetPeak(); err != nil {
				s.t.Fatal(err)
			}
		}
		before, counts := s.controlUsage(), s.fleet.Counts()
		took := s.apply(*entryCount)
		after, counted := s.controlUsage(), s.fleet.Counts().Sub(counts)

		// These two depend on the number of entries.
		r.Add("file.bytes_per_change", "B", float64(*entryCount), float64(counted.Received)/n)
		r.Add("file.leader_peak_mb", "MB", float64(*entryCount), float64(after.leader.PeakBytes)/megabyte)
		r.Add("file.leader_peak_mb_by_gateways", "MB", n, float64(after.leader.PeakBytes)/megabyte)
		r.Add("file.in_force_seconds", "s", n, took.Seconds())
		r.Add("file.leader_bytes_per_change", "B", n, float64(after.leader.IOBytes-before.leader.IOBytes))
		r.Add("file.leader_cpu_seconds_per_change", "s", n, (after.leader.CPU - before.leader.CPU).Seconds())
		r.Add("file.voter_peak_mb", "MB", n, float64(after.follower.PeakBytes)/megabyte)
		s.t.Logf("%.0f gateways, %d voters, site file of %d bytes: in force at all gateways after %v; %.0f bytes per gateway; leader %d bytes of I/O, %v CPU, peak %d MB; peak of another voter %d MB",
			n, *voters, len(SiteFile(len(s.fleet.Gateways), *entryCount, s.edits)), took.Round(time.Millisecond), float64(counted.Received)/n,
			after.leader.IOBytes-before.leader.IOBytes, after.leader.CPU-before.leader.CPU, after.leader.PeakBytes/megabyte, after.follower.PeakBytes/megabyte)
	}
}
