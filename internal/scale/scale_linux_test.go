package scale

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/revisions"
)

var (
	longRun      = flag.Bool("scale-long", false, "measure at the sizes of -scale-sizes; without it the tests run small and rule on counts and states")
	sizesText    = flag.String("scale-sizes", "152,305,610,1220", "numbers of gateways, for -scale-long")
	voters       = flag.Int("scale-voters", 5, "control processes, for -scale-long")
	entryCount   = flag.Int("scale-entries", 2300, "entries of some 110 bytes in the whole file, for -scale-long")
	changeCount  = flag.Int("scale-changes", 3, "changes of the whole file that are measured, for -scale-long")
	idleDuration = flag.Duration("scale-idle", 30*time.Second, "time at rest that is measured, for -scale-long")
	outPath      = flag.String("scale-out", "", "file to write the figures to, in the form of elderctl capacity")
	otherLoad    = flag.String("scale-beside", "not told", "what else ran on the machine, for -scale-out")
	trial        = flag.Bool("scale-trial", false, "mark the figures as a trial, for -scale-out")
)

const (
	waitTimeout = 5 * time.Minute
	megabyte    = 1 << 20
)

// program is the path of elderctl, built once for all tests of this package.
var program string

// TestMain builds elderctl before it runs the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func runTests(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "elderctl")
	if out, err := exec.Command("go", "build", "-o", program, "elderyard/cmd/elderctl").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build elderctl: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// site is a cluster and its fleet in a test.
type site struct {
	t       testing.TB
	cluster *Cluster
	fleet   *Fleet
	head    uint64
	edits   int
}

func startSite(t testing.TB, voters, gateways int, reportInterval time.Duration) *site {
	t.Helper()
	return startSiteWith(t, ClusterOptions{Voters: voters}, FleetOptions{Size: gateways, ReportInterval: reportInterval})
}

func startSiteWith(t testing.TB, c ClusterOptions, f FleetOptions) *site {
	t.Helper()
	dir, err := os.MkdirTemp("", "scale") // short because the length of a socket path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	c.Program, c.Dir = program, dir
	cluster, err := StartCluster(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := cluster.Stop(); err != nil {
			t.Error(err)
		}
	})
	f.Servers = cluster.Addresses()
	s := &site{t: t, cluster: cluster, fleet: StartFleet(f)}
	t.Cleanup(s.fleet.Stop)
	s.await("all gateways report", func(status agentapi.Status) bool { return len(reportingInstances(status)) == f.Size })
	return s
}

// reportingInstances returns the instances from which the leader receives reports.
func reportingInstances(status agentapi.Status) (names []string) {
	for _, i := range status.Instances {
		if !i.ReportedAt.IsZero() && !i.Silent {
			names = append(names, i.Name)
		}
	}
	return names
}

var errNotYet = errors.New("not yet")

// await waits until the site's status satisfies a condition.
func (s *site) await(what string, satisfies func(agentapi.Status) bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	var last agentapi.Status
	err := pollUntil(ctx, func() (err error) {
		if last, err = s.cluster.Status(ctx); err == nil && !satisfies(last) {
			err = errNotYet
		}
		return err
	})
	if err != nil {
		s.t.Fatalf("%s: %v; the leader has reports of %d of %d instances; rollout %+v", what, err, len(reportingInstances(last)), len(last.Instances), last.Rollout)
	}
}

// apply applies a new revision of the site file and returns the time from its acceptance until it was in force at all
// gateways.
func (s *site) apply(entries int) time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	s.edits++
	file := SiteFile(len(s.fleet.Gateways), entries, s.edits)
	request := agentapi.ApplyRequest{IdempotencyKey: fmt.Sprintf("edit-%d", s.edits), Parent: s.head, Content: &revisions.Content{File: file}}
	leader, _, err := s.cluster.Leader(ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	applied, err := leader.Client.Apply(ctx, request)
	if err != nil || applied.Status != revisions.Accepted {
		s.t.Fatalf("apply a file of %d bytes: %v, %v %s", len(file), err, applied.Status, applied.Reason)
	}
	accepted := time.Now()
	s.head = applied.Revision.Number
	activatedAt, err := s.fleet.AwaitRevision(ctx, s.head)
	if err != nil {
		s.t.Fatal(err)
	}
	s.await("the rollout ends", func(status agentapi.Status) bool {
		return status.Rollout.New == s.head && status.Rollout.State == "applied"
	})
	return activatedAt.Sub(accepted)
}

func sizes(t testing.TB) (list []int) {
	t.Helper()
	for _, text := range strings.Split(*sizesText, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			t.Fatalf("-scale-sizes: %q is not a positive number of gateways", text)
		}
		list = append(list, n)
	}
	return list
}

// newResults returns results that record the command, the date and the load under which they are measured. When the
// test ends, it logs them and writes them to -scale-out.
func newResults(t testing.TB) *Results {
	r := &Results{Command: "go test ./internal/scale -run " + t.Name() + " " + strings.Join(setFlags(), " "), Measured: time.Now().UTC().Format(time.DateOnly), Beside: *otherLoad, Trial: *trial}
	t.Cleanup(func() {
		for _, s := range r.Series() {
			t.Logf("%s (%s): %v", s.Measure, s.Unit, s.Points)
		}
		if *outPath == "" {
			return
		}
		if err := r.WriteFile(*outPath); err != nil {
			t.Error(err)
		}
	})
	return r
}

// setFlags returns the flags on the command line that affect the measurements.
func setFlags() (list []string) {
	flag.Visit(func(f *flag.Flag) {
		if strings.HasPrefix(f.Name, "scale-") && f.Name != "scale-out" && f.Name != "scale-beside" {
			list = append(list, "-"+f.Name+"="+f.Value.String())
		}
	})
	return list
}

// TestSiteFileReachesAllGateways checks that every gateway of a small site receives each of several site files.
func TestSiteFileReachesAllGateways(t *testing.T) {
	for _, voters := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			const gateways, entries, applies = 20, 50, 3
			s := startSite(t, voters, gateways, 100*time.Millisecond)
			status, err := s.cluster.Status(t.Context())
			if err != nil || len(status.Instances) != gateways {
				t.Fatalf("%v, %d instances", err, len(status.Instances))
			}
			file := int64(len(SiteFile(gateways, entries, 1)))
			for range applies {
				before := s.fleet.Counts()
				s.apply(entries)
				if got := s.fleet.Counts().Sub(before).Received; got < gateways*file {
					t.Errorf("%d gateways received %d bytes of a file of %d", gateways, got, file)
				}
			}
			for _, g := range s.fleet.Gateways {
				if g.Revision() != applies {
					t.Errorf("%s has revision %d of %d", g.Name, g.Revision(), applies)
				}
			}
		})
	}
}

// TestLeaderFailover kills the leader of a small site: the next leader must receive the reports of all gateways, and
// they must follow its orders.
func TestLeaderFailover(t *testing.T) {
	const gateways, entries = 20, 20
	s := startSite(t, 3, gateways, 100*time.Millisecond)
	s.apply(entries)
	leader, others, err := s.cluster.Leader(t.Context())
	if err != nil || len(others) != 2 {
		t.Fatalf("%v, %d others", err, len(others))
	}
	if err := leader.Kill(); err != nil {
		t.Fatal(err)
	}
	s.await("all gateways report to another leader", func(status agentapi.Status) bool {
		return status.Leader != leader.Name && len(reportingInstances(status)) == gateways
	})
	s.apply(entries)
}

// TestUsageOfAControlProcess checks that usage is read from the kernel, that a peak can be reset, and that a killed
// process has no usage.
func TestUsageOfAControlProcess(t *testing.T) {
	s := startSite(t, 1, 1, 100*time.Millisecond)
	p := s.cluster.Processes[0]
	usage, err := p.Usage()
	if err != nil || usage.ResidentBytes <= 0 || usage.PeakBytes < usage.ResidentBytes || usage.CPU <= 0 || usage.IOBytes <= 0 {
		t.Fatalf("%v %+v", err, usage)
	}
	if err := p.ResetPeak(); err != nil {
		t.Fatal(err)
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Usage(); !errors.Is(err, errNotRunning) {
		t.Errorf("usage of a killed process: %v", err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	s.await("the restarted process leads", func(agentapi.Status) bool { return true })
}
