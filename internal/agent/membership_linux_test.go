package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
	"elderyard/internal/strict"
	"elderyard/revisions"
	"elderyard/rollout"
)

// A voter that was started without a port must be able to get one later, so that other
// agents can join.
func TestSiteGrowsFromOneAgent(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	agent.config.Listen, agent.config.Advertise, agent.config.Plain = "", "", false
	agent.start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	agent.waitRolloutEnd(1)
	agent.stop()
	agent.config.Listen, agent.config.Advertise, agent.config.Plain = "127.0.0.1:0", "127.0.0.1:0", true
	agent.start()
	other := newTestAgent(t, "a2", true, []string{agent.config.Listen}, newInstances(t, "g1")...).start()
	if change, err := agent.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || change.Behind != nil {
		t.Fatal(change, err)
	}
	list, err := other.client.Members(context.Background())
	if err != nil || len(list.Voters) != 2 || list.Voters[0].Address != agent.config.Listen {
		t.Fatalf("%v %+v", err, list)
	}
	waitFor(t, "the second agent's gateway runs the revision", func() bool {
		s := other.status()
		return len(s.Instances) == 2 && s.Instances[1].Ready && s.Instances[1].Running == 1
	})
}

// postReport posts a report with a certificate and returns the agent's failure.
func postReport(t *testing.T, files pki.Files, to *testAgent, report agentapi.Report) error {
	t.Helper()
	config, err := files.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	response, err := client.Post("https://"+to.config.Listen+agentapi.ReportPath, "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return agentapi.ReadResponse(response, &agentapi.Orders{})
}

// Each role must only be able to make its own calls, on every agent, and the leader must
// attribute a forwarded call to its original caller.
func TestRolesAllowOnlyTheirCalls(t *testing.T) {
	t.Parallel()
	files := issueCertificates(t, map[string]pki.Role{"a1": pki.Agent, "a2": pki.Agent, "ann": pki.Operator, "vic": pki.Viewer})
	secure := func(agent *testAgent) *testAgent {
		f := files(agent.config.Name)
		agent.config.Plain, agent.config.TLS = false, TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}
		return agent
	}
	agent := secure(newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)).start()
	other := secure(newTestAgent(t, "a2", true, []string{agent.config.Listen}, newInstances(t, "g1")...)).start()
	if change, err := agent.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || change.Behind != nil {
		t.Fatal(change, err)
	}
	clientOf := func(name string, target *testAgent) *agentapi.Client {
		c, err := agentapi.NewClient(agentapi.Target{Address: target.config.Listen, Files: files(name)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	ctx := context.Background()
	call := agentapi.ApplyRequest{IdempotencyKey: "1", Content: &revisions.Content{File: revisionFile(healthyGateway, "basic")}}
	_, err := clientOf("vic", other).Apply(ctx, call)
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("a viewer applied a revision: %v", err)
	}
	if _, err := clientOf("vic", other).Status(ctx); err != nil {
		t.Fatal(err)
	}
	// The author of the revision is the caller, whichever agent was called.
	for _, target := range []*testAgent{other, agent} {
		a, err := clientOf("ann", target).Apply(ctx, call)
		if err != nil || a.Status != revisions.Accepted || a.Revision.Author != "ann" {
			t.Fatalf("%v %+v", err, a)
		}
	}
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
	if err := postReport(t, files("ann"), agent, agentapi.Report{}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("an operator reported as an agent: %v", err)
	}
	if err := postReport(t, files("a2"), agent, agentapi.Report{Agent: fleet.Agent{Name: "a1"}}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("one agent reported as another: %v", err)
	}
	// A caller without a certificate gets no response.
	resp, err := (&http.Client{Timeout: testTimeout}).Get("http://" + agent.config.Listen + "/v1/status")
	if err == nil {
		resp.Body.Close()
		t.Fatalf("a caller without a certificate got a response: %s", resp.Status)
	}
	log, err := clientOf("vic", other).Audit(ctx)
	if err != nil || len(log.Refused) != 1 || log.Refused[0].Who != "vic" {
		t.Fatalf("%v %+v", err, log.Refused)
	}
	waitFor(t, "the caller without a certificate is in the audit log", func() bool {
		log, err := clientOf("vic", agent).Audit(ctx)
		return err == nil && len(log.Refused) >= 3 && strings.Contains(fmt.Sprint(log.Refused), "no certificate of this site")
	})
}

// Adding a voter succeeds although another voter is down. If the call is forwarded to the leader, the response, with the
// name of the voter that is down, must arrive before the forwarding agent reports the outcome as unknown.
func TestAddMemberWithDeadVoterHasKnownOutcome(t *testing.T) {
	t.Parallel()
	var list []*testAgent
	for i := range 4 {
		var others []string
		if i > 0 {
			others = []string{list[0].config.Listen}
		}
		agent := newTestAgent(t, fmt.Sprint("a", i), true, others, newInstances(t, fmt.Sprint("g", i))...)
		agent.config.Timing.Heartbeat = strict.Duration(leaderTimeout/10 + 200*time.Millisecond) // a call between voters may outlast leaderTimeout
		list = append(list, agent.start())
		if i == 1 || i == 2 {
			list[0].addVoter(agent)
		}
	}
	list[2].stop()
	c, err := list[1].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a3", Address: list[3].config.Listen})
	if err != nil || len(c.Behind) != 1 || c.Behind[0] != "a2" {
		t.Fatalf("%+v, %v", c, err)
	}
}
