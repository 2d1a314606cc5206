package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"elderyard/members"
)

const reconcileIntervals = 2 // intervals between looks at the files and the whole list

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

// fileWatch tells whether a file has changed since the last look.
type fileWatch struct {
	size      int64
	modified  time.Time
	lastError string
}

func (f *fileWatch) changed(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return f.lastError == "" // to be read, and the error told, once
	}
	if info.Size() == f.size && info.ModTime().Equal(f.modified) {
		return false
	}
	f.size, f.modified = info.Size(), info.ModTime()
	return true
}

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

// startIncarnation starts a life. It is written down before anybody hears of it.
func (p *Peers) startIncarnation(incarnation members.Incarnation) (err error) {
	p.saved.Incarnation = incarnation
	if err := p.settings.store(p.saved); err != nil {
		return err
	}
	p.incarnationStarted = p.clock.now()
	p.machine, err = members.New(p.settings.machineSettings(incarnation), p.saved.Roster, p.incarnationStarted)
	return err
}

// connect opens the sockets of this life.
func (p *Peers) connect() error {
	t, err := listen(&p.settings, &p.traffic)
	if err != nil {
		return err
	}
	m, state := p.announcement()
	if p.detector, err = startDetector(&p.settings, t, p.keyring, p.saved.Incarnation, m, state); err != nil {
		return err
	}
	p.contacts = members.NewContacts(p.settings.ProbeInterval, p.clock.now())
	return nil
}

// announcement is what this process tells of itself.
func (p *Peers) announcement() (meta, message) {
	r := p.machine.Roster()
	return meta{Version: p.settings.protocolVersion, Epoch: r.Epoch, Sum: fmt.Sprintf("%016x", r.Sum()), AdminAddress: p.settings.AdminAddress},
		message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r, Incarnations: p.machine.Incarnations()}
}

func (p *Peers) publish() {
	p.published.Store(&publishedState{p.machine.View(p.clock.now()), p.machine.Permission()})
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

var errStopped = errors.New("peers have stopped")

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

// Run takes part until ctx ends, then says good-bye. Told is called in Run's
// goroutine with each new number that quotas are divided by, and that of the
// senders to a cold backend; it must not wait.
func (p *Peers) Run(ctx context.Context, divisorsChanged func(quotaDivisor, senders int)) {
	defer close(p.done)
	for p.detector == nil {
		err := p.connect()
		if err == nil {
			break
		}
		// In an upgrade the process before has the address until it ends.
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.settings.ProbeInterval / 4):
		}
	}
	defer func() { p.stopDetector(!p.resigned) }()
	tick := time.NewTicker(p.settings.ProbeInterval / 4)
	defer tick.Stop()
	quotaDivisor, senders, lastReconcile := 0, 0, p.clock.now()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.detector.events:
			p.handle(ev)
		case a := <-p.evidenceQueries:
			a.done <- p.machine.Evidence(a.name)
		case <-p.joinDone:
			p.joinDone = nil
		case <-tick.C:
			p.unpublished = true // with each tick all that is shown is, its age too
			p.handle(members.Tick{})
			if now := p.clock.now(); now-lastReconcile >= reconcileIntervals*p.settings.ProbeInterval {
				lastReconcile = now
				p.reconcile()
			}
			p.join()
		}
		if !p.unpublished {
			continue // an answer like those before it: most events are
		}
		p.unpublished = false
		p.publish()
		p.persist()
		if s, c := p.machine.QuotaDivisor(), p.machine.Senders(); s != quotaDivisor || c != senders {
			quotaDivisor, senders = s, c
			divisorsChanged(quotaDivisor, senders)
		}
	}
}

// stopDetector ends the library.
func (p *Peers) stopDetector(leave bool) {
	if p.cancelJoin != nil {
		p.cancelJoin()
	}
	p.detector.close(leave)
	p.background.Wait()
	p.joinDone = nil
}

func (p *Peers) handle(ev members.Event) {
	if p.resigned {
		if _, tick := ev.(members.Tick); !tick {
			return
		}
	}
	if !p.machine.Handle(p.clock.now(), ev) {
		return
	}
	p.unpublished = true
	if later := p.machine.Superseded(); later != 0 && !p.resigned {
		p.resign(later)
		return
	}
	p.detector.announce(p.announcement())
	if a, is := ev.(members.Alive); is {
		p.sendRoster(a)
	}
}

// resign gives way to a later life of this process's name. One that has only just
// begun is itself the later one, whatever its clock says: it takes a higher number.
func (p *Peers) resign(later members.Incarnation) {
	if !members.MayRaiseIncarnation(p.raises, p.clock.now()-p.incarnationStarted, p.settings.ProbeInterval) {
		p.settings.Log("peers: life %d of %s is there; this one, %d, takes no part any more", later, p.settings.Self, p.saved.Incarnation)
		p.resigned = true
		p.stopDetector(true)
		return
	}
	p.raises++
	p.stopDetector(true)
	p.settings.Log("peers: life %d of %s has been; this one begins again above it", later, p.settings.Self)
	p.saved.Roster = p.machine.Roster()
	err := p.startIncarnation(members.IncarnationAbove(later))
	if err == nil {
		err = p.connect()
	}
	if err != nil {
		p.settings.Log("peers: %v; this process takes no part any more", err)
		p.resigned = true
	}
}

// sendRoster gives a member this process's roster, where it is to have it.
func (p *Peers) sendRoster(a members.Alive) {
	r := p.machine.Roster()
	if !p.contacts.ShouldSendRoster(p.clock.now(), r, a) {
		return
	}
	d, m := p.detector, message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r}
	p.background.Go(func() { d.send(a, m) }) // what it misses, the next exchange of states brings
}

// reconcile compares with the library's whole list, and reads files that have changed.
func (p *Peers) reconcile() {
	if p.resigned {
		return
	}
	p.reconcileMembers()
	if p.keyFile.changed(p.settings.KeyFile) {
		keys, err := readKeys(p.settings.KeyFile)
		if err == nil {
			err = updateKeyring(p.keyring, keys)
		}
		p.keyFile.report(p.settings.Log, err, "the old keys stay")
		if err == nil {
			p.settings.Log("peers: %d keys from %s", len(keys), p.settings.KeyFile)
		}
	}
	if p.rosterFile.changed(p.settings.RosterFile) {
		r, err := readRoster(p.settings.RosterFile)
		if have := p.machine.Roster(); err == nil && r.Epoch < have.Epoch {
			err = fmt.Errorf("%s: epoch %d is older than %d, which this one has", p.settings.RosterFile, r.Epoch, have.Epoch)
		} else if err == nil && r.Epoch == have.Epoch && r.Sum() != have.Sum() {
			err = fmt.Errorf("%s: it differs from the roster of epoch %d that is in use; a change needs a higher epoch", p.settings.RosterFile, r.Epoch)
		}
		p.rosterFile.report(p.settings.Log, err, "the old roster stays")
		if err == nil {
			p.handle(members.RosterReceived{Roster: r, By: p.settings.RosterFile})
		}
	}
}

func (f *fileWatch) report(log func(string, ...any), err error, consequence string) {
	f.lastError = ""
	if err != nil {
		f.lastError = err.Error()
		log("peers: %v; %s", err, consequence)
	}
}

// reconcileMembers brings the machine to the library's list.
func (p *Peers) reconcileMembers() {
	incarnation, eventsDropped, alive := p.saved.Incarnation, p.detector.eventsDropped.Swap(false), p.detector.alive()
	for _, a := range alive {
		if a.Name != p.settings.Self || a.Incarnation != incarnation {
			p.sendRoster(a)
		}
	}
	for _, ev := range p.machine.Reconcile(alive, eventsDropped) {
		if p.handle(ev); p.resigned || p.saved.Incarnation != incarnation {
			return // what was compared is no more
		}
	}
}

// join asks whom it does not hear to let it in again.
func (p *Peers) join() {
	if p.resigned || p.joinDone != nil {
		return
	}
	var seeds []string
	for _, seed := range p.settings.Seeds {
		if seed = cmp.Or(p.settings.AddressOverrides[seed], seed); seed != p.settings.Advertise {
			seeds = append(seeds, seed)
		}
	}
	now := p.clock.now()
	view := p.machine.View(now)
	targets := p.contacts.JoinTargets(now, &view, func(name string) string { return cmp.Or(p.settings.AddressOverrides[name], p.saved.Addresses[name]) }, seeds, p.rng)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, d := make(chan struct{}), p.detector
	p.joinDone, p.cancelJoin = done, cancel
	p.background.Go(func() { defer close(done); defer cancel(); d.join(ctx, targets) })
}

// persist writes down what must outlive a start, where it has changed.
func (p *Peers) persist() {
	addresses, changed := maps.Clone(p.saved.Addresses), false
	roster := p.machine.Roster()
	for _, v := range p.published.Load().view.Members {
		if !v.Self && v.IsMember && v.State.Alive() && v.Address != "" && addresses[v.Name] != v.Address {
			addresses[v.Name], changed = v.Address, true
		}
	}
	for name := range addresses {
		if !roster.Has(name) {
			delete(addresses, name)
			changed = true
		}
	}
	if roster.Epoch == p.saved.Roster.Epoch && !changed {
		return
	}
	p.saved.Roster, p.saved.Addresses = roster, addresses
	if err := p.settings.store(p.saved); err != nil {
		p.settings.Log("peers: %v", err)
	}
}
