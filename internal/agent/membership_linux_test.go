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

// TestSiteGrowsFromOneMachine: a voter that had no port gets one, and others
// join.
func TestSiteGrowsFromOneMachine(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...)
	m.config.Listen, m.config.Advertise, m.config.Plain = "", "", false
	m.start()
	m.apply("1", 0, file(fine, "basic"))
	m.ended(1)
	m.end()
	m.config.Listen, m.config.Advertise, m.config.Plain = "127.0.0.1:0", "127.0.0.1:0", true
	m.start()
	other := newMachine(t, "a2", true, []string{m.config.Listen}, instances(t, "g1")...).start()
	if m, err := m.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || m.Behind != nil {
		t.Fatal(m, err)
	}
	list, err := other.client.Members(context.Background())
	if err != nil || len(list.Voters) != 2 || list.Voters[0].Address != m.config.Listen {
		t.Fatalf("%v %+v", err, list)
	}
	until(t, "the other's gateway has the revision", func() bool {
		s := other.status()
		return len(s.Instances) == 2 && s.Instances[1].Ready && s.Instances[1].Running == 1
	})
}

// postReport posts a report with a certificate, and returns the agent's failure.
func postReport(t *testing.T, files pki.Files, to *machine, report agentapi.Report) error {
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

func TestRolesAllowOnlyTheirCalls(t *testing.T) {
	t.Parallel()
	files := issueCertificates(t, map[string]pki.Role{"a1": pki.Agent, "a2": pki.Agent, "ann": pki.Operator, "vic": pki.Viewer})
	secure := func(m *machine) *machine {
		f := files(m.config.Name)
		m.config.Plain, m.config.TLS = false, TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}
		return m
	}
	m := secure(newMachine(t, "a1", true, nil, instances(t, "g0")...)).start()
	other := secure(newMachine(t, "a2", true, []string{m.config.Listen}, instances(t, "g1")...)).start()
	if m, err := m.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || m.Behind != nil {
		t.Fatal(m, err)
	}
	as := func(name string, at *machine) *agentapi.Client {
		c, err := agentapi.NewClient(agentapi.Target{Address: at.config.Listen, Files: files(name)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	ctx := context.Background()
	call := agentapi.ApplyRequest{Request: "1", Content: &revisions.Content{File: file(fine, "basic")}}
	_, err := as("vic", other).Apply(ctx, call)
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("a viewer applied: %v", err)
	}
	if _, err := as("vic", other).Status(ctx); err != nil {
		t.Fatal(err)
	}
	// The leader knows who asked, whichever agent was asked.
	for _, at := range []*machine{other, m} {
		a, err := as("ann", at).Apply(ctx, call)
		if err != nil || a.Answer != revisions.Accepted || a.Revision.Author != "ann" {
			t.Fatalf("%v %+v", err, a)
		}
	}
	m.is(m.ended(1), rollout.Applied, 1)
	if err := postReport(t, files("ann"), m, agentapi.Report{}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("an operator reported as an agent: %v", err)
	}
	if err := postReport(t, files("a2"), m, agentapi.Report{Agent: fleet.Agent{Name: "a1"}}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("one agent reported as another: %v", err)
	}
	// A stranger speaks for nobody.
	resp, err := (&http.Client{Timeout: testTimeout}).Get("http://" + m.config.Listen + "/v1/status")
	if err == nil {
		resp.Body.Close()
		t.Fatalf("one without a certificate was answered: %s", resp.Status)
	}
	log, err := as("vic", other).Audit(ctx)
	if err != nil || len(log.Refused) != 1 || log.Refused[0].Who != "vic" {
		t.Fatalf("%v %+v", err, log.Refused)
	}
	until(t, "the stranger is in the log", func() bool {
		log, err := as("vic", m).Audit(ctx)
		return err == nil && len(log.Refused) >= 3 && strings.Contains(fmt.Sprint(log.Refused), "no certificate of this site")
	})
}

// An add stands although a voter has died, and whoever asks another agent than the leader must hear that, with the name
// of the dead one, before that agent gives the call up as in doubt.
func TestAddMemberWithDeadVoterHasKnownOutcome(t *testing.T) {
	t.Parallel()
	var list []*machine
	for i := range 4 {
		var others []string
		if i > 0 {
			others = []string{list[0].config.Listen}
		}
		m := newMachine(t, fmt.Sprint("a", i), true, others, instances(t, fmt.Sprint("g", i))...)
		m.config.Timing.Heartbeat = strict.Duration(leaderTimeout/10 + 200*time.Millisecond) // a call between voters may outlast leaderTimeout
		list = append(list, m.start())
		if i == 1 || i == 2 {
			list[0].addVoter(m)
		}
	}
	list[2].end()
	c, err := list[1].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a3", Address: list[3].config.Listen})
	if err != nil || len(c.Behind) != 1 || c.Behind[0] != "a2" {
		t.Fatalf("%+v, %v", c, err)
	}
}
