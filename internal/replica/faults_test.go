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
	faultRuns = flag.Int("fault-runs", 2, "seeded runs of three voters under faults")
	faultSeed = flag.Uint64("fault-seed", 1, "the first run's seed")
)

const (
	faultClients   = 3
	callsPerClient = 14
	faultsPerRun   = 7
	requestTimeout = 3 * time.Second
)

// TestFaults injects seeded faults (crash, partition, isolated voter, full disk) into three voters while clients write and
// read revisions. No acknowledged revision may be lost, none may exist that was not requested, all voters must reach the
// same state, and the history must be linearizable.
func TestFaults(t *testing.T) {
	for run := range *faultRuns {
		seed := *faultSeed + uint64(run)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playFaults(t, seed) })
	}
}

// faultRun is one run.
type faultRun struct {
	mu       sync.RWMutex // guards the stores of list
	list     []*voter
	diskFull []atomic.Bool // by voter

	record       sync.Mutex // guards the fields below
	operations   []porcupine.Operation
	requested    map[string]bool   // contents
	acknowledged map[uint64]string // contents by revision
}

// call and reply are the input and output of an operation of the history.
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

func playFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	n, list := startThree(t)
	run := &faultRun{list: list, diskFull: make([]atomic.Bool, len(list)), requested: map[string]bool{}, acknowledged: map[uint64]string{}}
	for i, v := range list {
		v.stop()
		v.injectWriteError = func() error {
			if run.diskFull[i].Load() {
				return errors.New("no space left on device")
			}
			return nil
		}
		testwait.Must(t, v.start(t))
	}
	leader(t, list)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for client := range faultClients {
		choose := rand.New(rand.NewPCG(seed, uint64(client)+1))
		wg.Go(func() { run.runClient(ctx, client, choose, began) })
	}
	for range faultsPerRun {
		at := random.IntN(len(list))
		switch kind := random.IntN(5); kind {
		case 0, 1: // crash and restart
			run.mu.Lock()
			list[at].stop()
			run.mu.Unlock()
			wait.For(ctx, time.Duration(random.IntN(600))*time.Millisecond)
			run.mu.Lock()
			testwait.Must(t, list[at].start(t))
			run.mu.Unlock()
		case 2, 3: // partition from one of the others, or isolation
			for other := range list {
				if other != at && (kind == 3 || other == (at+1)%len(list)) {
					n.set(list[at].name, list[other].name, true)
				}
			}
			wait.For(ctx, time.Duration(random.IntN(900))*time.Millisecond)
			n.healAll()
		case 4: // full disk
			run.diskFull[at].Store(true)
			wait.For(ctx, time.Duration(random.IntN(600))*time.Millisecond)
			run.diskFull[at].Store(false)
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

// restartFailed restarts voters that have stopped for good, as a service manager does.
func (run *faultRun) restartFailed(t *testing.T) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, v := range run.list {
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
	head := uint64(0) // as far as the client knows
	for n := 0; n < callsPerClient && ctx.Err() == nil; n++ {
		wait.For(ctx, time.Duration(choose.IntN(250))*time.Millisecond)
		c := call{read: choose.IntN(3) == 0, parent: head}
		if !c.read {
			c.request = fmt.Sprintf("%d-%d", client, n)
			c.file = "by " + c.request
			run.record.Lock()
			run.requested[c.file] = true
			run.record.Unlock()
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
		run.record.Lock()
		run.operations = append(run.operations, porcupine.Operation{ClientId: client, Input: c, Call: int64(calledAt), Output: got, Return: int64(returnedAt)})
		if got.status == revisions.Accepted {
			run.acknowledged[got.number] = c.file
		}
		run.record.Unlock()
	}
}

// do sends a call to random voters until one has answered, as elderctl does with one request. Its fate is unknown after
// requestTimeout.
func (run *faultRun) do(ctx context.Context, c call, choose *rand.Rand) reply {
	for limit := time.Now().Add(requestTimeout); time.Now().Before(limit); wait.For(ctx, 20*time.Millisecond) {
		run.mu.RLock()
		got, err := doAt(ctx, run.list[choose.IntN(len(run.list))].store, c)
		run.mu.RUnlock()
		if err == nil {
			return got
		}
	}
	return reply{unknown: true}
}

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
		// Ends the rollout, which is no part of this history.
		if _, err := s.Propose(ctx, rolloutApplied(out.Result.Revision.Number)); err != nil {
			return got, err
		}
		return got, errors.New("busy: retry")
	}
	return reply{status: out.Result.Status, number: out.Result.Revision.Number, file: out.Result.Revision.Content.File}, nil
}

// register is the model of the history: a compare-and-swap register with the head's number and content.
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

// check compares the voters' states with the operations of the clients.
func (run *faultRun) check(t *testing.T) {
	l := leader(t, run.list)
	propose(t, l.store, fleet.Entry{Audit: &fleet.Event{At: at, Who: "ann", What: "the end"}})
	testwait.Must(t, l.store.VerifyLeader())
	snapshots := make([]string, len(run.list))
	for i, v := range run.list {
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
			t.Errorf("%s and %s have different states", run.list[0].name, run.list[i].name)
		}
	}
	var all []revisions.Revision
	l.store.View(func(s *fleet.State) { all = s.Revisions() })
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
		t.Error("the check of the history timed out")
	}
	t.Logf("%d calls, %d revisions, %d acknowledged", len(run.operations), len(all), len(run.acknowledged))
	if len(run.acknowledged) == 0 {
		t.Error("no revision was acknowledged")
	}
}
