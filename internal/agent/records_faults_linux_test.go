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

// TestRecordsOfPartitionedFollower has all voters gone: the follower goes on with what
// it has, also across a restart, and says how old that is.
func TestRecordsOfPartitionedFollower(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 1, 1)
	result := list[0].change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, list[0].client, result.Version, 2)
	list[0].end()
	alone := func() (one agentapi.AgentRecords) {
		until(t, "the follower says why it is not confirmed", func() bool {
			lag, err := list[1].client.RecordsLag(context.Background())
			if err != nil || lag.Stale == "" || len(lag.Agents) != 1 {
				return false
			}
			one = lag.Agents[0]
			return one.Status.Why != "" && one.Status.AgeSeconds != nil
		})
		return one
	}
	before := alone()
	if before.Status.Version != result.Version || before.State != agentapi.RecordsUnknown {
		t.Fatalf("%+v", before)
	}
	list[1].end()
	list[1].start()
	after := alone()
	if after.Status.Version != result.Version || after.Status.Digest != before.Status.Digest || *after.Status.AgeSeconds <= *before.Status.AgeSeconds {
		t.Fatalf("%+v, %+v before the restart", after.Status, before.Status)
	}
	list[0].start()
	next := list[0].change("2", putOf(t, "plan/silver", goldPlan))
	inForce(t, list[0].client, next.Version, 2)
}

// TestRecordsRepairAfterADay has a follower away while the voters' log of changes
// is compacted behind it.
func TestRecordsRepairAfterADay(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 1, 1)
	first := list[0].change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, list[0].client, first.Version, 2)
	list[1].end()
	var last records.Result
	compacted := false
	for round := 0; !compacted && round < 20; round++ {
		var operations []records.Operation
		for i := range records.MaxOperations {
			name := fmt.Sprintf("plan/%s-%05d", strings.Repeat("n", 100), i)
			operations = append(operations, putOf(t, name, fmt.Sprintf(`{"price_weight":%d,"requests_per_second":100}`, round+1)))
		}
		if last = list[0].change(fmt.Sprint("round", round), operations...); last.Status != records.Accepted {
			t.Fatalf("%+v, %v", last, last.Problem)
		}
		until(t, "the changes that are kept are listed", func() bool {
			versions, err := list[0].client.RecordsVersions(context.Background(), 0)
			compacted = err == nil && versions.Changes[len(versions.Changes)-1].Version != first.Version
			return err == nil
		})
	}
	if !compacted {
		t.Fatal("the log of changes was not compacted")
	}
	list[1].start()
	inForce(t, list[0].client, last.Version, 2)
}

// voterProcess is a voter in a process of its own, which can be killed.
type voterProcess struct {
	t      testing.TB
	name   string
	at     string
	file   string
	client *agentapi.Client
	cmd    *exec.Cmd // nil: it does not run
}

func newVoterProcess(t testing.TB, name string, voters []string) *voterProcess {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent")
	if err != nil {
		t.Fatal(err)
	}
	at, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	text, err := toml.Marshal(map[string]any{"name": name, "dir": dir, "listen": at, "plain": true, "voter": true, "voters": voters, "records": true,
		"records_bytes": testBudget, "timing": map[string]string{"report": "50ms", "heartbeat": "500ms"}})
	if err != nil {
		t.Fatal(err)
	}
	v := &voterProcess{t: t, name: name, at: at, file: filepath.Join(dir, "agent.toml")}
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
	v.cmd.Env = append(os.Environ(), asVoter+"="+v.file)
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		v.t.Fatal(err)
	}
	until(v.t, v.name+" answers", func() bool { _, err := v.client.Members(context.Background()); return err == nil })
	return v
}

func (v *voterProcess) kill() {
	if v.cmd != nil {
		v.cmd.Process.Kill()
		v.cmd.Wait()
		v.cmd = nil
	}
}

// processSite starts three voters in processes of their own, and followers in this one.
func processSite(t *testing.T, followers int) (voters []*voterProcess, list []*machine) {
	t.Helper()
	var addresses []string
	for i := range 3 {
		v := newVoterProcess(t, fmt.Sprint("v", i), addresses)
		if i > 0 {
			until(t, v.name+" is a voter", func() bool {
				c, err := voters[0].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: v.name, Address: v.at})
				return err == nil && c.Behind == nil
			})
		}
		voters, addresses = append(voters, v), append(addresses, v.at)
	}
	for i := range followers {
		m := newMachine(t, fmt.Sprint("a", i), false, addresses)
		m.config.Records, m.config.RecordBytes = true, testBudget
		list = append(list, m.start())
	}
	return voters, list
}

// roles tells who leads, and names another voter.
func roles(t testing.TB, list []*voterProcess) (leader, other *voterProcess) {
	t.Helper()
	until(t, "a leader", func() bool {
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

// TestRecordsLeaderKilled kills the leader twice, each time while changes are on
// their way: each is taken once, and a repeat gets the same answer.
func TestRecordsLeaderKilled(t *testing.T) {
	t.Parallel()
	const changes = 12
	list, followers := processSite(t, 1)
	follower := followers[0]
	answers := map[string]records.Result{}
	send := func(from *agentapi.Client, request string) (records.Result, error) {
		return sendChange(from, request, putOf(t, "plan/"+request, goldPlan))
	}
	for round := range 2 {
		leader, other := roles(t, list)
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
		<-accepted // the others are on their way, or were just answered
		leader.kill()
		wg.Wait()
		leader.start()
	}
	versions := map[uint64]string{}
	for request, first := range answers {
		if twice := versions[first.Version]; twice != "" {
			t.Fatalf("%s and %s have version %d", request, twice, first.Version)
		}
		versions[first.Version] = request
		for _, v := range list {
			if again, err := send(v.client, request); err != nil || again != first {
				t.Fatalf("%s by %s: %+v, %v, %+v before", request, v.name, again, err, first)
			}
		}
		// Leaders have just been killed: during an election a read finds no leader.
		var got agentapi.RecordsList
		until(t, "a read of "+request+" is answered", func() (answered bool) {
			var err error
			got, err = list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: request})
			return err == nil
		})
		if len(got.Records) != 1 || got.Records[0].Version != first.Version {
			t.Fatalf("%s: %+v, %+v answered", request, got.Records, first)
		}
	}
	last := uint64(0)
	for version := range versions {
		last = max(last, version)
	}
	inForce(t, follower.client, last, 4)
}

// TestRecordsLeaderStopped stops the leader's process and wakes it: others come
// to a change without it, copies that asked it go to another voter, and it comes to
// what was agreed on without it.
func TestRecordsLeaderStopped(t *testing.T) {
	t.Parallel()
	list, followers := processSite(t, 3)
	first := followers[0].change("1", putOf(t, "plan/gold", goldPlan))
	inForce(t, followers[0].client, first.Version, 6)
	leader, other := roles(t, list)
	if err := leader.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	second, err := sendChange(other.client, "2", putOf(t, "plan/silver", goldPlan))
	if err != nil || second.Status != records.Accepted {
		t.Fatalf("%+v, %v", second, err)
	}
	until(t, "the change is in force at all that run", func() bool {
		lag, err := other.client.RecordsLag(context.Background())
		if err != nil || lag.Stale != "" || lag.InForce != 5 {
			return false
		}
		for _, a := range lag.Agents {
			if a.State == agentapi.RecordsInForce && (a.Status.Version != second.Version || a.Agent == leader.name) {
				t.Errorf("%+v of %+v", a, lag)
			}
		}
		return lag.Version == second.Version
	})
	if err := leader.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	inForce(t, other.client, second.Version, 6)
}

// TestRecordsRestored restores a saved state behind which the copies have gone on:
// they take it all the same, as a new version.
func TestRecordsRestored(t *testing.T) {
	t.Parallel()
	list := recordsSite(t, 1, 1)
	first := list[0].change("1", putOf(t, "plan/gold", goldPlan))
	saved, err := list[0].client.Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := list[0].change("2", putOf(t, "plan/silver", goldPlan))
	inForce(t, list[0].client, second.Version, 2)
	if err := list[0].client.Restore(t.Context(), saved); err != nil {
		t.Fatal(err)
	}
	restored := inForce(t, list[0].client, second.Version+1, 2)
	got, err := list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "silver"})
	if err != nil || len(got.Records) != 0 || got.Total != 1 || got.Version != restored.Version {
		t.Fatalf("%+v, %v", got, err)
	}
	if got, err = list[1].client.Record(t.Context(), records.Key{Kind: records.Plan, Name: "gold"}); err != nil || len(got.Records) != 1 || got.Records[0].Version != first.Version {
		t.Fatalf("%+v, %v", got, err)
	}
	third := list[1].change("3", putOf(t, "plan/copper", goldPlan))
	inForce(t, list[0].client, third.Version, 2)
}
