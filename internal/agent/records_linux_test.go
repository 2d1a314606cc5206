package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
	"elderyard/internal/recordsync"
	"elderyard/records"
)

const (
	goldPlan     = `{"price_weight":1.5,"requests_per_second":100}`
	testByteRate = 1 << 20 // bytes a second
)

// putOperation returns the operation that sets the value of a record.
func putOperation(t testing.TB, key, value string) records.Operation {
	t.Helper()
	parsed, err := records.ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return records.Operation{Key: parsed, Value: json.RawMessage(value)}
}

// changeRecords makes one change of the records and returns its result.
func (agent *testAgent) changeRecords(request string, operations ...records.Operation) records.Result {
	agent.t.Helper()
	result, err := sendChange(agent.client, request, operations...)
	if err != nil {
		agent.t.Fatal(err)
	}
	return result
}

// sendChange makes one change of the records with a client.
func sendChange(c *agentapi.Client, request string, operations ...records.Operation) (records.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return c.ChangeRecords(ctx, agentapi.RecordsChange{IdempotencyKey: request, Message: "test", Operations: operations})
}

// startRecordsSite starts voters and followers without gateways, all with records enabled.
func startRecordsSite(t *testing.T, voters, followers int) (list []*testAgent) {
	t.Helper()
	var addresses []string
	for i := range voters + followers {
		var voterAddresses []string
		if i > 0 {
			voterAddresses = addresses
		}
		agent := newTestAgent(t, fmt.Sprint("a", i), i < voters, voterAddresses)
		agent.config.Records, agent.config.RecordBytes = true, testByteRate
		agent.start()
		if i > 0 && i < voters {
			list[0].addVoter(agent)
		}
		if i < voters {
			addresses = append(addresses, agent.config.Listen)
		}
		list = append(list, agent)
	}
	return list
}

// waitUpToDate waits until all agents of the site, which must have this number of them, have
// a version of the records or a newer one.
func waitUpToDate(t testing.TB, c *agentapi.Client, version uint64, agents int) agentapi.RecordsLag {
	t.Helper()
	var lag agentapi.RecordsLag
	waitFor(t, fmt.Sprintf("%d agents have version %d of the records", agents, version), func() bool {
		var err error
		lag, err = c.RecordsLag(context.Background())
		return err == nil && lag.Stale == "" && lag.Version >= version && lag.UpToDate == agents && len(lag.Agents) == agents && lag.AllUpToDate()
	})
	return lag
}

// Accepted changes must reach the copies of all agents; invalid, conflicting and repeated
// ones must get the right result at every agent.
func TestRecordsReachAllAgents(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 3, 2)
	first := list[4].changeRecords("1", putOperation(t, "plan/gold", goldPlan), putOperation(t, "tenant/acme", `{"plan":"gold"}`))
	if first.Status != records.Accepted {
		t.Fatalf("%+v", first)
	}
	lag := waitUpToDate(t, list[3].client, first.Version, 5)
	for _, a := range lag.Agents {
		if a.Status.Version != first.Version || a.Status.Digest != lag.Digest || a.Status.AgeSeconds == nil || a.BehindSince != nil {
			t.Fatalf("%+v of %+v", a, lag)
		}
	}
	for _, agent := range list {
		if _, err := os.Stat(filepath.Join(agent.config.Dir, recordsFolder, "records")); err != nil {
			t.Fatal(err)
		}
	}

	// A repeat gets the first result. Another change with the same idempotency key is rejected.
	if again := list[2].changeRecords("1", putOperation(t, "plan/gold", goldPlan), putOperation(t, "tenant/acme", `{"plan":"gold"}`)); again != first {
		t.Fatalf("%+v, %+v before", again, first)
	}
	if other := list[2].changeRecords("1", putOperation(t, "plan/silver", goldPlan)); other.Status != records.Invalid || other.Problem.Field != "request" {
		t.Fatalf("%+v", other)
	}
	// An invalid change is rejected as a whole, and the problem names the record and the field.
	invalid := list[1].changeRecords("2", putOperation(t, "plan/silver", goldPlan), putOperation(t, "tenant/zed", `{"plan":"copper"}`))
	if invalid.Status != records.Invalid || invalid.Problem.Key != "tenant/zed" || invalid.Problem.Field != "plan" {
		t.Fatalf("%+v, %+v", invalid, invalid.Problem)
	}
	got, err := list[0].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "silver"})
	if err != nil || len(got.Records) != 0 || got.Version != first.Version || got.Total != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	// Of two concurrent changes of one record, one is accepted and the other gets a conflict.
	var wg sync.WaitGroup
	var results [2]records.Result
	for i := range results {
		operation := putOperation(t, "tenant/acme", fmt.Sprintf(`{"plan":"gold","burst":%d}`, i+1))
		operation.IfVersion = &first.Version
		wg.Go(func() { results[i] = list[i+2].changeRecords(fmt.Sprint("cas", i), operation) })
	}
	wg.Wait()
	winner := 0
	if results[1].Status == records.Accepted {
		winner = 1
	}
	loser := results[1-winner]
	if results[winner].Status != records.Accepted || loser.Status != records.Conflict || loser.Problem.Key != "tenant/acme" {
		t.Fatalf("%+v", results)
	}
	second := results[winner].Version
	waitUpToDate(t, list[3].client, second, 5)

	diff, err := list[4].client.RecordsDiff(t.Context(), first.Version, 0)
	if err != nil || diff.To != second || len(diff.Changes) != 1 || diff.Changes[0].Record == nil || diff.Changes[0].Version != second {
		t.Fatalf("%+v, %v", diff, err)
	}
	versions, err := list[4].client.RecordsVersions(t.Context(), 0)
	if err != nil || len(versions.Changes) != 2 || versions.Changes[0].Version != second || versions.Changes[1].Author == "" {
		t.Fatalf("%+v, %v", versions, err)
	}
	tenants, err := list[4].client.ListRecords(t.Context(), records.Tenant, "a", 10)
	if err != nil || len(tenants.Records) != 1 || string(tenants.Records[0].Value) != fmt.Sprintf(`{"plan":"gold","burst":%d}`, winner+1) {
		t.Fatalf("%+v, %v", tenants, err)
	}
	// A record that another one refers to can't be deleted. Setting an old value is a new change.
	if deletion := list[0].changeRecords("3", records.Operation{Key: records.Key{Kind: records.Plan, Name: "gold"}, Delete: true}); deletion.Status != records.Invalid || deletion.Problem.Key != "plan/gold" {
		t.Fatalf("%+v", deletion)
	}
	undo := list[0].changeRecords("4", putOperation(t, "tenant/acme", `{"plan":"gold"}`))
	if undo.Status != records.Accepted || undo.Version <= second {
		t.Fatalf("%+v", undo)
	}
	waitUpToDate(t, list[3].client, undo.Version, 5)
	audit, err := list[3].client.Audit(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, e := range audit.Changes {
		if strings.HasPrefix(e.What, "records version ") {
			found++
		}
	}
	if found != 3 {
		t.Fatalf("%d accepted changes in the audit log: %+v", found, audit.Changes)
	}
}

// An agent without records must refuse calls on them and create no directory for them.
func TestRecordsDisabled(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a0", true, nil).start()
	var f *agentapi.Failure
	_, err := sendChange(agent.client, "1", putOperation(t, "plan/gold", goldPlan))
	if !errors.As(err, &f) || !f.Refused() || !strings.Contains(err.Error(), "set records = true") {
		t.Fatalf("%v", err)
	}
	if _, err := os.Stat(filepath.Join(agent.config.Dir, recordsFolder)); !os.IsNotExist(err) {
		t.Fatalf("the records directory exists: %v", err)
	}
}

// A voter without a port must keep records, also across a restart.
func TestRecordsWithoutPort(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a0", true, nil)
	agent.config.Listen, agent.config.Advertise, agent.config.Records = "", "", true
	agent.start()
	result := agent.changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, agent.client, result.Version, 1)
	agent.stop()
	agent.start()
	waitUpToDate(t, agent.client, result.Version, 1)
}

// The leader must report which agent's copy is behind, and since when.
func TestRecordsLagNamesLaggingAgent(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 1, 2)
	first := list[0].changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, list[0].client, first.Version, 3)
	list[2].stop()
	second := list[0].changeRecords("2", putOperation(t, "plan/silver", goldPlan))
	third := list[0].changeRecords("3", putOperation(t, "plan/copper", goldPlan))
	versions, err := list[0].client.RecordsVersions(t.Context(), 0)
	if err != nil || len(versions.Changes) != 3 || versions.Changes[1].Version != second.Version {
		t.Fatalf("%+v, %v", versions, err)
	}
	waitFor(t, "one agent is silent and behind since the second change, and the others are up to date", func() bool {
		lag, err := list[0].client.RecordsLag(context.Background())
		if err != nil || lag.UpToDate != 2 || len(lag.Agents) != 3 || lag.AllUpToDate() {
			return false
		}
		silentAgent := lag.Agents[2]
		return silentAgent.State == agentapi.RecordsSilent && silentAgent.Status.Version == first.Version && silentAgent.BehindSince != nil && silentAgent.BehindSince.Equal(versions.Changes[1].At)
	})
	list[2].start()
	waitUpToDate(t, list[0].client, third.Version, 3)
}

// A follower must be able to get the records from a replica without a vote.
func TestRecordsFromNonVoter(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 1, 0)
	replica := newTestAgent(t, "r0", true, []string{list[0].config.Listen})
	replica.config.Records, replica.config.RecordBytes = true, testByteRate
	replica.start()
	if c, err := list[0].client.AddNonVoter(t.Context(), agentapi.ChangeRequest{Name: replica.config.Name, Address: replica.config.Listen}); err != nil || c.Behind != nil {
		t.Fatal(c, err)
	}
	follower := newTestAgent(t, "a1", false, []string{replica.config.Listen})
	follower.config.Records, follower.config.RecordBytes = true, testByteRate
	follower.start()
	result := follower.changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, follower.client, result.Version, 3)
	members, err := follower.client.Members(t.Context())
	if err != nil || len(members.Voters) != 2 || members.Voters[0].NonVoter || !members.Voters[1].NonVoter {
		t.Fatalf("%+v, %v", members.Voters, err)
	}
	audit, err := follower.client.Audit(t.Context())
	if err != nil || !strings.Contains(fmt.Sprint(audit.Changes), "replica without a vote r0") {
		t.Fatalf("%+v, %v", audit.Changes, err)
	}
}

// A copy must be able to follow over TLS, and each role must only be able to make its own calls on records.
func TestRecordsRolesAllowOnlyTheirCalls(t *testing.T) {
	t.Parallel()
	files := issueCertificates(t, map[string]pki.Role{"a1": pki.Agent, "a2": pki.Agent, "ann": pki.Operator, "vic": pki.Viewer})
	startSecure := func(name string, voter bool, voters ...string) *testAgent {
		agent := newTestAgent(t, name, voter, voters)
		f := files(name)
		agent.config.Plain, agent.config.TLS, agent.config.Records = false, TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}, true
		return agent.start()
	}
	voter := startSecure("a1", true)
	follower := startSecure("a2", false, voter.config.Listen)
	clientOf := func(name string) *agentapi.Client {
		c, err := agentapi.NewClient(agentapi.Target{Address: follower.config.Listen, Files: files(name)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	result, err := sendChange(clientOf("ann"), "1", putOperation(t, "plan/gold", goldPlan))
	if err != nil || result.Status != records.Accepted {
		t.Fatalf("%+v, %v", result, err)
	}
	waitUpToDate(t, clientOf("vic"), result.Version, 2)
	var f *agentapi.Failure
	if _, err := sendChange(clientOf("vic"), "2", putOperation(t, "plan/gold", goldPlan)); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("a viewer changed records: %v", err)
	}
	versions, err := clientOf("vic").RecordsVersions(t.Context(), 1)
	if err != nil || len(versions.Changes) != 1 || versions.Changes[0].Author != "ann" {
		t.Fatalf("%+v, %v", versions, err)
	}
	for name, want := range map[string]int{"vic": http.StatusForbidden, "ann": http.StatusForbidden, "a2": http.StatusOK} {
		config, err := files(name).ClientConfig()
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		for _, path := range []string{recordsync.ChangesPath + "?since=0", recordsync.RangesPath, recordsync.ContentPath + "?ranges=0&max_bytes=1000"} {
			response, err := client.Get("https://" + voter.config.Listen + path)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if response.StatusCode != want {
				t.Errorf("%s gets %s: %s", name, path, response.Status)
			}
		}
		client.CloseIdleConnections()
	}
	// An agent that is not a voter refuses followers.
	config, err := files("a1").ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	response, err := client.Get("https://" + follower.config.Listen + recordsync.RangesPath)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("an agent that is not a voter responds with %s", response.Status)
	}
}
