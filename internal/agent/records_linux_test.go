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
	goldPlan   = `{"price_weight":1.5,"requests_per_second":100}`
	testBudget = 1 << 20 // bytes a second
)

func putOf(t testing.TB, key, value string) records.Operation {
	t.Helper()
	parsed, err := records.ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return records.Operation{Key: parsed, Value: json.RawMessage(value)}
}

func (m *machine) change(request string, operations ...records.Operation) records.Result {
	m.t.Helper()
	result, err := sendChange(m.client, request, operations...)
	if err != nil {
		m.t.Fatal(err)
	}
	return result
}

func sendChange(c *agentapi.Client, request string, operations ...records.Operation) (records.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return c.ChangeRecords(ctx, agentapi.RecordsChange{Request: request, Message: "test", Operations: operations})
}

// recordsSite starts voters and followers without gateways, all with records on.
func recordsSite(t *testing.T, voters, followers int) (list []*machine) {
	t.Helper()
	var addresses []string
	for i := range voters + followers {
		var others []string
		if i > 0 {
			others = addresses
		}
		m := newMachine(t, fmt.Sprint("a", i), i < voters, others)
		m.config.Records, m.config.RecordBytes = true, testBudget
		m.start()
		if i > 0 && i < voters {
			list[0].addVoter(m)
		}
		if i < voters {
			addresses = append(addresses, m.config.Listen)
		}
		list = append(list, m)
	}
	return list
}

// inForce waits until a version is in force at so many agents, and nobody else is known.
func inForce(t testing.TB, c *agentapi.Client, version uint64, agents int) agentapi.RecordsLag {
	t.Helper()
	var lag agentapi.RecordsLag
	until(t, fmt.Sprintf("version %d is in force at %d agents", version, agents), func() bool {
		var err error
		lag, err = c.RecordsLag(context.Background())
		return err == nil && lag.Stale == "" && lag.Version >= version && lag.InForce == agents && len(lag.Agents) == agents && lag.Everywhere()
	})
	return lag
}

func TestRecordsInForceEverywhere(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 3, 2)
	first := list[4].change("1", putOf(t, "plan/gold", goldPlan), putOf(t, "tenant/acme", `{"plan":"gold"}`))
	if first.Status != records.Accepted {
		t.Fatalf("%+v", first)
	}
	lag := inForce(t, list[3].client, first.Version, 5)
	for _, a := range lag.Agents {
		if a.Status.Version != first.Version || a.Status.Digest != lag.Digest || a.Status.AgeSeconds == nil || a.Since != nil {
			t.Fatalf("%+v of %+v", a, lag)
		}
	}
	for _, m := range list {
		if _, err := os.Stat(filepath.Join(m.config.Dir, recordsFolder, "records")); err != nil {
			t.Fatal(err)
		}
	}

	// A repeat is answered as the first was; another change under its key is refused.
	if again := list[2].change("1", putOf(t, "plan/gold", goldPlan), putOf(t, "tenant/acme", `{"plan":"gold"}`)); again != first {
		t.Fatalf("%+v, %+v before", again, first)
	}
	if other := list[2].change("1", putOf(t, "plan/silver", goldPlan)); other.Status != records.Invalid || other.Problem.Field != "request" {
		t.Fatalf("%+v", other)
	}
	// A bad change is refused whole, with the record and the field.
	bad := list[1].change("2", putOf(t, "plan/silver", goldPlan), putOf(t, "tenant/zed", `{"plan":"copper"}`))
	if bad.Status != records.Invalid || bad.Problem.Key != "tenant/zed" || bad.Problem.Field != "plan" {
		t.Fatalf("%+v, %+v", bad, bad.Problem)
	}
	got, err := list[0].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "silver"})
	if err != nil || len(got.Records) != 0 || got.Version != first.Version || got.Total != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	// Two operators at one record: one of them comes first, and the other is told.
	var wg sync.WaitGroup
	var results [2]records.Result
	for i := range results {
		operation := putOf(t, "tenant/acme", fmt.Sprintf(`{"plan":"gold","burst":%d}`, i+1))
		operation.IfVersion = &first.Version
		wg.Go(func() { results[i] = list[i+2].change(fmt.Sprint("cas", i), operation) })
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
	inForce(t, list[3].client, second, 5)

	diff, err := list[4].client.RecordsDiff(t.Context(), first.Version, 0)
	if err != nil || diff.To != second || len(diff.Changes) != 1 || diff.Changes[0].Record == nil || diff.Changes[0].Version != second {
		t.Fatalf("%+v, %v", diff, err)
	}
	versions, err := list[4].client.RecordsVersions(t.Context(), 0)
	if err != nil || len(versions.Changes) != 2 || versions.Changes[0].Version != second || versions.Changes[1].Author == "" {
		t.Fatalf("%+v, %v", versions, err)
	}
	tenants, err := list[4].client.RecordsOf(t.Context(), records.Tenant, "a", 10)
	if err != nil || len(tenants.Records) != 1 || string(tenants.Records[0].Value) != fmt.Sprintf(`{"plan":"gold","burst":%d}`, winner+1) {
		t.Fatalf("%+v, %v", tenants, err)
	}
	// Undo is a new change, and a record that is needed can't be deleted.
	if deletion := list[0].change("3", records.Operation{Key: records.Key{Kind: records.Plan, Name: "gold"}, Delete: true}); deletion.Status != records.Invalid || deletion.Problem.Key != "plan/gold" {
		t.Fatalf("%+v", deletion)
	}
	undo := list[0].change("4", putOf(t, "tenant/acme", `{"plan":"gold"}`))
	if undo.Status != records.Accepted || undo.Version <= second {
		t.Fatalf("%+v", undo)
	}
	inForce(t, list[3].client, undo.Version, 5)
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

func TestRecordsAreOff(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a0", true, nil).start()
	var f *agentapi.Failure
	_, err := sendChange(m.client, "1", putOf(t, "plan/gold", goldPlan))
	if !errors.As(err, &f) || !f.Refused() || !strings.Contains(err.Error(), "set records = true") {
		t.Fatalf("%v", err)
	}
	if _, err := os.Stat(filepath.Join(m.config.Dir, recordsFolder)); !os.IsNotExist(err) {
		t.Fatalf("a folder of records: %v", err)
	}
}

// TestRecordsOnOneMachine has a site without a port keep its records.
func TestRecordsOnOneMachine(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a0", true, nil)
	m.config.Listen, m.config.Advertise, m.config.Records = "", "", true
	m.start()
	result := m.change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, m.client, result.Version, 1)
	m.end()
	m.start()
	inForce(t, m.client, result.Version, 1)
}

// TestRecordsWhoIsBehind tells who is behind, and since when.
func TestRecordsWhoIsBehind(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 1, 2)
	first := list[0].change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, list[0].client, first.Version, 3)
	list[2].end()
	second := list[0].change("2", putOf(t, "plan/silver", goldPlan))
	third := list[0].change("3", putOf(t, "plan/copper", goldPlan))
	versions, err := list[0].client.RecordsVersions(t.Context(), 0)
	if err != nil || len(versions.Changes) != 3 || versions.Changes[1].Version != second.Version {
		t.Fatalf("%+v, %v", versions, err)
	}
	until(t, "one is silent and behind since the second change, two are not", func() bool {
		lag, err := list[0].client.RecordsLag(context.Background())
		if err != nil || lag.InForce != 2 || len(lag.Agents) != 3 || lag.Everywhere() {
			return false
		}
		silentAgent := lag.Agents[2]
		return silentAgent.State == agentapi.RecordsSilent && silentAgent.Status.Version == first.Version && silentAgent.Since != nil && silentAgent.Since.Equal(versions.Changes[1].At)
	})
	list[2].start()
	inForce(t, list[0].client, third.Version, 3)
}

// TestRecordsFromAReplica has a follower that knows no server but a replica without
// a vote.
func TestRecordsFromAReplica(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 1, 0)
	replica := newMachine(t, "r0", true, []string{list[0].config.Listen})
	replica.config.Records, replica.config.RecordBytes = true, testBudget
	replica.start()
	if c, err := list[0].client.AddNonVoter(t.Context(), agentapi.ChangeRequest{Name: replica.config.Name, Address: replica.config.Listen}); err != nil || c.Behind != nil {
		t.Fatal(c, err)
	}
	follower := newMachine(t, "a1", false, []string{replica.config.Listen})
	follower.config.Records, follower.config.RecordBytes = true, testBudget
	follower.start()
	result := follower.change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, follower.client, result.Version, 3)
	members, err := follower.client.Members(t.Context())
	if err != nil || len(members.Voters) != 2 || members.Voters[0].NonVoter || !members.Voters[1].NonVoter {
		t.Fatalf("%+v, %v", members.Voters, err)
	}
	audit, err := follower.client.Audit(t.Context())
	if err != nil || !strings.Contains(fmt.Sprint(audit.Changes), "replica without a vote r0") {
		t.Fatalf("%+v, %v", audit.Changes, err)
	}
}

// TestRecordsRolesAllowOnlyTheirCalls has a copy follow over TLS, and roles keep to what they may.
func TestRecordsRolesAllowOnlyTheirCalls(t *testing.T) {
	t.Parallel()
	files := issueCertificates(t, map[string]pki.Role{"a1": pki.Agent, "a2": pki.Agent, "ann": pki.Operator, "vic": pki.Viewer})
	secure := func(name string, voter bool, others ...string) *machine {
		m := newMachine(t, name, voter, others)
		f := files(name)
		m.config.Plain, m.config.TLS, m.config.Records = false, TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}, true
		return m.start()
	}
	voter := secure("a1", true)
	follower := secure("a2", false, voter.config.Listen)
	as := func(name string) *agentapi.Client {
		c, err := agentapi.NewClient(agentapi.Target{Address: follower.config.Listen, Files: files(name)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	result, err := sendChange(as("ann"), "1", putOf(t, "plan/gold", goldPlan))
	if err != nil || result.Status != records.Accepted {
		t.Fatalf("%+v, %v", result, err)
	}
	inForce(t, as("vic"), result.Version, 2)
	var f *agentapi.Failure
	if _, err := sendChange(as("vic"), "2", putOf(t, "plan/gold", goldPlan)); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("a viewer changes records: %v", err)
	}
	versions, err := as("vic").RecordsVersions(t.Context(), 1)
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
	// An agent that is no voter says so.
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
		t.Errorf("a follower answers %s", response.Status)
	}
}
