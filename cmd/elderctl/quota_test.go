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
// among others that stay within theirs. All processes together exceed no account's quota by more than the design
// allows, in bursts: one for leases, another for a window of the counter that ends and begins with a full store, and a
// third for local quotas while the counter is unreachable.
func TestQuotaAcrossRequestsAndLimitCommands(t *testing.T) {
	for _, k := range []struct {
		name      string
		store     string
		overshoot float64 // beyond the quota, in percent of a burst
		faults    []lab.Fault
		strike    func(t *testing.T, l *lab.Lab)
	}{
		{name: "counter well", store: "http", overshoot: 200},
		{name: "store well", store: "resp", overshoot: 200},
		{name: "counter killed and back", store: "http", overshoot: 300,
			faults: []lab.Fault{{Kind: "counter-gone", At: *quotaFor / 3, For: *quotaFor / 3}}},
		{name: "a front killed", store: "http", overshoot: 200, strike: func(t *testing.T, l *lab.Lab) {
			wait.For(t.Context(), *quotaFor/3)
			if err := l.KillAgent(0); err != nil {
				t.Error(err)
			}
			wait.For(t.Context(), *quotaFor/4)
			if err := l.StartAgent(0); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			l, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: 3, Nodes: 4, Rate: 40, For: *quotaFor, Takes: 0.5, Store: k.store,
				Greedy: 7.8, GreedyIn: "enterprise", Overshoot: k.overshoot, Faults: k.faults, Log: t.Logf},
				lab.Fleet{Voters: 1, Fronts: 2, Gateway: gateway(t),
					Rollout: map[string]any{"waves": []float64{1}, "most_away": 3, "ready_within": "30s", "soak_for": "1s"}, Tool: func(args ...string) *exec.Cmd { return command(context.Background(), args...) }})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			struck := make(chan struct{})
			go func() {
				defer close(struck)
				if k.strike != nil {
					k.strike(t, l)
				}
			}()
			err = l.Play(t.Context())
			<-struck
			if err != nil {
				t.Fatal(err)
			}
			v := l.Verdict()
			for _, f := range v.Findings {
				if f.Broken > 0 {
					t.Errorf("%s: broken %d times: %+v", f.Rule, f.Broken, f.Evidence)
				}
			}
			if v.Counts.Granted == 0 || v.Counts.Outcomes[audit.Served] == 0 {
				t.Errorf("nothing was had: %+v", v.Counts)
			}
			t.Logf("%d requests served and %g units granted by %d limit commands (%d from local shares); furthest beyond a quota: "+
				"%.1f units, %.1f%% of what was allowed, %s; service %.3f", v.Counts.Outcomes[audit.Served], v.Counts.Granted, v.Counts.Takes,
				v.Counts.Local, v.Worst.Units, v.Worst.Percent, v.Worst.Plan, v.Service)
		})
	}
}
