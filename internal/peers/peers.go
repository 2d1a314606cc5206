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

const lookEvery = 2 // intervals between looks at the files and the whole list

// Peers is one process's part in its site. Run owns it; the other methods may be
// called from anywhere.
type Peers struct {
	set    Settings
	clock  clock
	counts traffic
	ring   *memberlist.Keyring
	shown  atomic.Pointer[shown]
	asks   chan ask
	ended  chan struct{}

	// of Run's goroutine
	kept     kept
	detector *detector // nil: the sockets are not open yet
	machine  *members.Machine
	contacts *members.Contacts
	rng      *rand.Rand
	file     fileSeen // the roster's
	keys     fileSeen
	raises   int
	began    members.Time   // of this life
	joined   chan struct{}  // closed when those that are being asked have been; nil: nobody is
	errands  sync.WaitGroup // what asks and tells others; the end of the sockets ends them
	joinEnd  context.CancelFunc
	news     bool // what is shown is older than what the machine knows
	left     bool // a later life of the name is there: this one takes no part any more
}

type shown struct {
	picture members.Picture
	permit  members.Permit
}

type ask struct {
	name string
	done chan []members.Evidence // has room for one
}

// fileSeen tells whether a file has changed since the last look.
type fileSeen struct {
	size int64
	at   time.Time
	said string
}

func (f *fileSeen) changed(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return f.said == "" // to be read, and the error told, once
	}
	if info.Size() == f.size && info.ModTime().Equal(f.at) {
		return false
	}
	f.size, f.at = info.Size(), info.ModTime()
	return true
}

// Open reads keys, roster and what is kept, and opens the sockets. Others are asked
// by Run.
func Open(set Settings) (*Peers, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	set.speaks = cmp.Or(set.speaks, version)
	p := &Peers{set: set, clock: newClock(), asks: make(chan ask), ended: make(chan struct{}),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	p.keys.changed(set.KeyFile)
	keys, err := readKeys(set.KeyFile)
	if err != nil {
		return nil, err
	}
	if p.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("%s: %w", set.KeyFile, err)
	}
	p.file.changed(set.Roster)
	roster, err := readRoster(set.Roster)
	if err != nil {
		return nil, err
	}
	if p.kept, err = set.load(); err != nil {
		return nil, err
	}
	if p.kept.Roster.Epoch > roster.Epoch && fits(p.kept.Roster) {
		roster = p.kept.Roster // the others had it; the file lags behind
	}
	if !roster.Has(set.Self) {
		set.Log("peers: the roster of epoch %d does not have %s: it holds nothing until one does", roster.Epoch, set.Self)
	}
	p.kept.Roster = roster
	if p.kept.Addresses == nil {
		p.kept.Addresses = map[string]string{}
	}
	if err := p.begin(members.NextLife(p.kept.Life, time.Now(), p.rng.Uint64())); err != nil {
		return nil, err
	}
	if !set.Patient {
		if err := p.connect(); err != nil {
			return nil, err
		}
	}
	p.publish()
	return p, nil
}

func fits(r members.Roster) bool {
	_, err := r.Check()
	return err == nil
}

// begin starts a life. It is written down before anybody hears of it.
func (p *Peers) begin(life members.Life) (err error) {
	p.kept.Life = life
	if err := p.set.store(p.kept); err != nil {
		return err
	}
	p.began = p.clock.now()
	p.machine, err = members.New(p.set.machine(life), p.kept.Roster, p.began)
	return err
}

// connect opens the sockets of this life.
func (p *Peers) connect() error {
	t, err := listen(&p.set, &p.counts)
	if err != nil {
		return err
	}
	m, says := p.says()
	if p.detector, err = detect(&p.set, t, p.ring, p.kept.Life, m, says); err != nil {
		return err
	}
	p.contacts = members.NewContacts(p.set.Every, p.clock.now())
	return nil
}

// says is what this process tells of itself.
func (p *Peers) says() (meta, message) {
	r := p.machine.Roster()
	return meta{Version: p.set.speaks, Epoch: r.Epoch, Sum: fmt.Sprintf("%016x", r.Sum()), Desk: p.set.Desk},
		message{Version: p.set.speaks, From: p.set.Self, Roster: r, Lives: p.machine.Lives()}
}

func (p *Peers) publish() {
	p.shown.Store(&shown{p.machine.Picture(p.clock.now()), p.machine.Permit()})
}

// Picture is what this process believes, as old as Picture.At tells.
func (p *Peers) Picture() members.Picture { return p.shown.Load().picture }

// May tells whether something may be done at this moment, and why. It is to be
// asked right before the effect.
func (p *Peers) May(u members.Use) (may bool, why string) {
	return p.shown.Load().permit.May(p.clock.now(), u)
}

// Traffic is what went over the sockets.
func (p *Peers) Traffic() Traffic { return p.counts.read() }

var errStopped = errors.New("peers have stopped")

// Evidence is what was learned lately of a name, or of all for "".
func (p *Peers) Evidence(ctx context.Context, name string) ([]members.Evidence, error) {
	a := ask{name, make(chan []members.Evidence, 1)}
	select {
	case p.asks <- a:
		return <-a.done, nil
	case <-p.ended:
		return nil, errStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run takes part until ctx ends, then says good-bye. Told is called in Run's
// goroutine with each new number that quotas are divided by, and that of the
// senders to a cold backend; it must not wait.
func (p *Peers) Run(ctx context.Context, told func(share, cold int)) {
	defer close(p.ended)
	for p.detector == nil {
		err := p.connect()
		if err == nil {
			break
		}
		// In an upgrade the process before has the address until it ends.
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.set.Every / 4):
		}
	}
	defer func() { p.part(!p.left) }()
	tick := time.NewTicker(p.set.Every / 4)
	defer tick.Stop()
	share, cold, looked := 0, 0, p.clock.now()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.detector.events:
			p.handle(ev)
		case a := <-p.asks:
			a.done <- p.machine.Evidence(a.name)
		case <-p.joined:
			p.joined = nil
		case <-tick.C:
			p.news = true // with each tick all that is shown is, its age too
			p.handle(members.Tick{})
			if now := p.clock.now(); now-looked >= lookEvery*p.set.Every {
				looked = now
				p.look()
			}
			p.join()
		}
		if !p.news {
			continue // an answer like those before it: most events are
		}
		p.news = false
		p.publish()
		p.keep()
		if s, c := p.machine.Share(), p.machine.Senders(); s != share || c != cold {
			share, cold = s, c
			told(share, cold)
		}
	}
}

// part ends the library.
func (p *Peers) part(leave bool) {
	if p.joinEnd != nil {
		p.joinEnd()
	}
	p.detector.close(leave)
	p.errands.Wait()
	p.joined = nil
}

func (p *Peers) handle(ev members.Event) {
	if p.left {
		if _, tick := ev.(members.Tick); !tick {
			return
		}
	}
	if !p.machine.Handle(p.clock.now(), ev) {
		return
	}
	p.news = true
	if later := p.machine.Superseded(); later != 0 && !p.left {
		p.yield(later)
		return
	}
	p.detector.tell(p.says())
	if a, is := ev.(members.Alive); is {
		p.share(a)
	}
}

// yield gives way to a later life of this process's name. One that has only just
// begun is itself the later one, whatever its clock says: it takes a higher number.
func (p *Peers) yield(later members.Life) {
	if !members.MayRaise(p.raises, p.clock.now()-p.began, p.set.Every) {
		p.set.Log("peers: life %d of %s is there; this one, %d, takes no part any more", later, p.set.Self, p.kept.Life)
		p.left = true
		p.part(true)
		return
	}
	p.raises++
	p.part(true)
	p.set.Log("peers: life %d of %s has been; this one begins again above it", later, p.set.Self)
	p.kept.Roster = p.machine.Roster()
	err := p.begin(members.Above(later))
	if err == nil {
		err = p.connect()
	}
	if err != nil {
		p.set.Log("peers: %v; this process takes no part any more", err)
		p.left = true
	}
}

// share gives a member this process's roster, where it is to have it.
func (p *Peers) share(a members.Alive) {
	r := p.machine.Roster()
	if !p.contacts.Tell(p.clock.now(), r, a) {
		return
	}
	d, m := p.detector, message{Version: p.set.speaks, From: p.set.Self, Roster: r}
	p.errands.Go(func() { d.send(a, m) }) // what it misses, the next exchange of states brings
}

// look compares with the library's whole list, and reads files that have changed.
func (p *Peers) look() {
	if p.left {
		return
	}
	p.compare()
	if p.keys.changed(p.set.KeyFile) {
		keys, err := readKeys(p.set.KeyFile)
		if err == nil {
			err = turnKeys(p.ring, keys)
		}
		p.keys.say(p.set.Log, err, "the old keys stay")
		if err == nil {
			p.set.Log("peers: %d keys from %s", len(keys), p.set.KeyFile)
		}
	}
	if p.file.changed(p.set.Roster) {
		r, err := readRoster(p.set.Roster)
		if have := p.machine.Roster(); err == nil && r.Epoch < have.Epoch {
			err = fmt.Errorf("%s: epoch %d is older than %d, which this one has", p.set.Roster, r.Epoch, have.Epoch)
		} else if err == nil && r.Epoch == have.Epoch && r.Sum() != have.Sum() {
			err = fmt.Errorf("%s: it differs from the roster of epoch %d that is in use; a change needs a higher epoch", p.set.Roster, r.Epoch)
		}
		p.file.say(p.set.Log, err, "the old roster stays")
		if err == nil {
			p.handle(members.RosterTold{Roster: r, By: p.set.Roster})
		}
	}
}

func (f *fileSeen) say(log func(string, ...any), err error, rest string) {
	f.said = ""
	if err != nil {
		f.said = err.Error()
		log("peers: %v; %s", err, rest)
	}
}

// compare brings the machine to the library's list.
func (p *Peers) compare() {
	life, lost, living := p.kept.Life, p.detector.lost.Swap(false), p.detector.living()
	for _, a := range living {
		if a.Name != p.set.Self || a.Life != life {
			p.share(a)
		}
	}
	for _, ev := range p.machine.Compare(living, lost) {
		if p.handle(ev); p.left || p.kept.Life != life {
			return // what was compared is no more
		}
	}
}

// join asks whom it does not hear to let it in again.
func (p *Peers) join() {
	if p.left || p.joined != nil {
		return
	}
	var seeds []string
	for _, seed := range p.set.Seeds {
		if seed = cmp.Or(p.set.Reach[seed], seed); seed != p.set.Advertise {
			seeds = append(seeds, seed)
		}
	}
	now := p.clock.now()
	picture := p.machine.Picture(now)
	targets := p.contacts.Ask(now, &picture, func(name string) string { return cmp.Or(p.set.Reach[name], p.kept.Addresses[name]) }, seeds, p.rng)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, d := make(chan struct{}), p.detector
	p.joined, p.joinEnd = done, cancel
	p.errands.Go(func() { defer close(done); defer cancel(); d.join(ctx, targets) })
}

// keep writes down what must outlive a start, where it has changed.
func (p *Peers) keep() {
	addresses, changed := maps.Clone(p.kept.Addresses), false
	roster := p.machine.Roster()
	for _, v := range p.shown.Load().picture.Members {
		if !v.Self && v.Belongs && v.State.There() && v.Address != "" && addresses[v.Name] != v.Address {
			addresses[v.Name], changed = v.Address, true
		}
	}
	for name := range addresses {
		if !roster.Has(name) {
			delete(addresses, name)
			changed = true
		}
	}
	if roster.Epoch == p.kept.Roster.Epoch && !changed {
		return
	}
	p.kept.Roster, p.kept.Addresses = roster, addresses
	if err := p.set.store(p.kept); err != nil {
		p.set.Log("peers: %v", err)
	}
}
