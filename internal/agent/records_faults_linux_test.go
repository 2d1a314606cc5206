package agent

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/agentapi"
	"elderyard/internal/loopback"
	"elderyard/records"
)

// A follower that can't reach any voter must keep its copy, also across a restart, and
// report the age of the copy.
func TestRecordsOfPartitionedFollower(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 1, 1)
	result := list[0].changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, list[0].client, result.Version, 2)
	list[0].stop()
	staleCopy := func() (follower agentapi.AgentRecords) {
		waitFor(t, "the follower reports why its copy is not confirmed", func() bool {
			lag, err := list[1].client.RecordsLag(context.Background())
			if err != nil || lag.Stale == "" || len(lag.Agents) != 1 {
				return false
			}
			follower = lag.Agents[0]
			return follower.Status.Reason != "" && follower.Status.AgeSeconds != nil
		})
		return follower
	}
	before := staleCopy()
	if before.Status.Version != result.Version || before.State != agentapi.RecordsUnknown {
		t.Fatalf("%+v", before)
	}
	list[1].stop()
	list[1].start()
	after := staleCopy()
	if after.Status.Version != result.Version || after.Status.Digest != before.Status.Digest || *after.Status.AgeSeconds <= *before.Status.AgeSeconds {
		t.Fatalf("%+v, %+v before the restart", after.Status, before.Status)
	}
	list[0].start()
	next := list[0].changeRecords("2", putOperation(t, "plan/silver", goldPlan))
	waitUpToDate(t, list[0].client, next.Version, 2)
}

// A follower must catch up although the voters' log of changes was compacted past its
// version while it was stopped.
func TestRecordsRepairAfterLogCompaction(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 1, 1)
	first := list[0].changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, list[0].client, first.Version, 2)
	list[1].stop()
	var last records.Result
	compacted := false
	for round := 0; !compacted && round < 20; round++ {
		var operations []records.Operation
		for i := range records.MaxOperations {
			name := fmt.Sprintf("plan/%s-%05d", strings.Repeat("n", 100), i)
			operations = append(operations, putOperation(t, name, fmt.Sprintf(`{"price_weight":%d,"requests_per_second":100}`, round+1)))
		}
		if last = list[0].changeRecords(fmt.Sprint("round", round), operations...); last.Status != records.Accepted {
			t.Fatalf("%+v, %v", last, last.Problem)
		}
		waitFor(t, "the changes in the log are listed", func() bool {
			versions, err := list[0].client.RecordsVersions(context.Background(), 0)
			compacted = err == nil && versions.Changes[len(versions.Changes)-1].Version != first.Version
			return err == nil
		})
	}
	if !compacted {
		t.Fatal("the log of changes was not compacted")
	}
	list[1].start()
	waitUpToDate(t, list[0].client, last.Version, 2)
}

// voterProcess is a voter in its own process, which can be killed.
type voterProcess struct {
	t       testing.TB
	name    string
	address string
	file    string // of the configuration
	client  *agentapi.Client
	cmd     *exec.Cmd // nil: it is not running
}

func newVoterProcess(t testing.TB, name string, voters []string) *voterProcess {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent")
	if err != nil {
		t.Fatal(err)
	}
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	text, err := toml.Marshal(map[string]any{"name": name, "dir": dir, "listen": address, "plain": true, "voter": true, "voters": voters, "records": true,
		"records_bytes": testByteRate, "timing": map[string]string{"report": "50ms", "heartbeat": "500ms"}})
	if err != nil {
		t.Fatal(err)
	}
	v := &voterProcess{t: t, name: name, address: address, file: filepath.Join(dir, "agent.toml")}
	if err := os.WriteFile(v.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if v.client, err = agentapi.NewClient(agentapi.Target{Socket: filepath.Join(dir, "agent.sock")}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		v.kill()
		v.client.Close()
		os.RemoveAll(dir)
	})
	return v.start()
}

func (v *voterProcess) start() *voterProcess {
	v.t.Helper()
	v.cmd = exec.Command(os.Args[0])
	v.cmd.Env = append(os.Environ(), voterProcessEnv+"="+v.file)
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		v.t.Fatal(err)
	}
	waitFor(v.t, v.name+" responds", func() bool { _, err := v.client.Members(context.Background()); return err == nil })
	return v
}

func (v *voterProcess) kill() {
	if v.cmd != nil {
		v.cmd.Process.Kill()
		v.cmd.Wait()
		v.cmd = nil
	}
}

// startVoterProcesses starts three voters, each in its own process, and followers in this one.
func startVoterProcesses(t *testing.T, followers int) (voters []*voterProcess, list []*testAgent) {
	t.Helper()
	var addresses []string
	for i := range 3 {
		v := newVoterProcess(t, fmt.Sprint("v", i), addresses)
		if i > 0 {
			waitFor(t, v.name+" is a voter", func() bool {
				c, err := voters[0].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: v.name, Address: v.address})
				return err == nil && c.Behind == nil
			})
		}
		voters, addresses = append(voters, v), append(addresses, v.address)
	}
	for i := range followers {
		agent := newTestAgent(t, fmt.Sprint("a", i), false, addresses)
		agent.config.Records, agent.config.RecordBytes = true, testByteRate
		list = append(list, agent.start())
	}
	return voters, list
}

// findLeader returns the leader and another voter.
func findLeader(t testing.TB, list []*voterProcess) (leader, other *voterProcess) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		for _, queried := range list {
			s, err := queried.client.Status(context.Background())
			for _, v := range list {
				switch {
				case err != nil || s.Stale != "":
				case v.name == s.Leader:
					leader = v
				default:
					other = v
				}
			}
			if leader != nil && other != nil {
				return true
			}
		}
		return false
	})
	return leader, other
}

// If the leader is killed while it handles changes, each change must be applied exactly once,
// and a repeat must get the result of the first call. The test kills the leader twice.
func TestRecordsLeaderKilled(t *testing.T) {
	t.Parallel()
	const changes = 12
	list, followers := startVoterProcesses(t, 1)
	follower := followers[0]
	answers := map[string]records.Result{}
	send := func(from *agentapi.Client, request string) (records.Result, error) {
		return sendChange(from, request, putOperation(t, "plan/"+request, goldPlan))
	}
	for round := range 2 {
		leader, other := findLeader(t, list)
		var mu sync.Mutex
		var wg sync.WaitGroup
		accepted := make(chan bool, changes)
		for i := range changes {
			wg.Go(func() {
				request := fmt.Sprintf("r%d-%d", round, i)
				result, err := send(other.client, request)
				if err != nil || result.Status != records.Accepted {
					t.Errorf("%s: %+v, %v", request, result, err)
				}
				mu.Lock()
				defer mu.Unlock()
				answers[request] = result
				accepted <- true
			})
		}
		<-accepted // the other calls are in flight, or have just been answered
		leader.kill()
		wg.Wait()
		leader.start()
	}
	versions := map[uint64]string{}
	for request, first := range answers {
		if other := versions[first.Version]; other != "" {
			t.Fatalf("%s and %s both have version %d", request, other, first.Version)
		}
		versions[first.Version] = request
		for _, v := range list {
			if again, err := send(v.client, request); err != nil || again != first {
				t.Fatalf("%s by %s: %+v, %v, %+v before", request, v.name, again, err, first)
			}
		}
		// The leader has just been killed, and a read fails until the next one is elected.
		var got agentapi.RecordsList
		waitFor(t, "a read of "+request+" is answered", func() (answered bool) {
			var err error
			got, err = list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: request})
			return err == nil
		})
		if len(got.Records) != 1 || got.Records[0].Version != first.Version {
			t.Fatalf("%s: read %+v, but the result of the change was %+v", request, got.Records, first)
		}
	}
	last := uint64(0)
	for version := range versions {
		last = max(last, version)
	}
	waitUpToDate(t, follower.client, last, 4)
}

// While the leader's process is suspended, the other voters must accept changes and the
// copies that follow it must switch to another voter. The old leader must catch up when its
// process continues.
func TestRecordsLeaderSuspended(t *testing.T) {
	t.Parallel()
	list, followers := startVoterProcesses(t, 3)
	first := followers[0].changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	waitUpToDate(t, followers[0].client, first.Version, 6)
	leader, other := findLeader(t, list)
	if err := leader.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	second, err := sendChange(other.client, "2", putOperation(t, "plan/silver", goldPlan))
	if err != nil || second.Status != records.Accepted {
		t.Fatalf("%+v, %v", second, err)
	}
	waitFor(t, "all running agents have the change", func() bool {
		lag, err := other.client.RecordsLag(context.Background())
		if err != nil || lag.Stale != "" || lag.UpToDate != 5 {
			return false
		}
		for _, a := range lag.Agents {
			if a.State == agentapi.RecordsUpToDate && (a.Status.Version != second.Version || a.Agent == leader.name) {
				t.Errorf("%+v of %+v", a, lag)
			}
		}
		return lag.Version == second.Version
	})
	if err := leader.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitUpToDate(t, other.client, second.Version, 6)
}

// A restored snapshot must become a new version of the records, so that copies that already
// have newer changes than the snapshot still follow it.
func TestRecordsFollowRestoredSnapshot(t *testing.T) {
	t.Parallel()
	list := startRecordsSite(t, 1, 1)
	first := list[0].changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	snapshot, err := list[0].client.Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := list[0].changeRecords("2", putOperation(t, "plan/silver", goldPlan))
	waitUpToDate(t, list[0].client, second.Version, 2)
	if err := list[0].client.Restore(t.Context(), snapshot); err != nil {
		t.Fatal(err)
	}
	restored := waitUpToDate(t, list[0].client, second.Version+1, 2)
	got, err := list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "silver"})
	if err != nil || len(got.Records) != 0 || got.Total != 1 || got.Version != restored.Version {
		t.Fatalf("%+v, %v", got, err)
	}
	if got, err = list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "gold"}); err != nil || len(got.Records) != 1 || got.Records[0].Version != first.Version {
		t.Fatalf("%+v, %v", got, err)
	}
	third := list[1].changeRecords("3", putOperation(t, "plan/copper", goldPlan))
	waitUpToDate(t, list[0].client, third.Version, 2)
}
