package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/leader"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

// A site of one agent applies, rejects, drains and dry-runs revisions. A reload keeps the
// gateways' processes and a restart replaces them.
func TestSingleAgentSite(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	if a := agent.apply("1", 0, revisionFile(healthyGateway, "basic")); a.Status != revisions.Accepted || a.Revision.Number != 1 || a.Revision.Author == "" {
		t.Fatalf("%+v", a)
	}
	s := agent.waitRolloutEnd(1)
	agent.requireAll(s, rollout.Applied, 1)
	first := gatewayPIDs(s)

	// A change of the counter requires a reload and no restart.
	agent.apply("2", 1, strings.Replace(revisionFile(healthyGateway, "basic"), "127.0.0.1:9", "127.0.0.1:8", 1))
	s = agent.waitRolloutEnd(2)
	agent.requireAll(s, rollout.Applied, 2)
	if now := gatewayPIDs(s); now["g0"] != first["g0"] || now["g1"] != first["g1"] {
		t.Fatalf("process ids changed from %v to %v by a reload", first, now)
	}
	// A change of the plans requires a restart of the instances, one at a time.
	agent.apply("3", 2, revisionFile(healthyGateway, "gold"))
	s = agent.waitRolloutEnd(3)
	agent.requireAll(s, rollout.Applied, 3)
	if now := gatewayPIDs(s); now["g0"] == first["g0"] || now["g1"] == first["g1"] {
		t.Fatalf("process ids changed from %v to %v, want all replaced by a restart", first, now)
	}

	if a := agent.apply("4", 2, revisionFile(healthyGateway, "x")); a.Status != revisions.Conflict || a.Revision.Number != 3 {
		t.Fatalf("%+v", a)
	}
	if a := agent.apply("3", 2, revisionFile(healthyGateway, "gold")); a.Status != revisions.Accepted || a.Revision.Number != 3 {
		t.Fatalf("result of a repeat: %+v", a)
	}
	_, err := agent.client.Apply(context.Background(), agentapi.ApplyRequest{IdempotencyKey: "5", Parent: 3, Content: &revisions.Content{File: "[gatewya]"}})
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.BadRequest() || !strings.Contains(err.Error(), "file:1: gatewya") {
		t.Fatalf("an invalid file: %v", err)
	}

	ctx := context.Background()
	if err := agent.client.Do(ctx, "drain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "g1 is down", func() bool {
		s = agent.status()
		return s.Instances[1].State == supervise.Down && s.Instances[1].Drained
	})
	if err := agent.client.Do(ctx, "undrain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "g1 is ready again", func() bool { s = agent.status(); return s.Instances[1].Ready && s.Instances[1].Running == 3 })

	results, err := agent.client.DryRun(ctx, revisions.Content{File: revisionFile(healthyGateway, "silver")})
	if err != nil || len(results) != 2 || results[0].Step != supervise.StepRestart {
		t.Fatalf("%v %+v", err, results)
	}
	log, err := agent.client.Audit(ctx)
	if err != nil || len(log.Changes) < 6 || len(log.Refused) == 0 {
		t.Fatalf("%v %+v", err, log)
	}
}

// A revision whose gateways crash, exit at once or never become ready must be rolled back in
// the first wave.
func TestCrashingRevisionRollsBack(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1", "g2")...).start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
	for n, bad := range []string{crashingGateway, exitingGateway, neverReadyGateway} {
		number := uint64(n + 2)
		text := strings.Replace(revisionFile(bad, fmt.Sprint("plan", n)), `ready_within = "10s"`, `ready_within = "2s"`, 1)
		if a := agent.apply(fmt.Sprint("bad", n), number-1, text); a.Status != revisions.Accepted {
			t.Fatalf("%+v", a)
		}
		s := agent.waitRolloutEnd(number)
		agent.requireAll(s, rollout.RolledBack, 1)
		if s.Desired != 1 || s.Head != number || !strings.Contains(s.Rollout.Reason, "revision 1") {
			t.Fatalf("%+v", s)
		}
		if s.Instances[2].Crashes != 0 {
			t.Fatal("the rollout went past the first wave")
		}
	}
}

// A drop of the service level must roll back a rollout. A monitor that responds with no valid
// level must not.
func TestServiceLevelDropRollsBack(t *testing.T) {
	t.Parallel()
	var level atomic.Value
	level.Store("0.95\n")
	monitor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, level.Load().(string)) }))
	defer monitor.Close()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...)
	agent.config.ServiceFrom = monitor.URL
	agent.start()
	text := func(plan string) string {
		return strings.Replace(revisionFile(healthyGateway, plan), `soak_for = "500ms"`, "soak_for = \"30s\"\nservice_fall = 0.1\nservice_for = \"1s\"", 1)
	}
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
	level.Store("nonsense") // not a level, must be ignored
	time.Sleep(2 * leader.ServicePollInterval)
	level.Store("0.94")
	time.Sleep(2 * leader.ServicePollInterval)
	agent.apply("2", 1, text("gold"))
	waitFor(t, "the first wave runs revision 2", func() bool { return agent.status().Instances[0].Running == 2 })
	level.Store("0.7")
	s := agent.waitRolloutEnd(2)
	agent.requireAll(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "the service is at 0.700") {
		t.Fatal(s.Rollout.Reason)
	}
}

// Operators can pause, resume and abort a rollout, and a restart of the leader keeps the
// paused state.
func TestPauseResumeAbort(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1", "g2")...).start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
	ctx := context.Background()
	var f *agentapi.Failure
	if err := agent.client.Do(ctx, "pause", agentapi.ChangeRequest{}); !errors.As(err, &f) || !f.Refused() || !strings.Contains(err.Error(), "it is applied, and can't be paused") {
		t.Fatal(err)
	}
	agent.apply("2", 1, revisionFile(healthyGateway, "gold"))
	if err := agent.client.Do(ctx, "pause", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the first wave is updated", func() bool { return agent.status().Instances[0].Phase == rollout.PhaseUpdated })
	time.Sleep(10 * time.Duration(agent.config.Timing.Report)) // a rollout that is not paused would go on by now
	if s := agent.status(); s.Rollout.State != rollout.Paused || s.Instances[1].Running != 1 || !strings.Contains(s.Rollout.Reason, "paused by") {
		t.Fatalf("%+v", s)
	}
	// The state and the reason survive a restart of the leader.
	agent.stop()
	agent.start()
	waitFor(t, "the rollout is still paused", func() bool { s := agent.status(); return s.Wave > 0 && s.Rollout.State == rollout.Paused })
	if err := agent.client.Do(ctx, "resume", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the second instance runs revision 2", func() bool { return agent.status().Instances[1].Running == 2 })
	if err := agent.client.Do(ctx, "abort", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	s := agent.waitRolloutEnd(2)
	agent.requireAll(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "aborted by") {
		t.Fatal(s.Rollout.Reason)
	}
}

// If the connection is lost before the response, a repeat of the call must not create a
// second revision.
func TestApplyRepeatedAfterLostConnection(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...).start()
	// Send the call and close the connection without reading the response.
	text, err := json.Marshal(agentapi.ApplyRequest{IdempotencyKey: "1", Content: &revisions.Content{File: revisionFile(healthyGateway, "basic")}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("unix", agent.config.Socket)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /v1/apply HTTP/1.1\r\nHost: agent\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	c.Close()
	// Whether or not the first call was accepted, there is one revision after the repeat.
	if a := agent.apply("1", 0, revisionFile(healthyGateway, "basic")); a.Status != revisions.Accepted || a.Revision.Number != 1 {
		t.Fatalf("%+v", a)
	}
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
}

// Of two concurrent applies with the same parent, exactly one must be accepted.
func TestConcurrentAppliesOneAccepted(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[0].apply("1", 0, revisionFile(healthyGateway, "basic"))
	list[0].waitRolloutEnd(1)
	answers := make(chan agentapi.ApplyResult, 2)
	for i, agent := range []*testAgent{list[1], list[3]} {
		go func() {
			a, _ := agent.client.Apply(context.Background(), agentapi.ApplyRequest{IdempotencyKey: fmt.Sprint("both", i), Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, fmt.Sprint("plan", i))}})
			answers <- a
		}()
	}
	a, b := <-answers, <-answers
	if b.Status == revisions.Accepted {
		a, b = b, a
	}
	if a.Status != revisions.Accepted || b.Status != fleet.Busy && b.Status != revisions.Conflict || b.Revision.Number != 2 || b.Revision.Checksum != a.Revision.Checksum {
		t.Fatalf("%+v\n%+v", a, b)
	}
	list[2].requireAll(list[2].waitRolloutEnd(2), rollout.Applied, 2)
}
