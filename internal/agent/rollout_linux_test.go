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

func TestSingleAgentSite(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	if a := m.apply("1", 0, revisionFile(healthyGateway, "basic")); a.Status != revisions.Accepted || a.Revision.Number != 1 || a.Revision.Author == "" {
		t.Fatalf("%+v", a)
	}
	s := m.waitRolloutEnd(1)
	m.requireAll(s, rollout.Applied, 1)
	first := gatewayPIDs(s)

	// Another counter needs a reload, and no start.
	m.apply("2", 1, strings.Replace(revisionFile(healthyGateway, "basic"), "127.0.0.1:9", "127.0.0.1:8", 1))
	s = m.waitRolloutEnd(2)
	m.requireAll(s, rollout.Applied, 2)
	if now := gatewayPIDs(s); now["g0"] != first["g0"] || now["g1"] != first["g1"] {
		t.Fatalf("%v became %v by a reload", first, now)
	}
	// Another plan needs a start, one at a time.
	m.apply("3", 2, revisionFile(healthyGateway, "gold"))
	s = m.waitRolloutEnd(3)
	m.requireAll(s, rollout.Applied, 3)
	if now := gatewayPIDs(s); now["g0"] == first["g0"] || now["g1"] == first["g1"] {
		t.Fatalf("%v became %v by a restart", first, now)
	}

	if a := m.apply("4", 2, revisionFile(healthyGateway, "x")); a.Status != revisions.Conflict || a.Revision.Number != 3 {
		t.Fatalf("%+v", a)
	}
	if a := m.apply("3", 2, revisionFile(healthyGateway, "gold")); a.Status != revisions.Accepted || a.Revision.Number != 3 {
		t.Fatalf("a repeat: %+v", a)
	}
	_, err := m.client.Apply(context.Background(), agentapi.ApplyRequest{IdempotencyKey: "5", Parent: 3, Content: &revisions.Content{File: "[gatewya]"}})
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.BadRequest() || !strings.Contains(err.Error(), "file:1: gatewya") {
		t.Fatalf("a file that makes no sense: %v", err)
	}

	ctx := context.Background()
	if err := m.client.Do(ctx, "drain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "g1 is down", func() bool { s = m.status(); return s.Instances[1].State == supervise.Down && s.Instances[1].Drained })
	if err := m.client.Do(ctx, "undrain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "g1 is back", func() bool { s = m.status(); return s.Instances[1].Ready && s.Instances[1].Running == 3 })

	probes, err := m.client.DryRun(ctx, revisions.Content{File: revisionFile(healthyGateway, "silver")})
	if err != nil || len(probes) != 2 || probes[0].Step != supervise.StepRestart {
		t.Fatalf("%v %+v", err, probes)
	}
	log, err := m.client.Audit(ctx)
	if err != nil || len(log.Changes) < 6 || len(log.Refused) == 0 {
		t.Fatalf("%v %+v", err, log)
	}
}

func TestCrashingRevisionRollsBack(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1", "g2")...).start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	m.requireAll(m.waitRolloutEnd(1), rollout.Applied, 1)
	for n, bad := range []string{crashingGateway, exitingGateway, neverReadyGateway} {
		number := uint64(n + 2)
		text := strings.Replace(revisionFile(bad, fmt.Sprint("plan", n)), `ready_within = "10s"`, `ready_within = "2s"`, 1)
		if a := m.apply(fmt.Sprint("bad", n), number-1, text); a.Status != revisions.Accepted {
			t.Fatalf("%+v", a)
		}
		s := m.waitRolloutEnd(number)
		m.requireAll(s, rollout.RolledBack, 1)
		if s.Desired != 1 || s.Head != number || !strings.Contains(s.Rollout.Reason, "revision 1") {
			t.Fatalf("%+v", s)
		}
		if s.Instances[2].Crashes != 0 {
			t.Fatal("it went past the first wave")
		}
	}
}

func TestServiceLevelDropRollsBack(t *testing.T) {
	t.Parallel()
	var level atomic.Value
	level.Store("0.95\n")
	monitor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, level.Load().(string)) }))
	defer monitor.Close()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...)
	m.config.ServiceFrom = monitor.URL
	m.start()
	text := func(plan string) string {
		return strings.Replace(revisionFile(healthyGateway, plan), `soak_for = "500ms"`, "soak_for = \"30s\"\nservice_fall = 0.1\nservice_for = \"1s\"", 1)
	}
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	m.requireAll(m.waitRolloutEnd(1), rollout.Applied, 1)
	level.Store("nonsense") // says nothing
	time.Sleep(2 * leader.ServicePollInterval)
	level.Store("0.94")
	time.Sleep(2 * leader.ServicePollInterval)
	m.apply("2", 1, text("gold"))
	waitFor(t, "the canary has it", func() bool { return m.status().Instances[0].Running == 2 })
	level.Store("0.7")
	s := m.waitRolloutEnd(2)
	m.requireAll(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "the service is at 0.700") {
		t.Fatal(s.Rollout.Reason)
	}
}

func TestPauseResumeAbort(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1", "g2")...).start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	m.requireAll(m.waitRolloutEnd(1), rollout.Applied, 1)
	ctx := context.Background()
	var f *agentapi.Failure
	if err := m.client.Do(ctx, "pause", agentapi.ChangeRequest{}); !errors.As(err, &f) || !f.Refused() || !strings.Contains(err.Error(), "it is applied, and can't be paused") {
		t.Fatal(err)
	}
	m.apply("2", 1, revisionFile(healthyGateway, "gold"))
	if err := m.client.Do(ctx, "pause", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the canary has it", func() bool { return m.status().Instances[0].Phase == rollout.PhaseUpdated })
	time.Sleep(10 * time.Duration(m.config.Timing.Report)) // others would be told by now
	if s := m.status(); s.Rollout.State != rollout.Paused || s.Instances[1].Running != 1 || !strings.Contains(s.Rollout.Reason, "paused by") {
		t.Fatalf("%+v", s)
	}
	// A new start of the leader forgets neither.
	m.stop()
	m.start()
	waitFor(t, "it is still paused", func() bool { s := m.status(); return s.Wave > 0 && s.Rollout.State == rollout.Paused })
	if err := m.client.Do(ctx, "resume", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the next has it", func() bool { return m.status().Instances[1].Running == 2 })
	if err := m.client.Do(ctx, "abort", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	s := m.waitRolloutEnd(2)
	m.requireAll(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "aborted by") {
		t.Fatal(s.Rollout.Reason)
	}
}

func TestApplyRepeatedAfterLostConnection(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...).start()
	// The call is sent and nobody waits for its answer.
	text, err := json.Marshal(agentapi.ApplyRequest{IdempotencyKey: "1", Content: &revisions.Content{File: revisionFile(healthyGateway, "basic")}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("unix", m.config.Socket)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /v1/apply HTTP/1.1\r\nHost: agent\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	c.Close()
	// Taken or not, there is one end. The repeat of another machine is no second revision.
	if a := m.apply("1", 0, revisionFile(healthyGateway, "basic")); a.Status != revisions.Accepted || a.Revision.Number != 1 {
		t.Fatalf("%+v", a)
	}
	m.requireAll(m.waitRolloutEnd(1), rollout.Applied, 1)
}

func TestConcurrentAppliesOneAccepted(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[0].apply("1", 0, revisionFile(healthyGateway, "basic"))
	list[0].waitRolloutEnd(1)
	answers := make(chan agentapi.ApplyResult, 2)
	for i, m := range []*testAgent{list[1], list[3]} {
		go func() {
			a, _ := m.client.Apply(context.Background(), agentapi.ApplyRequest{IdempotencyKey: fmt.Sprint("both", i), Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, fmt.Sprint("plan", i))}})
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
