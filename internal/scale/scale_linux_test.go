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
	long      = flag.Bool("scale-long", false, "measure at the sizes of -scale-sizes; without it the tests run small and rule on counts and states")
	sizesText = flag.String("scale-sizes", "152,305,610,1220", "numbers of gateways, for -scale-long")
	voters    = flag.Int("scale-voters", 5, "control processes, for -scale-long")
	entries   = flag.Int("scale-entries", 2300, "entries of some 110 bytes in the whole file, for -scale-long")
	changes   = flag.Int("scale-changes", 3, "changes of the whole file that are measured, for -scale-long")
	idleFor   = flag.Duration("scale-idle", 30*time.Second, "time at rest that is measured, for -scale-long")
	outPath   = flag.String("scale-out", "", "file to write the figures to, in the form of elderctl capacity")
	beside    = flag.String("scale-beside", "not told", "what else ran on the machine, for -scale-out")
	trial     = flag.Bool("scale-trial", false, "mark the figures as a trial, for -scale-out")
)

const (
	patience = 5 * time.Minute
	megabyte = 1 << 20
)

// program is elderctl, built once for all tests of this package.
var program string

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

// site is a cluster with its fleet in a test.
type site struct {
	t       testing.TB
	cluster *Cluster
	fleet   *Fleet
	head    uint64
	edits   int
}

func startSite(t testing.TB, voters, gateways int, reportEvery time.Duration) *site {
	t.Helper()
	return startSiteWith(t, ClusterOptions{Voters: voters}, FleetOptions{Size: gateways, ReportEvery: reportEvery})
}

func startSiteWith(t testing.TB, c ClusterOptions, f FleetOptions) *site {
	t.Helper()
	dir, err := os.MkdirTemp("", "scale") // short: a socket's path is bounded
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
	s.await("all gateways are heard", func(status agentapi.Status) bool { return len(heard(status)) == f.Size })
	return s
}

// heard lists the instances that the leader has heard of.
func heard(status agentapi.Status) (names []string) {
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
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	var last agentapi.Status
	err := until(ctx, func() (err error) {
		if last, err = s.cluster.Status(ctx); err == nil && !satisfies(last) {
			err = errNotYet
		}
		return err
	})
	if err != nil {
		s.t.Fatalf("%s: %v; the leader has heard %d of %d; rollout %+v", what, err, len(heard(last)), len(last.Instances), last.Rollout)
	}
}

// apply puts a new edit of the whole file in force, and returns how long it took
// until all gateways had it, from when it was accepted.
func (s *site) apply(entries int) time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	s.edits++
	file := WholeFile(len(s.fleet.Gateways), entries, s.edits)
	call := agentapi.ApplyRequest{IdempotencyKey: fmt.Sprintf("edit-%d", s.edits), Parent: s.head, Content: &revisions.Content{File: file}}
	leader, _, err := s.cluster.Leader(ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	applied, err := leader.Client.Apply(ctx, call)
	if err != nil || applied.Status != revisions.Accepted {
		s.t.Fatalf("apply of %d bytes: %v, %v %s", len(file), err, applied.Status, applied.Reason)
	}
	accepted := time.Now()
	s.head = applied.Revision.Number
	everywhere, err := s.fleet.AwaitRevision(ctx, s.head)
	if err != nil {
		s.t.Fatal(err)
	}
	s.await("the rollout ends", func(status agentapi.Status) bool {
		return status.Rollout.New == s.head && status.Rollout.State == "applied"
	})
	return everywhere.Sub(accepted)
}

func sizes(t testing.TB) (list []int) {
	t.Helper()
	for _, text := range strings.Split(*sizesText, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			t.Fatalf("-scale-sizes: %q is no number of gateways", text)
		}
		list = append(list, n)
	}
	return list
}

// newResults says of figures where they come from.
func newResults(t testing.TB) *Results {
	r := &Results{Command: "go test ./internal/scale -run " + t.Name() + " " + strings.Join(givenFlags(), " "), Measured: time.Now().UTC().Format(time.DateOnly), Beside: *beside, Trial: *trial}
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

func givenFlags() (list []string) {
	flag.Visit(func(f *flag.Flag) {
		if strings.HasPrefix(f.Name, "scale-") && f.Name != "scale-out" && f.Name != "scale-beside" {
			list = append(list, "-"+f.Name+"="+f.Value.String())
		}
	})
	return list
}

// TestWholeFile has every gateway of small sites take whole files, each once.
func TestWholeFile(t *testing.T) {
	for _, voters := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			const gateways, entries, applies = 20, 50, 3
			s := startSite(t, voters, gateways, 100*time.Millisecond)
			status, err := s.cluster.Status(t.Context())
			if err != nil || len(status.Instances) != gateways {
				t.Fatalf("%v, %d instances", err, len(status.Instances))
			}
			file := int64(len(WholeFile(gateways, entries, 1)))
			for range applies {
				before := s.fleet.Counts()
				s.apply(entries)
				if got := s.fleet.Counts().Minus(before).Received; got < gateways*file {
					t.Errorf("%d gateways took %d bytes of a file of %d", gateways, got, file)
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

// TestLostLeader kills the leader under a small fleet: the next one hears all
// gateways, and they take its orders.
func TestLostLeader(t *testing.T) {
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
	s.await("another leader hears all", func(status agentapi.Status) bool {
		return status.Leader != leader.Name && len(heard(status)) == gateways
	})
	s.apply(entries)
}

// TestUsageOfAControlProcess reads what the kernel counts, and forgets a peak.
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
	s.await("it has come back", func(agentapi.Status) bool { return true })
}
