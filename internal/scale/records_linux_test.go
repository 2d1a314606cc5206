package scale

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
	"elderyard/records"
)

var (
	recordsCount      = flag.Int("scale-records", 26_000, "routes and tenants, for -scale-long")
	dayDuration       = flag.Duration("scale-day", 3*time.Minute, "time that a day of 510 changes is pressed into, for -scale-long")
	randomSeed        = flag.Uint64("scale-seed", 1, "seed of the day and of random faults")
	partitionDuration = flag.Duration("scale-cut", 0, "time that a region is cut off for after the day, with a lost zone and a lost leader before; 0: none of them")
	withSiteFile      = flag.Bool("scale-whole", false, "measure whole files on the same site after the day")
	copiesDir         = flag.String("scale-copies", "", "folder for the gateways' copies of the records; each real one would have a disk of its own")
)

// recordsSite is a site whose gateways follow the records.
type recordsSite struct {
	*site
	catalog *Catalog
	ledger  Ledger
}

func startRecordsSite(t testing.TB, c ClusterOptions, f FleetOptions, count int) *recordsSite {
	t.Helper()
	c.Extra = map[string]any{"records": true}
	dir, err := os.MkdirTemp(*copiesDir, "copies")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	f.RecordsDir = dir
	s := &recordsSite{site: startSiteWith(t, c, f), catalog: NewCatalog(count, *randomSeed)}
	for _, operations := range s.catalog.Initial() {
		s.applyChange(operations)
	}
	return s
}

// applyChange makes one change through a running control process and records it in the ledger.
func (s *recordsSite) applyChange(operations []records.Operation) AcceptedChange {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	s.edits++
	change := agentapi.RecordsChange{IdempotencyKey: fmt.Sprintf("change-%d", s.edits), Operations: operations}
	requestedAt := time.Now()
	result, err := s.sendChange(ctx, change)
	if err != nil || result.Status != records.Accepted {
		s.t.Fatalf("change %d: %v, %+v", s.edits, err, result)
	}
	accepted := AcceptedChange{RequestedAt: requestedAt, AcknowledgedAt: time.Now(), Version: result.Version}
	if err := s.ledger.Accept(accepted, records.Change{IdempotencyKey: change.IdempotencyKey, Author: ledgerAuthor, Operations: operations}); err != nil {
		s.t.Fatal(err)
	}
	return accepted
}

// ledgerAuthor is the author of all changes in the ledger. The author is not part of the content.
const ledgerAuthor = "test"

// sendTimeout is the time after which a change is sent to another control process. The idempotency key makes the
// retry harmless.
const sendTimeout = 10 * time.Second

// sendChange sends a change to the running control processes in turn until one answers.
func (s *recordsSite) sendChange(ctx context.Context, change agentapi.RecordsChange) (result records.Result, err error) {
	for i := s.edits; ctx.Err() == nil; i++ {
		p := s.cluster.Processes[i%len(s.cluster.Processes)]
		if !p.Running() || p.Suspended() {
			continue
		}
		attemptCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		result, err = p.Client.ChangeRecords(attemptCtx, change)
		cancel()
		if err == nil {
			return result, nil
		}
		wait.For(ctx, pollInterval)
	}
	return result, errors.Join(err, ctx.Err())
}

// awaitHead waits until every running copy has the newest acknowledged version, and returns how long that took.
func (s *recordsSite) awaitHead() time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*waitTimeout)
	defer cancel()
	head, _ := s.ledger.Head()
	began := time.Now()
	err := pollUntil(ctx, func() error {
		behind := 0
		for _, g := range s.fleet.Gateways {
			if version, running := g.Records.Version(); running && version < head {
				behind++
			}
		}
		if behind > 0 {
			return fmt.Errorf("%d of %d gateways are behind version %d", behind, len(s.fleet.Gateways), head)
		}
		return nil
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return time.Since(began)
}

// checkHistories reports all violations in the histories of the gateways.
func (s *recordsSite) checkHistories() {
	s.t.Helper()
	violations := s.ledger.Check(s.fleet.Histories(), true)
	const maxPrinted = 10
	for _, v := range violations[:min(len(violations), maxPrinted)] {
		s.t.Errorf("%s: %s: %s", v.Gateway, v.Rule, v.Text)
	}
	if len(violations) > maxPrinted {
		s.t.Errorf("%d violations in total", len(violations))
	}
}

// restart restarts a gateway's copy, with its disk or without.
func (s *recordsSite) restart(g *Gateway, erase bool) {
	s.t.Helper()
	if err := g.Records.Restart(erase); err != nil {
		s.t.Error(err)
	}
}

// TestRecords makes changes at a small site while gateways restart, with and without their disks, and the leader is
// killed.
func TestRecords(t *testing.T) {
	const gateways, count, changes = 12, 300, 30
	s := startRecordsSite(t, ClusterOptions{Voters: 3, Replicas: 1}, FleetOptions{Size: gateways, ReportInterval: 100 * time.Millisecond}, count)
	if err := s.fleet.StartRecords(); err != nil {
		t.Fatal(err)
	}
	s.awaitHead()
	for i := range changes {
		s.applyChange(s.catalog.Edit())
		switch i {
		case changes / 3:
			s.restart(s.fleet.Gateways[0], false)
			s.restart(s.fleet.Gateways[1], true)
		case 2 * changes / 3:
			leader, _, err := s.cluster.Leader(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if err := leader.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.awaitHead()
	s.checkHistories()
	durations := s.ledger.PropagationTimes(s.fleet.Histories(), time.Time{})
	if durations.Count != changes || durations.Incomplete != 0 {
		t.Errorf("%d changes came into force at all gateways and %d did not, of %d", durations.Count, durations.Incomplete, changes)
	}
	lag, err := s.awaitReportedHead()
	if err != nil || lag.UpToDate < gateways {
		t.Errorf("%v, leader reports the newest version at %d agents", err, lag.UpToDate)
	}
}

// awaitReportedHead waits until the leader reports the newest records in force at all gateways.
func (s *recordsSite) awaitReportedHead() (lag agentapi.RecordsLag, err error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	return lag, pollUntil(ctx, func() error {
		leader, _, err := s.cluster.Leader(ctx)
		if err != nil {
			return err
		}
		if lag, err = leader.Client.RecordsLag(ctx); err != nil {
			return err
		}
		if lag.UpToDate < len(s.fleet.Gateways) {
			return errNotYet
		}
		return nil
	})
}

// TestRecordsDay measures a day of changes, failures and restarts, compressed into minutes.
func TestRecordsDay(t *testing.T) {
	if !*longRun {
		t.Skip("measurements need -scale-long")
	}
	results := newResults(t)
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureRecordsDay(t, results, n) })
	}
}

func measureRecordsDay(t *testing.T, r *Results, n int) {
	s := startRecordsSite(t, ClusterOptions{Voters: *voters, Replicas: 1, Heartbeat: measuredHeartbeat}, FleetOptions{Size: n, ReportInterval: reportInterval}, *recordsCount)
	size := float64(n)

	began := s.controlUsage()
	recorder := StartRecorder(s.fleet)
	if err := s.fleet.StartRecords(); err != nil {
		t.Fatal(err)
	}
	took := s.awaitHead()
	_, worst := recorder.Stop()
	received := int64(0)
	for _, g := range s.fleet.Gateways {
		received += g.Records.Traffic.Received()
	}
	r.Add("records.snapshot_bytes", "B", float64(*recordsCount), float64(received)/size)
	t.Logf("%d gateways with empty disks, %d records: all up to date after %v; each received %.0f bytes for records; highest rate of any gateway over a minute %.0f B/s", n, *recordsCount, took.Round(time.Second), float64(received)/size, worst)
	s.logUsages("initial sync", began)

	s.measureRecordsIdle(r)
	s.measureRecordsChange(r)
	s.runDay(r)
	s.checkHistories()
	if *partitionDuration > 0 {
		s.loseZone()
		s.loseLeader()
		s.partitionRegion()
	}
	if *withSiteFile {
		s.measureSiteFile(r)
	}
}

// measureRecordsIdle measures followers without changes.
func (s *recordsSite) measureRecordsIdle(r *Results) {
	before := s.controlUsage()
	recorder := StartRecorder(s.fleet)
	wait.For(s.t.Context(), *idleDuration)
	mean, worst := recorder.Stop()
	n := float64(len(s.fleet.Gateways))
	r.Add("records.idle_bytes_per_second", "B/s", n, mean)
	s.t.Logf("at rest, %v: mean %.0f B/s per gateway with reports, highest %.0f B/s", *idleDuration, mean, worst)
	s.logUsages("at rest", before)
}

// measureRecordsChange measures single changes without other load.
func (s *recordsSite) measureRecordsChange(r *Results) {
	s.t.Helper()
	n := float64(len(s.fleet.Gateways))
	received := func() (sum int64) {
		for _, g := range s.fleet.Gateways {
			sum += g.Records.Traffic.Received()
		}
		return sum
	}
	before, began := received(), time.Now()
	for range *changeCount {
		s.applyChange(s.catalog.Edit())
		s.awaitHead()
		wait.For(s.t.Context(), changeInterval)
	}
	bytes := float64(received()-before) / n / float64(*changeCount)
	r.Add("records.bytes_per_change", "B", float64(*recordsCount), bytes)
	durations := s.ledger.PropagationTimes(s.fleet.Histories(), began)
	r.Add("records.calm_in_force_median_seconds", "s", n, durations.Quantile(0.5).Seconds())
	r.Add("records.calm_in_force_most_seconds", "s", n, durations.Quantile(1).Seconds())
	s.t.Logf("%d changes of one record, one at a time: each gateway received %.0f bytes per change for records; time until in force at all gateways: median %v, maximum %v, incomplete %d",
		*changeCount, bytes, durations.Quantile(0.5), durations.Quantile(1), durations.Incomplete)
}

// runDay runs the events of a compressed day and measures them.
func (s *recordsSite) runDay(r *Results) {
	s.t.Helper()
	n := len(s.fleet.Gateways)
	for _, p := range s.cluster.Processes {
		if err := p.ResetPeak(); err != nil {
			s.t.Fatal(err)
		}
	}
	before, own := s.controlUsage(), s.ownUsage()
	recorder := StartRecorder(s.fleet)
	var restarts sync.WaitGroup
	began, maxDelay, counts := time.Now(), time.Duration(0), map[DayEventKind]int{}
	for _, event := range Day(n, *dayDuration, *randomSeed) {
		wait.For(s.t.Context(), time.Until(began.Add(event.At)))
		maxDelay = max(maxDelay, time.Since(began.Add(event.At)))
		counts[event.Kind]++
		switch event.Kind {
		case ChangeEvent:
			s.applyChange(s.catalog.Edit())
		case FailureEvent, RestartEvent:
			restarts.Go(func() { s.restart(s.fleet.Gateways[event.Gateway], event.Kind == FailureEvent) })
		}
	}
	restarts.Wait()
	seconds := time.Since(began).Seconds()
	mean, worst := recorder.Stop()
	after, ownAfter := s.controlUsage(), s.ownUsage()
	s.awaitHead()

	histories, size := s.fleet.Histories(), float64(n)
	durations := s.ledger.PropagationTimes(histories, began)
	r.Add("records.in_force_median_seconds", "s", size, durations.Quantile(0.5).Seconds())
	r.Add("records.in_force_p99_seconds", "s", size, durations.Quantile(0.99).Seconds())
	r.Add("records.in_force_most_seconds", "s", size, durations.Quantile(1).Seconds())
	r.Add("records.bytes_per_second", "B/s", size, mean)
	r.Add("records.worst_minute_bytes_per_second", "B/s", size, worst)
	r.Add("records.server_cpu_cores", "cores", size, max((after.leader.CPU-before.leader.CPU).Seconds(), (after.follower.CPU-before.follower.CPU).Seconds())/seconds)
	r.Add("records.server_memory_mb", "MB", size, float64(max(after.leader.PeakBytes, after.follower.PeakBytes))/megabyte)
	r.Add("records.server_bytes_per_second", "B/s", size, float64(max(after.leader.IOBytes-before.leader.IOBytes, after.follower.IOBytes-before.follower.IOBytes))/seconds)
	r.Add("records.agent_cpu_cores", "cores", size, (ownAfter.CPU-own.CPU).Seconds()/seconds/size)
	r.Add("records.agent_memory_mb", "MB", float64(*recordsCount), float64(ownAfter.ResidentBytes)/megabyte/size)
	s.t.Logf("day in %.0f s (planned %v, events at most %v late): %v; time until in force at all gateways: median %v, p99 %v, maximum %v, incomplete %d; per gateway with reports: mean %.0f B/s, highest over a minute %.0f B/s",
		seconds, *dayDuration, maxDelay.Round(time.Millisecond), counts, durations.Quantile(0.5), durations.Quantile(0.99), durations.Quantile(1), durations.Incomplete, mean, worst)
	for _, coldStart := range []bool{false, true} {
		catchUp := s.ledger.CatchUpTimes(histories, coldStart)
		s.t.Logf("time to catch up, cold start %v: %d runs, median %v, maximum %v, incomplete %d", coldStart, catchUp.Count, catchUp.Quantile(0.5), catchUp.Quantile(1), catchUp.Incomplete)
	}
	s.logUsages("the day", before)
}

// ownUsage returns the usage of this process, which runs all simulated gateways.
func (s *recordsSite) ownUsage() Usage {
	s.t.Helper()
	usage, err := readUsage(os.Getpid())
	if err != nil {
		s.t.Fatal(err)
	}
	return usage
}

// logUsages logs what the control processes and this process used since an earlier sample.
func (s *recordsSite) logUsages(what string, before controlUsage) {
	s.t.Helper()
	after := s.controlUsage()
	seconds := after.at.Sub(before.at).Seconds()
	s.t.Logf("%s: leader %.2f cores, %d MB, peak %d MB; another voter %.2f cores, %d MB, peak %d MB; all simulated gateways together %d MB",
		what, (after.leader.CPU-before.leader.CPU).Seconds()/seconds, after.leader.ResidentBytes/megabyte, after.leader.PeakBytes/megabyte,
		(after.follower.CPU-before.follower.CPU).Seconds()/seconds, after.follower.ResidentBytes/megabyte, after.follower.PeakBytes/megabyte, s.ownUsage().ResidentBytes/megabyte)
}
