package lab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"elderyard/internal/lab/audit"
)

func TestMain(m *testing.M) {
	if flaw := os.Getenv(asWrong); flaw != "" {
		wrongMain(flaw)
	}
	code := m.Run()
	RemoveBuilt()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const (
	// shorter makes the scenarios fit into a test run; the long form is
	// `elderctl lab`.
	shorter   = 0.35
	shortRate = 40
)

// TestShippedScenariosKeepTheRules plays every scenario that ships, shorter,
// against the real gateway. What can't be ruled on for want of CPU is void and
// fails nothing.
func TestShippedScenariosKeepTheRules(t *testing.T) {
	list, err := Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	if len(list) < 12 {
		t.Fatalf("%d scenarios", len(list))
	}
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			site := s.Site()
			site.Rate, site.For, site.Log = shortRate, time.Duration(shorter*float64(DefaultFor)), t.Logf
			for i := range site.Faults {
				f := &site.Faults[i]
				f.At = time.Duration(shorter * float64(f.At))
				f.For = time.Duration(shorter * float64(f.For))
			}
			v := Run(t, site)
			for _, f := range v.Findings {
				if f.Broken > 0 {
					t.Errorf("%s: %+v", f.Rule, f.Evidence)
				}
				if f.Void > 0 {
					t.Logf("%s: %d void: %s", f.Rule, f.Void, f.Voided[0].Text)
				}
			}
			if v.Counts.Outcomes[audit.Served] == 0 || v.Counts.Attempts < v.Counts.Outcomes[audit.Served] {
				t.Errorf("%+v", v.Counts)
			}
			t.Logf("service %.3f, furthest beyond a quota %.0f%%", v.Service, v.Worst.Percent)
		})
	}
}

// TestFaultsStrikeLive switches faults while the load is on.
func TestFaultsStrikeLive(t *testing.T) {
	l := Start(t, Site{Gateways: 2, Nodes: 4, Rate: 40, For: 4 * time.Second})
	if err := l.Fault(Fault{Kind: "node-kil"}); err == nil || !strings.Contains(err.Error(), `did you mean "node-kill"`) {
		t.Errorf("%v", err)
	}
	if err := l.Fault(Fault{Kind: "surge", Plan: "basic", For: time.Second}); err == nil {
		t.Error("a surge was switched live")
	}
	struck := make(chan error, 2)
	time.AfterFunc(time.Second, func() {
		struck <- l.Fault(Fault{Kind: "node-kill", Targets: []string{"n1"}, For: time.Second})
		struck <- l.Fault(Fault{Kind: "gateway-kill", Targets: []string{"g1"}, For: time.Second})
	})
	if err := l.Play(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := <-struck; err != nil {
			t.Error(err)
		}
	}
	if v := l.Verdict(); v.Broken() != 0 || v.Counts.Excused == 0 && v.Counts.Outcomes[audit.NotTaken] == 0 {
		t.Errorf("%+v %+v", v.Findings, v.Counts)
	}
	_, _, falls := l.nodes[1].Record()
	if l.nodes[1].StartedAt().IsZero() || len(falls) > 0 {
		t.Error("n1 was not killed, or fell")
	}
	if l.gateways[1].starts != 2 {
		t.Errorf("g1 was started %d times", l.gateways[1].starts)
	}
}

// TestAFailedStartLeavesNothing has gateways that can't come up.
func TestAFailedStartLeavesNothing(t *testing.T) {
	before := labDirs(t)
	_, err := Open(t.Context(), Site{Gateway: "/bin/false", Gateways: 2})
	if err == nil || !strings.Contains(err.Error(), "ended before it was ready") {
		t.Fatalf("%v", err)
	}
	if got := labDirs(t); len(got) > len(before) {
		t.Errorf("folders left: %v", got)
	}
}

func labDirs(t *testing.T) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(os.TempDir(), fmt.Sprintf("%s%d-*", dirPrefix, os.Getpid())))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestFoldersOfKilledLabsAreRemoved(t *testing.T) {
	cmd := exec.Command("true")
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	dead := filepath.Join(os.TempDir(), fmt.Sprintf("%s%d-x", dirPrefix, cmd.Process.Pid))
	if err := os.Mkdir(dead, 0o700); err != nil {
		t.Fatal(err)
	}
	dir, err := makeDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	if _, err := os.Stat(dead); !os.IsNotExist(err) {
		os.Remove(dead)
		t.Fatalf("it is still there: %v", err)
	}
}

func TestScenarioErrorsNameTheLine(t *testing.T) {
	const head = "about = 'a'\nprovokes = 'b'\n"
	for text, want := range map[string]string{
		"about = 'a'":                       "f.toml: provokes: is missing",
		head + "ndoes = 3":                  `f.toml:3: ndoes: there is no such key; did you mean "nodes"?`,
		head + "rate = -1":                  "f.toml:3: rate: -1 is not above 0",
		head + "for = '1ms'":                "f.toml:3: for: 1ms is not between",
		head + "rate = nan":                 "f.toml:3: rate: NaN is not above 0",
		head + "cells = 99":                 "f.toml:3: cells: 99 is not between 1 and the 9 nodes",
		head + "greedy = -1":                "f.toml:3: greedy: -1 is below 0",
		head + "spare_units = -1":           "f.toml:3: spare_units: -1 is below 0",
		head + "gateways = 30\nnodes = 100": "f.toml:4: nodes: 100 with 30 gateways are 3000 pairs",
		head + "[[fault]]\nkind = 'node-slow'\nsize = nan\n":                                   "f.toml:5: fault[0].size: NaN is not between 1 and 100",
		head + "[[fault]]\nkind = 'node-slow'\nshare = nan\n":                                  "f.toml:5: fault[0].share: NaN is not between 0 and 1",
		head + "gateways = 900":                                                                "f.toml:3: gateways: 900 is not between",
		head + "[[fault]]\nkind = 'node-kill'\nat = '1s'\n":                                    "f.toml:3: fault[0].for: node-kill needs a time",
		head + "[[fault]]\nkind = 'counter-empty'\nat = '30s'\n":                               "f.toml:5: fault[0].at: 30s is not within",
		head + "[[fault]]\nkind = 'node-slow'\nsize = 0.5\n":                                   "f.toml:5: fault[0].size: 0.5 is not between 1 and 100",
		head + "[[fault]]\nkind = 'node-slow'\ntargets = ['n9']\n":                             "f.toml:5: fault[0].targets: \"n9\" (number 0) is none of the site's nodes",
		head + "[[fault]]\nkind = 'node-slow'\ntargets = ['n1']\nshare = 0.5\n":                "f.toml:6: fault[0].share: targets are named",
		head + "[[fault]]\nkind = 'surge'\nfor = '1s'\nplan = 'gold'\n":                        "f.toml:6: fault[0].plan: there is no plan \"gold\"",
		head + "[[fault]]\nkind = 'counter-empty'\nfor = '1s'\n":                               "f.toml:5: fault[0].for: counter-empty has no length",
		head + "[[fault]]\nkind = 'counter-gone'\nshare = 0.5\n":                               "f.toml:5: fault[0].share: counter-gone has no targets",
		head + "[[fault]]\nkind = 'counter-empty'\nsize = 1\n":                                 "f.toml:5: fault[0].size: counter-empty has none",
		head + "[[fault]]\nkind = 'counter-empty'\n[[fault]]\nkind = 'node-slow'\nshare = 2\n": "f.toml:7: fault[1].share: 2 is not between 0 and 1",
	} {
		if _, err := ParseScenario("f.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q:\n%v, want\n%s", text, err, want)
		}
	}
}

func TestEveryFaultAndKeyIsDescribed(t *testing.T) {
	for _, k := range FaultKinds() {
		if k.About == "" || k.Strikes == "" {
			t.Errorf("%+v", k)
		}
	}
	for _, k := range ScenarioKeys() {
		if k[1] == "" {
			t.Errorf("%s has no description", k[0])
		}
	}
	for _, k := range faultKinds {
		if k.apply == nil && k.name != "surge" {
			t.Errorf("%s does nothing", k.name)
		}
	}
}

func TestTargetsAreDrawnFromTheSeed(t *testing.T) {
	s := Site{}
	s.defaults()
	f := Fault{Kind: "node-slow", Share: 0.33}
	a, b := f.targets(&s, 3), f.targets(&s, 3)
	if len(a) != 3 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("%v %v", a, b)
	}
	s.Seed = 2
	other := false
	for n := range 10 {
		s.Seed = uint64(n)
		other = other || fmt.Sprint(f.targets(&s, 3)) != fmt.Sprint(a)
	}
	if !other {
		t.Error("no seed draws other targets")
	}
	if got := (&Fault{Kind: "node-slow", Share: 0.01}).targets(&s, 0); len(got) != 1 {
		t.Errorf("a small share is %v", got)
	}
}

func TestOverlappingFaultsAddUpToTheWorst(t *testing.T) {
	var n node
	remove := n.faults.add(faultKindNamed("node-slow").backendFault(3))
	n.faults.add(faultKindNamed("node-slow").backendFault(2))
	n.faults.add(faultKindNamed("node-errors").backendFault(0.5))
	if got := n.faults.worst(); got.Slow != 3 || got.Errors != 0.5 {
		t.Errorf("%+v", got)
	}
	remove()
	if got := n.faults.worst(); got.Slow != 2 {
		t.Errorf("%+v", got)
	}
}

func FuzzScenario(f *testing.F) {
	list, err := shipped.ReadDir("scenarios")
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range list {
		text, err := shipped.ReadFile("scenarios/" + e.Name())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseScenario("f.toml", text)
		if err != nil {
			return
		}
		site := s.Site()
		site.defaults()
		if err := site.check(); err != nil {
			t.Fatalf("what was parsed can't be played: %v", err)
		}
		for i := range site.Faults {
			if n := len(site.Faults[i].targets(&site, i)); n > site.Nodes+site.Gateways {
				t.Fatalf("%d targets", n)
			}
		}
	})
}
