package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"elderyard/internal/lab"
	"elderyard/internal/peers"
	"elderyard/members"
)

// The tool shows three real gateways: first all reachable, then one partitioned, then one killed.
func TestPeers(t *testing.T) {
	t.Parallel()
	testLab := lab.Start(t, lab.Site{Gateways: 3, Nodes: 1, Peers: true, Every: 200 * time.Millisecond, For: time.Minute})
	at, err := testLab.Desk("g0")
	if err != nil {
		t.Fatal(err)
	}
	waitFor := func(what string, want int, args ...string) (out string) {
		t.Helper()
		var status int
		var errs string
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if status, out, errs = runTool(t, append([]string{"peers", "--at", at}, args...)...); status == want && strings.Contains(out, what) {
				return out
			}
		}
		t.Fatalf("%v: status %d, want %d and %q:\n%s%s", args, status, want, what, out, errs)
		return ""
	}
	waitFor("the pictures of 3 gateways are one", exitOK, "diff")
	if out := waitFor("whole", exitOK, "list"); strings.Count(out, "whole") != 3 {
		t.Errorf("%s", out)
	}
	if out := waitFor("g1 of site lab", exitOK, "view", "g1"); !strings.Contains(out, "3 of 3 are heard") || strings.Contains(out, "may not") {
		t.Errorf("%s", out)
	}
	var all []peers.QueryResult
	if err := json.Unmarshal([]byte(waitFor("", exitOK, "list", "--json")), &all); err != nil || len(all) != 3 || all[2].Status.View.Verdict != members.Complete {
		t.Errorf("%v: %+v", err, all)
	}
	if err := testLab.Fault(lab.Fault{Kind: "peers-cut", Targets: []string{"g2"}, For: 15 * time.Second}); err != nil {
		t.Fatal(err)
	}
	// Both g0 and g1 must detect the partition by their own probes.
	if out := waitFor("g0 g1: not there", exitViewsDiffer, "diff"); !strings.Contains(out, "g2: a way between gateways is cut") {
		t.Errorf("%s", out)
	}
	if out := waitFor("did not answer a probe", exitViewsDiffer, "why", "g2"); !strings.Contains(out, "its silence has lasted") {
		t.Errorf("%s", out)
	}
	waitFor("the pictures of 3 gateways are one", exitOK, "diff")
	if err := testLab.Kill("g1"); err != nil {
		t.Fatal(err)
	}
	waitFor("g1 gone", exitViewsDiffer, "list")
	// The only address is that of the killed gateway.
	at, err = testLab.Desk("g1")
	if err != nil {
		t.Fatal(err)
	}
	waitFor("", exitUnreachable, "diff")
}

// Invalid arguments are usage errors that name the fault.
func TestPeersUsage(t *testing.T) {
	for _, tc := range []struct {
		want string
		args []string
	}{
		{"--at", []string{"list"}},
		{"not an address with a port", []string{"list", "--at", "nowhere"}},
		{"a name has", []string{"why", "a b", "--at", "127.0.0.1:1"}},
		{"name what to do", []string{}},
		{"accepts 1 arg", []string{"why", "--at", "127.0.0.1:1"}},
	} {
		if status, _, errs := runTool(t, append([]string{"peers"}, tc.args...)...); status != exitUsage || !strings.Contains(errs, tc.want) {
			t.Errorf("%v: status %d: %s", tc.args, status, errs)
		}
	}
}
