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
	"elderyard/internal/wait"
	"elderyard/revisions"
)

var (
	faultRuns = flag.Int("fault-runs", 2, "seeded runs of three voters under faults")
	faultSeed = flag.Uint64("fault-seed", 1, "the first run's seed")
)

const (
	operators   = 3
	callsEach   = 14
	faultsEach  = 7
	proposeTime = 3 * time.Second
)

// TestFaults plays seeded faults (death, a partition, a silent voter, a full
// disk) to three voters while operators apply and show. No revision that was
// acknowledged may be lost, none may be there that nobody asked for, all voters
// come to one state, and the history is linearizable.
func TestFaults(t *testing.T) {
	for run := range *faultRuns {
		seed := *faultSeed + uint64(run)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playFaults(t, seed) })
	}
}

// trial is one run.
type trial struct {
	mu   sync.RWMutex // stores are replaced under it
	list []*voter
	bad  []atomic.Bool // the disk of each is full

	record  sync.Mutex
	ops     []porcupine.Operation
	asked   map[string]bool // content that anybody asked for
	claimed map[uint64]string
}

// action and answer are an operation of the history.
type action struct {
	show    bool
	request string
	parent  uint64
	file    string
}

type answer struct {
	unknown bool
	answer  revisions.Status
	number  uint64
	file    string
}

func playFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	n, list := three(t)
	tr := &trial{list: list, bad: make([]atomic.Bool, len(list)), asked: map[string]bool{}, claimed: map[uint64]string{}}
	for i, v := range list {
		v.stop()
		v.spoil = func() error {
			if tr.bad[i].Load() {
				return errors.New("no space left on device")
			}
			return nil
		}
		must(t, v.start(t))
	}
	leader(t, list)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for op := range operators {
		choose := rand.New(rand.NewPCG(seed, uint64(op)+1))
		wg.Go(func() { tr.operate(ctx, op, choose, began) })
	}
	for range faultsEach {
		at := r.IntN(len(list))
		switch kind := r.IntN(5); kind {
		case 0, 1: // killed, and back
			tr.mu.Lock()
			list[at].stop()
			tr.mu.Unlock()
			wait.For(ctx, time.Duration(r.IntN(600))*time.Millisecond)
			tr.mu.Lock()
			must(t, list[at].start(t))
			tr.mu.Unlock()
		case 2, 3: // cut off from one of the others, or from both: as silent as one that is stopped
			for other := range list {
				if other != at && (kind == 3 || other == (at+1)%len(list)) {
					n.set(list[at].name, list[other].name, true)
				}
			}
			wait.For(ctx, time.Duration(r.IntN(900))*time.Millisecond)
			n.healAll()
		case 4:
			tr.bad[at].Store(true)
			wait.For(ctx, time.Duration(r.IntN(600))*time.Millisecond)
			tr.bad[at].Store(false)
		}
		tr.restartBroken(t)
		wait.For(ctx, time.Duration(r.IntN(300))*time.Millisecond)
	}
	wg.Wait()
	tr.restartBroken(t)
	if ctx.Err() != nil {
		t.Fatal("the operators did not come to an end")
	}
	tr.judge(t)
}

// restartBroken does what a service manager does with an agent that has ended.
func (tr *trial) restartBroken(t *testing.T) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, v := range tr.list {
		select {
		case <-v.store.Failed():
			t.Logf("%s stopped: %v", v.name, v.store.DiskError())
			v.stop()
			must(t, v.start(t))
		default:
		}
	}
}

// operate applies and shows at any voter.
func (tr *trial) operate(ctx context.Context, op int, choose *rand.Rand, began time.Time) {
	known := uint64(0)
	for n := 0; n < callsEach && ctx.Err() == nil; n++ {
		wait.For(ctx, time.Duration(choose.IntN(250))*time.Millisecond)
		a := action{show: choose.IntN(3) == 0, parent: known}
		if !a.show {
			a.request = fmt.Sprintf("%d-%d", op, n)
			a.file = "by " + a.request
			tr.record.Lock()
			tr.asked[a.file] = true
			tr.record.Unlock()
		}
		call := time.Since(began)
		got := tr.ask(ctx, a, choose)
		back := time.Since(began)
		if got.unknown {
			back = time.Hour // it may still be carried out
			if a.show {
				continue // and changes nothing
			}
		} else {
			known = got.number
		}
		tr.record.Lock()
		tr.ops = append(tr.ops, porcupine.Operation{ClientId: op, Input: a, Call: int64(call), Output: got, Return: int64(back)})
		if got.answer == revisions.Accepted {
			tr.claimed[got.number] = a.file
		}
		tr.record.Unlock()
	}
}

// ask goes from voter to voter until one has answered, as the tool does with
// one request; its fate is unknown when the time is over.
func (tr *trial) ask(ctx context.Context, a action, choose *rand.Rand) answer {
	for limit := time.Now().Add(proposeTime); time.Now().Before(limit); wait.For(ctx, 20*time.Millisecond) {
		tr.mu.RLock()
		got, err := tr.askOne(ctx, tr.list[choose.IntN(len(tr.list))].store, a)
		tr.mu.RUnlock()
		if err == nil {
			return got
		}
	}
	return answer{unknown: true}
}

func (tr *trial) askOne(ctx context.Context, s *Store, a action) (got answer, err error) {
	if s == nil {
		return got, ErrNoLeader
	}
	if a.show {
		if err := s.VerifyLeader(); err != nil {
			return got, err
		}
		h := head(s)
		return answer{number: h.Number, file: h.Content.File}, nil
	}
	out, err := s.Propose(ctx, command(a.request, a.parent, a.file))
	if err != nil {
		return got, err
	}
	if out.Result.Status == fleet.Busy {
		// Ends the rollout, which is no part of this history.
		if _, err := s.Propose(ctx, turn(out.Result.Revision.Number)); err != nil {
			return got, err
		}
		return got, errors.New("again")
	}
	return answer{answer: out.Result.Status, number: out.Result.Revision.Number, file: out.Result.Revision.Content.File}, nil
}

// register is the model: the head, and the answers that were given, which a
// repeat gets again.
var register = porcupine.Model{
	Init: func() any { return answer{} },
	Step: func(state, in, out any) (bool, any) {
		head, a, got := state.(answer), in.(action), out.(answer)
		next := answer{number: head.number + 1, file: a.file}
		switch {
		case a.show:
			return got.number == head.number && got.file == head.file, head
		case got.unknown:
			if a.parent == head.number {
				return true, next
			}
			return true, head
		case got.answer == revisions.Accepted:
			return a.parent == head.number && got.number == next.number && got.file == a.file, next
		case got.answer == revisions.Conflict:
			return a.parent != head.number && got.number == head.number, head
		}
		return false, head
	},
	Equal: func(a, b any) bool { return a == b },
}

func (tr *trial) judge(t *testing.T) {
	l := leader(t, tr.list)
	propose(t, l.store, fleet.Entry{Audit: &fleet.Event{At: at, Who: "ann", What: "the end"}})
	must(t, l.store.VerifyLeader())
	shots := make([]string, len(tr.list))
	for i, v := range tr.list {
		until(t, v.name+" has all", func() bool {
			var last fleet.Event
			v.store.View(func(s *fleet.State) {
				text, _ := s.Snapshot()
				shots[i] = string(text)
				if all := s.Events(); len(all) > 0 {
					last = all[len(all)-1]
				}
			})
			return last.What == "the end"
		})
	}
	for i := range shots {
		if shots[i] != shots[0] {
			t.Errorf("%s and %s have come to two states", tr.list[0].name, tr.list[i].name)
		}
	}
	var all []revisions.Revision
	l.store.View(func(s *fleet.State) { all = s.Revisions() })
	there := map[uint64]string{}
	for _, r := range all {
		there[r.Number] = r.Content.File
		if !tr.asked[r.Content.File] {
			t.Errorf("revision %d was asked for by nobody: %s", r.Number, r.Content.File)
		}
	}
	for number, file := range tr.claimed {
		if there[number] != file {
			t.Errorf("revision %d was acknowledged as %q and is %q", number, file, there[number])
		}
	}
	switch result := porcupine.CheckOperationsTimeout(register, tr.ops, time.Minute); result {
	case porcupine.Illegal:
		t.Errorf("the history of %d calls is not linearizable", len(tr.ops))
	case porcupine.Unknown:
		t.Error("whether the history is linearizable was not found out")
	}
	t.Logf("%d calls, %d revisions, %d acknowledged", len(tr.ops), len(all), len(tr.claimed))
	if len(tr.claimed) == 0 {
		t.Error("nothing was applied at all")
	}
}
