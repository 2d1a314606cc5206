package main

import (
	"context"
	"flag"
	"os/exec"
	"testing"
	"time"

	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
	"elderyard/internal/wait"
)

var quotaFor = flag.Duration("quota-for", 8*time.Second, "load of the test of one quota over requests and limit commands")

// One account uses 7.8 times its quota, by requests through three gateways and by limit commands through two agents,
// while other accounts stay within theirs. All processes together must not exceed an account's quota by more than the
// design allows: one burst for leases, one for a window of the counter that ends and starts with a full store, and one
// for local quotas while the counter is unreachable.
func TestQuotaAcrossRequestsAndLimitCommands(t *testing.T) {
	for _, tc := range []struct {
		name        string
		store       string
		overshoot   float64 // beyond the quota, in percent of a burst
		faults      []lab.Fault
		injectFault func(t *testing.T, testLab *lab.Lab)
	}{
		{name: "counter healthy", store: "http", overshoot: 200},
		{name: "RESP store healthy", store: "resp", overshoot: 200},
		{name: "counter outage", store: "http", overshoot: 300,
			faults: []lab.Fault{{Kind: "counter-gone", At: *quotaFor / 3, For: *quotaFor / 3}}},
		{name: "agent killed", store: "http", overshoot: 200, injectFault: func(t *testing.T, testLab *lab.Lab) {
			wait.For(t.Context(), *quotaFor/3)
			if err := testLab.KillAgent(0); err != nil {
				t.Error(err)
			}
			wait.For(t.Context(), *quotaFor/4)
			if err := testLab.StartAgent(0); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			testLab, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: 3, Nodes: 4, Rate: 40, For: *quotaFor, Takes: 0.5, Store: tc.store,
				Greedy: 7.8, GreedyIn: "enterprise", Overshoot: tc.overshoot, Faults: tc.faults, Log: t.Logf},
				lab.Fleet{Voters: 1, Fronts: 2, Gateway: gateway(t),
					Rollout: map[string]any{"waves": []float64{1}, "most_away": 3, "ready_within": "30s", "soak_for": "1s"}, Tool: func(args ...string) *exec.Cmd { return command(context.Background(), args...) }})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(testLab.Close)
			injected := make(chan struct{})
			go func() {
				defer close(injected)
				if tc.injectFault != nil {
					tc.injectFault(t, testLab)
				}
			}()
			err = testLab.Play(t.Context())
			<-injected
			if err != nil {
				t.Fatal(err)
			}
			verdict := testLab.Verdict()
			for _, finding := range verdict.Findings {
				if finding.Broken > 0 {
					t.Errorf("%s: broken %d times: %+v", finding.Rule, finding.Broken, finding.Evidence)
				}
			}
			if verdict.Counts.Granted == 0 || verdict.Counts.Outcomes[audit.Served] == 0 {
				t.Errorf("nothing was served or granted: %+v", verdict.Counts)
			}
			t.Logf("%d requests served and %g units granted by %d limit commands (%d from local shares); furthest beyond a quota: "+
				"%.1f units, %.1f%% of what was allowed, %s; service %.3f", verdict.Counts.Outcomes[audit.Served], verdict.Counts.Granted, verdict.Counts.Takes,
				verdict.Counts.Local, verdict.Worst.Units, verdict.Worst.Percent, verdict.Worst.Plan, verdict.Service)
		})
	}
}
