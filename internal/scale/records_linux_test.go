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
	recordsCount = flag.Int("scale-records", 26_000, "routes and tenants, for -scale-long")
	dayFor       = flag.Duration("scale-day", 3*time.Minute, "time that a day of 510 changes is pressed into, for -scale-long")
	daySeed      = flag.Uint64("scale-seed", 1, "seed of the day and of random faults")
	cutFor       = flag.Duration("scale-cut", 0, "time that a region is cut off for after the day, with a lost zone and a lost leader before; 0: none of them")
	wholeToo     = flag.Bool("scale-whole", false, "measure whole files on the same site after the day")
	copiesDir    = flag.String("scale-copies", "", "folder for the gateways' copies of the records; each real one would have a disk of its own")
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
	s := &recordsSite{site: startSiteWith(t, c, f), catalog: NewCatalog(count, *daySeed)}
	for _, operations := range s.catalog.Initial() {
		s.change(operations)
	}
	return s
}

// change makes one change by a control process that runs, and notes it.
func (s *recordsSite) change(operations []records.Operation) Accepted {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	s.edits++
	change := agentapi.RecordsChange{IdempotencyKey: fmt.Sprintf("change-%d", s.edits), Operations: operations}
	asked := time.Now()
	result, err := s.askAny(ctx, change)
	if err != nil || result.Status != records.Accepted {
		s.t.Fatalf("change %d: %v, %+v", s.edits, err, result)
	}
	accepted := Accepted{Asked: asked, At: time.Now(), Version: result.Version}
	if err := s.ledger.Accept(accepted, records.Change{IdempotencyKey: change.IdempotencyKey, Author: ledgerAuthor, Operations: operations}); err != nil {
		s.t.Fatal(err)
	}
	return accepted
}

// ledgerAuthor stands for the author, which is no part of the content.
const ledgerAuthor = "test"

// askTimeout is after how long another control process is asked. The request's key
// makes the repeat harmless.
const askTimeout = 10 * time.Second

// askAny has any control process that runs take a change; the next one where it
// does not answer.
func (s *recordsSite) askAny(ctx context.Context, change agentapi.RecordsChange) (result records.Result, err error) {
	for i := s.edits; ctx.Err() == nil; i++ {
		p := s.cluster.Processes[i%len(s.cluster.Processes)]
		if !p.Running() || p.Suspended() {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		result, err = p.Client.ChangeRecords(asking, change)
		cancel()
		if err == nil {
			return result, nil
		}
		wait.For(ctx, pollEvery)
	}
	return result, errors.Join(err, ctx.Err())
}

// awaitHead waits until every copy that runs has the newest acknowledged version,
// and returns how long that took.
func (s *recordsSite) awaitHead() time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*patience)
	defer cancel()
	head, _ := s.ledger.Head()
	began := time.Now()
	err := until(ctx, func() error {
		behind := 0
		for _, g := range s.fleet.Gateways {
			if version, runs := g.Records.Version(); runs && version < head {
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

// audit rules on all histories.
func (s *recordsSite) audit() {
	s.t.Helper()
	violations := s.ledger.Audit(s.fleet.Histories(), true)
	const most = 10
	for _, v := range violations[:min(len(violations), most)] {
		s.t.Errorf("%s: %s: %s", v.Gateway, v.Rule, v.Text)
	}
	if len(violations) > most {
		s.t.Errorf("%d violations", len(violations))
	}
}

// restart ends a gateway's copy and starts it again, with its disk or without.
func (s *recordsSite) restart(g *Gateway, erase bool) {
	s.t.Helper()
	if err := g.Records.Restart(erase); err != nil {
		s.t.Error(err)
	}
}

// TestRecords brings changes to small sites while gateways restart, with their
// disks and without, and the leader is killed.
func TestRecords(t *testing.T) {
	const gateways, count, changes = 12, 300, 30
	s := startRecordsSite(t, ClusterOptions{Voters: 3, Replicas: 1}, FleetOptions{Size: gateways, ReportEvery: 100 * time.Millisecond}, count)
	if err := s.fleet.StartRecords(); err != nil {
		t.Fatal(err)
	}
	s.awaitHead()
	for i := range changes {
		s.change(s.catalog.Edit())
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
	s.audit()
	spread := s.ledger.Everywhere(s.fleet.Histories(), time.Time{})
	if spread.Changes != changes || spread.Missing != 0 {
		t.Errorf("%d changes came into force everywhere and %d did not, of %d", spread.Changes, spread.Missing, changes)
	}
	lag, err := s.lag()
	if err != nil || lag.UpToDate < gateways {
		t.Errorf("%v, %d agents have the newest by the leader's account", err, lag.UpToDate)
	}
}

// lag waits until the leader knows that all gateways have the newest records.
func (s *recordsSite) lag() (lag agentapi.RecordsLag, err error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	return lag, until(ctx, func() error {
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

// TestRecordsDay measures a day of changes, failures and restarts, pressed into
// minutes.
func TestRecordsDay(t *testing.T) {
	if !*long {
		t.Skip("figures are asked for by -scale-long")
	}
	results := newResults(t)
	for _, n := range sizes(t) {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureRecordsDay(t, results, n) })
	}
}

func measureRecordsDay(t *testing.T, r *Results, n int) {
	s := startRecordsSite(t, ClusterOptions{Voters: *voters, Replicas: 1, Heartbeat: measuredHeartbeat}, FleetOptions{Size: n, ReportEvery: reportEvery}, *recordsCount)
	size := float64(n)

	began := s.usages()
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
	t.Logf("%d gateways, all empty, %d records: all whole after %v; %.0f bytes received by each for records; worst minute of any %.0f B/s", n, *recordsCount, took.Round(time.Second), float64(received)/size, worst)
	s.logUsages("all empty", began)

	s.measureRecordsIdle(r)
	s.measureRecordsChange(r)
	s.playDay(r)
	s.audit()
	if *cutFor > 0 {
		s.loseZone()
		s.loseLeader()
		s.cutRegion()
	}
	if *wholeToo {
		s.measureWholeFile(r)
	}
}

// measureRecordsIdle measures followers without changes.
func (s *recordsSite) measureRecordsIdle(r *Results) {
	before := s.usages()
	recorder := StartRecorder(s.fleet)
	wait.For(s.t.Context(), *idleFor)
	mean, worst := recorder.Stop()
	n := float64(len(s.fleet.Gateways))
	r.Add("records.idle_bytes_per_second", "B/s", n, mean)
	s.t.Logf("at rest, %v: %.0f B/s a gateway with reports, %.0f at the worst one", *idleFor, mean, worst)
	s.logUsages("at rest", before)
}

// measureRecordsChange measures single changes, with nothing beside them.
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
	for range *changes {
		s.change(s.catalog.Edit())
		s.awaitHead()
		wait.For(s.t.Context(), changePause)
	}
	bytes := float64(received()-before) / n / float64(*changes)
	r.Add("records.bytes_per_change", "B", float64(*recordsCount), bytes)
	spread := s.ledger.Everywhere(s.fleet.Histories(), began)
	r.Add("records.calm_in_force_median_seconds", "s", n, spread.Quantile(0.5).Seconds())
	r.Add("records.calm_in_force_most_seconds", "s", n, spread.Quantile(1).Seconds())
	s.t.Logf("%d changes of one record, one by one: %.0f bytes received for records by each gateway for each; in force everywhere median %v, most %v, missing %d",
		*changes, bytes, spread.Quantile(0.5), spread.Quantile(1), spread.Missing)
}

// playDay plays the events of a pressed day.
func (s *recordsSite) playDay(r *Results) {
	s.t.Helper()
	n := len(s.fleet.Gateways)
	for _, p := range s.cluster.Processes {
		if err := p.ResetPeak(); err != nil {
			s.t.Fatal(err)
		}
	}
	before, own := s.usages(), s.ownUsage()
	recorder := StartRecorder(s.fleet)
	var restarts sync.WaitGroup
	began, late, counts := time.Now(), time.Duration(0), map[DayEventKind]int{}
	for _, event := range Day(n, *dayFor, *daySeed) {
		wait.For(s.t.Context(), time.Until(began.Add(event.At)))
		late = max(late, time.Since(began.Add(event.At)))
		counts[event.Kind]++
		switch event.Kind {
		case ChangeEvent:
			s.change(s.catalog.Edit())
		case FailureEvent, RestartEvent:
			restarts.Go(func() { s.restart(s.fleet.Gateways[event.Gateway], event.Kind == FailureEvent) })
		}
	}
	restarts.Wait()
	seconds := time.Since(began).Seconds()
	mean, worst := recorder.Stop()
	after, ownAfter := s.usages(), s.ownUsage()
	s.awaitHead()

	histories, size := s.fleet.Histories(), float64(n)
	spread := s.ledger.Everywhere(histories, began)
	r.Add("records.in_force_median_seconds", "s", size, spread.Quantile(0.5).Seconds())
	r.Add("records.in_force_p99_seconds", "s", size, spread.Quantile(0.99).Seconds())
	r.Add("records.in_force_most_seconds", "s", size, spread.Quantile(1).Seconds())
	r.Add("records.bytes_per_second", "B/s", size, mean)
	r.Add("records.worst_minute_bytes_per_second", "B/s", size, worst)
	r.Add("records.server_cpu_cores", "cores", size, max((after.leader.CPU-before.leader.CPU).Seconds(), (after.other.CPU-before.other.CPU).Seconds())/seconds)
	r.Add("records.server_memory_mb", "MB", size, float64(max(after.leader.PeakBytes, after.other.PeakBytes))/megabyte)
	r.Add("records.server_bytes_per_second", "B/s", size, float64(max(after.leader.IOBytes-before.leader.IOBytes, after.other.IOBytes-before.other.IOBytes))/seconds)
	r.Add("records.agent_cpu_cores", "cores", size, (ownAfter.CPU-own.CPU).Seconds()/seconds/size)
	r.Add("records.agent_memory_mb", "MB", float64(*recordsCount), float64(ownAfter.ResidentBytes)/megabyte/size)
	s.t.Logf("a day in %.0f s (the plan's %v, at most %v late): %v; in force everywhere median %v, 99th %v, most %v, missing %d; a gateway with reports mean %.0f B/s, worst minute of any %.0f B/s",
		seconds, *dayFor, late.Round(time.Millisecond), counts, spread.Quantile(0.5), spread.Quantile(0.99), spread.Quantile(1), spread.Missing, mean, worst)
	for _, empty := range []bool{false, true} {
		starts := s.ledger.Starts(histories, empty)
		s.t.Logf("starts, empty disk %v: %d, median %v, most %v, not over %d", empty, starts.Changes, starts.Quantile(0.5), starts.Quantile(1), starts.Missing)
	}
	s.logUsages("the day", before)
}

// ownUsage is that of this process, which has all the hollow gateways.
func (s *recordsSite) ownUsage() Usage {
	s.t.Helper()
	usage, err := readUsage(os.Getpid())
	if err != nil {
		s.t.Fatal(err)
	}
	return usage
}

// logUsages logs what the control processes and this one used since a time.
func (s *recordsSite) logUsages(what string, before usages) {
	s.t.Helper()
	after := s.usages()
	seconds := after.at.Sub(before.at).Seconds()
	s.t.Logf("%s: leader %.2f cores, %d MB, at most %d MB; another voter %.2f cores, %d MB, at most %d MB; all hollow gateways together %d MB",
		what, (after.leader.CPU-before.leader.CPU).Seconds()/seconds, after.leader.ResidentBytes/megabyte, after.leader.PeakBytes/megabyte,
		(after.other.CPU-before.other.CPU).Seconds()/seconds, after.other.ResidentBytes/megabyte, after.other.PeakBytes/megabyte, s.ownUsage().ResidentBytes/megabyte)
}
