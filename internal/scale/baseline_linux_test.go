package scale

import (
	"fmt"
	"testing"
	"time"

	"elderyard/internal/wait"
)

const (
	reportEvery = 2 * time.Second // the agent's default
	// measuredHeartbeat is longer than the default: a busy machine must not cost the
	// lead, which would be measured as well.
	measuredHeartbeat = 5 * time.Second
)

// TestBaseline measures a site at rest, and whole files sent as revisions are.
func TestBaseline(t *testing.T) {
	if !*long {
		t.Skip("figures are asked for by -scale-long")
	}
	results := newResults(t)
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := startSiteWith(t, ClusterOptions{Voters: *voters, Heartbeat: measuredHeartbeat}, FleetOptions{Size: n, ReportEvery: reportEvery})
			s.apply(1)
			s.measureIdle(results)
			s.measureWholeFile(results)
		})
	}
}

// usages are what the leader and the busiest of the others use.
type usages struct {
	at            time.Time
	leader, other Usage
}

// usages reads what the control processes use. The other one is the same at each
// call for as long as the leader is.
func (s *site) usages() (u usages) {
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
		if u.other, err = others[0].Usage(); err != nil {
			s.t.Fatal(err)
		}
	}
	return u
}

// measureIdle measures reports alone.
func (s *site) measureIdle(r *Results) {
	s.t.Helper()
	n := float64(len(s.fleet.Gateways))
	before, counts := s.usages(), s.fleet.Counts()
	wait.For(s.t.Context(), *idleFor)
	after, counted := s.usages(), s.fleet.Counts().Minus(counts)
	seconds := after.at.Sub(before.at).Seconds()

	r.Add("agent.bytes_per_second", "B/s", n, float64(counted.Bytes())/n/seconds)
	r.Add("agent.messages_per_second", "1/s", n, float64(counted.Messages)/n/seconds)
	r.Add("leader.cpu_cores", "cores", n, (after.leader.CPU-before.leader.CPU).Seconds()/seconds)
	r.Add("leader.memory_mb", "MB", n, float64(after.leader.ResidentBytes)/megabyte)
	r.Add("leader.bytes_per_second", "B/s", n, float64(after.leader.IOBytes-before.leader.IOBytes)/seconds)
	if *voters > 1 {
		r.Add("voter.cpu_cores", "cores", n, (after.other.CPU-before.other.CPU).Seconds()/seconds)
		r.Add("voter.memory_mb", "MB", n, float64(after.other.ResidentBytes)/megabyte)
		r.Add("voter.bytes_per_second", "B/s", n, float64(after.other.IOBytes-before.other.IOBytes)/seconds)
	}
}

// measureWholeFile measures changes of one entry in a large file.
func (s *site) measureWholeFile(r *Results) {
	s.t.Helper()
	n := float64(len(s.fleet.Gateways))
	s.apply(*entries) // the first one is no change of one entry
	for range *changes {
		for _, p := range s.cluster.Processes {
			if err := p.ResetPeak(); err != nil {
				s.t.Fatal(err)
			}
		}
		before, counts := s.usages(), s.fleet.Counts()
		took := s.apply(*entries)
		after, counted := s.usages(), s.fleet.Counts().Minus(counts)

		// These two go with the file's entries.
		r.Add("file.bytes_per_change", "B", float64(*entries), float64(counted.Received)/n)
		r.Add("file.leader_peak_mb", "MB", float64(*entries), float64(after.leader.PeakBytes)/megabyte)
		r.Add("file.leader_peak_mb_by_gateways", "MB", n, float64(after.leader.PeakBytes)/megabyte)
		r.Add("file.in_force_seconds", "s", n, took.Seconds())
		r.Add("file.leader_bytes_per_change", "B", n, float64(after.leader.IOBytes-before.leader.IOBytes))
		r.Add("file.leader_cpu_seconds_per_change", "s", n, (after.leader.CPU - before.leader.CPU).Seconds())
		r.Add("file.voter_peak_mb", "MB", n, float64(after.other.PeakBytes)/megabyte)
		s.t.Logf("%.0f gateways, %d voters, a file of %d bytes: in force everywhere after %v; %.0f bytes a gateway; leader %d bytes of I/O, %v CPU, peak %d MB; another voter's peak %d MB",
			n, *voters, len(WholeFile(len(s.fleet.Gateways), *entries, s.edits)), took.Round(time.Millisecond), float64(counted.Received)/n,
			after.leader.IOBytes-before.leader.IOBytes, after.leader.CPU-before.leader.CPU, after.leader.PeakBytes/megabyte, after.other.PeakBytes/megabyte)
	}
}
