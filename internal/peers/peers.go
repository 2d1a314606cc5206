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

// Peers is one process's part in its site. Run owns it; the other methods may be
// called from anywhere.
type Peers struct {
	settings        Settings
	clock           clock
	traffic         trafficCounters
	keyring         *memberlist.Keyring
	published       atomic.Pointer[publishedState]
	evidenceQueries chan evidenceQuery
	done            chan struct{}

	// of Run's goroutine
	saved              savedState
	detector           *detector // nil: the sockets are not open yet
	machine            *members.Machine
	contacts           *members.Contacts
	rng                *rand.Rand
	rosterFile         fileWatch // the roster's
	keyFile            fileWatch
	raises             int
	incarnationStarted members.Time   // of this life
	joinDone           chan struct{}  // closed when those that are being asked have been; nil: nobody is
	background         sync.WaitGroup // what asks and tells others; the end of the sockets ends them
	cancelJoin         context.CancelFunc
	unpublished        bool // what is shown is older than what the machine knows
	resigned           bool // a later life of the name is there: this one takes no part any more
}

type publishedState struct {
	view       members.View
	permission members.Permission
}

type evidenceQuery struct {
	name string
	done chan []members.Evidence // has room for one
}

var errStopped = errors.New("peers have stopped")

// Open reads keys, roster and what is kept, and opens the sockets. Others are asked
// by Run.
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
		roster = p.saved.Roster // the others had it; the file lags behind
	}
	if !roster.Has(settings.Self) {
		settings.Log("peers: the roster of epoch %d does not have %s: it holds nothing until one does", roster.Epoch, settings.Self)
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

func validRoster(r members.Roster) bool {
	_, err := r.Check()
	return err == nil
}

// View is what this process believes, as old as Picture.At tells.
func (p *Peers) View() members.View { return p.published.Load().view }

// Allows tells whether something may be done at this moment, and why. It is to be
// asked right before the effect.
func (p *Peers) Allows(u members.Operation) (allowed bool, reason string) {
	return p.published.Load().permission.Allows(p.clock.now(), u)
}

// Traffic is what went over the sockets.
func (p *Peers) Traffic() Traffic { return p.traffic.snapshot() }

// Evidence is what was learned lately of a name, or of all for "".
func (p *Peers) Evidence(ctx context.Context, name string) ([]members.Evidence, error) {
	a := evidenceQuery{name, make(chan []members.Evidence, 1)}
	select {
	case p.evidenceQueries <- a:
		return <-a.done, nil
	case <-p.done:
		return nil, errStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Peers) publish() {
	p.published.Store(&publishedState{p.machine.View(p.clock.now()), p.machine.Permission()})
}
