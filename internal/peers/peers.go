package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"elderyard/members"
)

// Peers is one process's membership in its site. All methods except Run are safe for concurrent use.
type Peers struct {
	settings        Settings
	clock           clock
	traffic         trafficCounters
	keyring         *memberlist.Keyring
	published       atomic.Pointer[publishedState]
	evidenceQueries chan evidenceQuery
	done            chan struct{}

	// The fields below belong to the goroutine of Run.
	saved              savedState
	detector           *detector // nil until the sockets are open
	machine            *members.Machine
	contacts           *members.Contacts
	rng                *rand.Rand
	rosterFile         fileWatch
	keyFile            fileWatch
	incarnationRaises  int
	incarnationStarted members.Time
	joinDone           chan struct{}  // closed when the running join attempt ends; nil if none runs
	background         sync.WaitGroup // goroutines of join and sendRoster; closing the detector ends them
	cancelJoin         context.CancelFunc
	unpublished        bool // the machine has changed since the last publish
	resigned           bool // superseded by a later incarnation: the detector is closed
}

// publishedState is the state that other goroutines read.
type publishedState struct {
	view       members.View
	permission members.Permission
}

// evidenceQuery requests the evidence on a name from Run.
type evidenceQuery struct {
	name string
	done chan []members.Evidence // buffered: Run must not block
}

// errStopped is returned by queries after Run has returned.
var errStopped = errors.New("peers have stopped")

// Open reads the keys, the roster and the saved state, starts an incarnation and, unless Settings.WaitForAddress is
// set, opens the sockets. Before Run, it only responds to other members. Errors name the invalid file or setting.
func Open(settings Settings) (*Peers, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	settings.protocolVersion = cmp.Or(settings.protocolVersion, protocolVersion)
	p := &Peers{settings: settings, clock: newClock(), evidenceQueries: make(chan evidenceQuery), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	p.keyFile.changed(settings.KeyFile)
	keys, err := readKeys(settings.KeyFile)
	if err != nil {
		return nil, err
	}
	if p.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("%s: %w", settings.KeyFile, err)
	}
	p.rosterFile.changed(settings.RosterFile)
	roster, err := readRoster(settings.RosterFile)
	if err != nil {
		return nil, err
	}
	if p.saved, err = settings.load(); err != nil {
		return nil, err
	}
	if p.saved.Roster.Epoch > roster.Epoch && validRoster(p.saved.Roster) {
		roster = p.saved.Roster // received from other members; the file is outdated
	}
	if !roster.Has(settings.Self) {
		settings.Log.Warn("peers: this process is not in the roster; it has no lease and no quota", "name", settings.Self, "epoch", roster.Epoch)
	}
	p.saved.Roster = roster
	if p.saved.Addresses == nil {
		p.saved.Addresses = map[string]string{}
	}
	if err := p.startIncarnation(members.NextIncarnation(p.saved.Incarnation, time.Now(), p.rng.Uint64())); err != nil {
		return nil, err
	}
	if !settings.WaitForAddress {
		if err := p.connect(); err != nil {
			return nil, err
		}
	}
	p.publish()
	return p, nil
}

// validRoster reports whether a saved roster can be used.
func validRoster(r members.Roster) bool {
	_, err := r.Check()
	return err == nil
}

// View returns the latest published view of the site. View.At states its age. It must not be modified.
func (p *Peers) View() members.View { return p.published.Load().view }

// Allows reports whether an operation is allowed now, and the reason. It must be called right before the effect:
// otherwise the process may have been suspended in between.
func (p *Peers) Allows(op members.Operation) (allowed bool, reason string) {
	return p.published.Load().permission.Allows(p.clock.now(), op)
}

// Traffic returns the counts of sent, received and dropped traffic since Open.
func (p *Peers) Traffic() Traffic { return p.traffic.snapshot() }

// Evidence returns the latest evidence on a name, or on all names for "", oldest first. It waits for Run, and returns
// an error if ctx ends or Run has returned.
func (p *Peers) Evidence(ctx context.Context, name string) ([]members.Evidence, error) {
	query := evidenceQuery{name, make(chan []members.Evidence, 1)}
	select {
	case p.evidenceQueries <- query:
		return <-query.done, nil
	case <-p.done:
		return nil, errStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// publish publishes the state of the machine to other goroutines.
func (p *Peers) publish() {
	p.published.Store(&publishedState{p.machine.View(p.clock.now()), p.machine.Permission()})
}
