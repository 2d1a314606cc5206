package replica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"elderyard/fleet"
	"elderyard/internal/testwait"
	"elderyard/internal/wait"
	"elderyard/revisions"
)

var (
	faultRuns = flag.Int("fault-runs", 2, "number of seeded runs of three voters with injected faults")
	faultSeed = flag.Uint64("fault-seed", 1, "seed of the first run; each further run adds 1")
)

const (
	faultClients   = 3
	callsPerClient = 14
	faultsPerRun   = 7
	requestTimeout = 3 * time.Second
)

// TestFaults injects seeded faults (crash, partition, isolated voter, full disk) into three voters while clients write
// and read revisions. No acknowledged revision may be lost, none may exist that was not requested, all voters must
// reach the same state, and the history must be linearizable.
func TestFaults(t *testing.T) {
	for run := range *faultRuns {
		seed := *faultSeed + uint64(run)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runWithFaults(t, seed) })
	}
}

// faultRun is the state of one run of TestFaults.
type faultRun struct {
	mu       sync.RWMutex // guards the stores of the voters
	voters   []*voter
	diskFull []atomic.Bool // by index of the voter

	historyMu    sync.Mutex // guards the fields below
	operations   []porcupine.Operation
	requested    map[string]bool   // contents of the requested revisions
	acknowledged map[uint64]string // contents by revision number
}

// call and reply are the input and output of an operation in the history.
type call struct {
	read    bool
	request string
	parent  uint64
	file    string
}

type reply struct {
	unknown bool
	status  revisions.Status
	number  uint64
	file    string
}

// runWithFaults runs the clients while it injects faults, then checks the voters and the history.
func runWithFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	n, voters := startThree(t)
	run := &faultRun{voters: voters, diskFull: make([]atomic.Bool, len(voters)), requested: map[string]bool{}, acknowledged: map[uint64]string{}}
	for i, v := range voters {
		v.stop()
		v.injectWriteError = func() error {
			if run.diskFull[i].Load() {
				return errors.New("no space left on device")
			}
			return nil
		}
		testwait.Must(t, v.start(t))
	}
	awaitLeader(t, voters)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for client := range faultClients {
		choose := rand.New(rand.NewPCG(seed, uint64(client)+1))
		wg.Go(func() { run.runClient(ctx, client, choose, began) })
	}
	for range faultsPerRun {
		target := random.IntN(len(voters))
		switch kind := random.IntN(5); kind {
		case 0, 1: // crash and restart
			run.mu.Lock()
			voters[target].stop()
			run.mu.Unlock()
			wait.For(ctx, time.Duration(random.IntN(600))*time.Millisecond)
			run.mu.Lock()
			testwait.Must(t, voters[target].start(t))
			run.mu.Unlock()
		case 2, 3: // partition from one of the others, or isolation
			for other := range voters {
				if other != target && (kind == 3 || other == (target+1)%len(voters)) {
					n.setPartition(voters[target].name, voters[other].name, true)
				}
			}
			wait.For(ctx, time.Duration(random.IntN(900))*time.Millisecond)
			n.healAll()
		case 4: // full disk
			run.diskFull[target].Store(true)
			wait.For(ctx, time.Duration(random.IntN(600))*time.Millisecond)
			run.diskFull[target].Store(false)
		}
		run.restartFailed(t)
		wait.For(ctx, time.Duration(random.IntN(300))*time.Millisecond)
	}
	wg.Wait()
	run.restartFailed(t)
	if ctx.Err() != nil {
		t.Fatal("the clients did not finish")
	}
	run.check(t)
}

// restartFailed restarts voters that have stopped permanently, as a service manager does.
func (run *faultRun) restartFailed(t *testing.T) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, v := range run.voters {
		select {
		case <-v.store.Failed():
			t.Logf("%s stopped: %v", v.name, v.store.DiskError())
			v.stop()
			testwait.Must(t, v.start(t))
		default:
		}
	}
}

// runClient writes and reads revisions at random voters.
func (run *faultRun) runClient(ctx context.Context, client int, choose *rand.Rand, began time.Time) {
	head := uint64(0) // latest revision that the client has seen
	for n := 0; n < callsPerClient && ctx.Err() == nil; n++ {
		wait.For(ctx, time.Duration(choose.IntN(250))*time.Millisecond)
		c := call{read: choose.IntN(3) == 0, parent: head}
		if !c.read {
			c.request = fmt.Sprintf("%d-%d", client, n)
			c.file = "by " + c.request
			run.historyMu.Lock()
			run.requested[c.file] = true
			run.historyMu.Unlock()
		}
		calledAt := time.Since(began)
		got := run.do(ctx, c, choose)
		returnedAt := time.Since(began)
		if got.unknown {
			returnedAt = time.Hour // it may be committed later
			if c.read {
				continue // it has no effect
			}
		} else {
			head = got.number
		}
		run.historyMu.Lock()
		run.operations = append(run.operations, porcupine.Operation{ClientId: client, Input: c, Call: int64(calledAt), Output: got, Return: int64(returnedAt)})
		if got.status == revisions.Accepted {
			run.acknowledged[got.number] = c.file
		}
		run.historyMu.Unlock()
	}
}

// do sends a call to random voters until one responds, as elderctl does with a request. Without a response within
// requestTimeout, the outcome is unknown.
func (run *faultRun) do(ctx context.Context, c call, choose *rand.Rand) reply {
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline); wait.For(ctx, 20*time.Millisecond) {
		run.mu.RLock()
		got, err := doAt(ctx, run.voters[choose.IntN(len(run.voters))].store, c)
		run.mu.RUnlock()
		if err == nil {
			return got
		}
	}
	return reply{unknown: true}
}

// doAt performs a call at one voter. An error means that it may be retried.
func doAt(ctx context.Context, s *Store, c call) (got reply, err error) {
	if s == nil {
		return got, ErrNotLeader
	}
	if c.read {
		if err := s.VerifyLeader(); err != nil {
			return got, err
		}
		h := head(s)
		return reply{number: h.Number, file: h.Content.File}, nil
	}
	out, err := s.Propose(ctx, command(c.request, c.parent, c.file))
	if err != nil {
		return got, err
	}
	if out.Result.Status == fleet.Busy {
		// Completes the rollout, which is not part of this history.
		if _, err := s.Propose(ctx, rolloutApplied(out.Result.Revision.Number)); err != nil {
			return got, err
		}
		return got, errors.New("busy: retry")
	}
	return reply{status: out.Result.Status, number: out.Result.Revision.Number, file: out.Result.Revision.Content.File}, nil
}

// register is the sequential model of the history: a compare-and-swap register with the head's number and content.
var register = porcupine.Model{
	Init: func() any { return reply{} },
	Step: func(state, in, out any) (bool, any) {
		head, c, got := state.(reply), in.(call), out.(reply)
		next := reply{number: head.number + 1, file: c.file}
		switch {
		case c.read:
			return got.number == head.number && got.file == head.file, head
		case got.unknown:
			if c.parent == head.number {
				return true, next
			}
			return true, head
		case got.status == revisions.Accepted:
			return c.parent == head.number && got.number == next.number && got.file == c.file, next
		case got.status == revisions.Conflict:
			return c.parent != head.number && got.number == head.number, head
		}
		return false, head
	},
	Equal: func(a, b any) bool { return a == b },
}

// check compares the voters' states with each other and with the clients' operations, and checks the history for
// linearizability.
func (run *faultRun) check(t *testing.T) {
	leader := awaitLeader(t, run.voters)
	propose(t, leader.store, fleet.Entry{Audit: &fleet.Event{At: testTime, Who: "ann", What: "the end"}})
	testwait.Must(t, leader.store.VerifyLeader())
	snapshots := make([]string, len(run.voters))
	for i, v := range run.voters {
		testwait.Until(t, testTimeout, v.name+" has all entries", func() bool {
			var last fleet.Event
			v.store.View(func(s *fleet.State) {
				text, _ := s.Snapshot()
				snapshots[i] = string(text)
				if all := s.Events(); len(all) > 0 {
					last = all[len(all)-1]
				}
			})
			return last.What == "the end"
		})
	}
	for i := range snapshots {
		if snapshots[i] != snapshots[0] {
			t.Errorf("%s and %s have different states", run.voters[0].name, run.voters[i].name)
		}
	}
	var all []revisions.Revision
	leader.store.View(func(s *fleet.State) { all = s.Revisions() })
	stored := map[uint64]string{}
	for _, r := range all {
		stored[r.Number] = r.Content.File
		if !run.requested[r.Content.File] {
			t.Errorf("revision %d was not requested: %s", r.Number, r.Content.File)
		}
	}
	for number, file := range run.acknowledged {
		if stored[number] != file {
			t.Errorf("revision %d was acknowledged as %q and is %q", number, file, stored[number])
		}
	}
	switch result := porcupine.CheckOperationsTimeout(register, run.operations, time.Minute); result {
	case porcupine.Illegal:
		t.Errorf("the history of %d calls is not linearizable", len(run.operations))
	case porcupine.Unknown:
		t.Error("checking the history timed out")
	}
	t.Logf("%d calls, %d revisions, %d acknowledged", len(run.operations), len(all), len(run.acknowledged))
	if len(run.acknowledged) == 0 {
		t.Error("no revision was acknowledged")
	}
}
