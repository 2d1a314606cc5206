package lab

import (
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/files"
	"elderyard/internal/lab/audit"
	"elderyard/internal/loopback"
	"elderyard/internal/peers"
	"elderyard/internal/standin/faultproxy"
	"elderyard/internal/wait"
	"elderyard/members"
)

const (
	lookPeers  = 100 * time.Millisecond // between looks at a gateway's picture; longer where there are many
	lookEach   = 4 * time.Millisecond   // the same, times the gateways
	lookWithin = 900 * time.Millisecond
	mostLooks  = 1 << 18
	peersKey   = "the lab's own key, thirty-two by"
	starvePart = 50 * time.Millisecond // a starved process is stopped and let go within this time
)

// fellows are the ways between gateways and what was seen of their pictures.
type peerNetwork struct {
	proxy *faultproxy.Proxy
	dir  string

	mu     sync.Mutex
	reach  map[string]string // where each is found by the others
	roster members.Roster
	log    audit.MembersLog
}

func (f *peerNetwork) read() audit.MembersLog {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.log
	log.Pictures, log.Happened = slices.Clone(log.Pictures), slices.Clone(log.Happened)
	return log
}

// happened notes what the lab did to a gateway, or to the ways between them.
func (l *Lab) happened(what audit.Happening, name string) {
	if l.peerNetwork == nil {
		return
	}
	f := l.peerNetwork
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Happened = append(f.log.Happened, audit.Happened{At: time.Now(), What: what, Name: name})
}

// openFellows lays the ways and files that gateways know each other by.
func (l *Lab) openPeerNetwork() error {
	f := &peerNetwork{proxy: faultproxy.New(l.site.Seed), dir: filepath.Join(l.dir, "peers"), reach: map[string]string{}}
	l.peerNetwork = f
	if err := os.Mkdir(f.dir, 0o700); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	if err := os.WriteFile(f.path("keys"), []byte(base64.StdEncoding.EncodeToString([]byte(peersKey))+"\n"), 0o600); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	var names []string
	for _, g := range l.gateways {
		if err := l.assignPeerAddresses(g); err != nil {
			return err
		}
		names = append(names, g.name)
	}
	if err := l.Roster(names[:len(names)-l.site.Absent]...); err != nil {
		return err
	}
	for _, g := range l.gateways {
		l.wg.Go(func() { l.watchPictures(l.ctx, g) })
	}
	return nil
}

// seat gives a gateway its addresses among the others.
func (l *Lab) assignPeerAddresses(g *gatewayProcess) (err error) {
	if g.desk, err = loopback.Free(); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if g.peers, err = loopback.Free(); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	reach, err := l.peerNetwork.proxy.Add(g.name, g.peers)
	if err != nil {
		return err
	}
	l.peerNetwork.mu.Lock()
	defer l.peerNetwork.mu.Unlock()
	l.peerNetwork.reach[g.name] = reach
	return nil
}

func (f *peerNetwork) path(name string) string { return filepath.Join(f.dir, name) }

// Roster agrees on who belongs: the file that all gateways read has the next epoch.
func (l *Lab) Roster(names ...string) error {
	f := l.peerNetwork
	f.mu.Lock()
	f.roster = f.roster.Next(names)
	text, err := toml.Marshal(f.roster)
	f.mu.Unlock()
	if err == nil {
		err = files.Replace(f.path("roster.toml"), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	l.happened(audit.Agreed, "")
	return nil
}

// peersOf is what a gateway's operator's file says of the others; nil: nothing.
func (l *Lab) peersOf(g *gatewayProcess) object {
	if l.peerNetwork == nil {
		return nil
	}
	f := l.peerNetwork
	f.mu.Lock()
	defer f.mu.Unlock()
	var reach []object
	var seeds []string
	for _, other := range l.gateways {
		if at := f.reach[other.name]; at != "" && other.name != g.name {
			reach = append(reach, object{"name": other.name, "address": at})
			if len(seeds) < 3 {
				seeds = append(seeds, other.name)
			}
		}
	}
	return object{"listen": g.peers, "key_file": f.path("keys"), "roster": f.path("roster.toml"), "dir": g.dir, "seeds": seeds, "reach": reach}
}

// Answer asks a gateway what it believes.
func (l *Lab) Answer(ctx context.Context, name string) (a peers.Answer, err error) {
	g, err := l.gateway(name)
	if err != nil {
		return a, err
	}
	return l.ask(ctx, g)
}

func (l *Lab) ask(ctx context.Context, g *gatewayProcess) (peers.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	return peers.Ask(ctx, g.desk)
}

// watchPictures records what a gateway believes until ctx ends.
func (l *Lab) watchPictures(ctx context.Context, g *gatewayProcess) {
	every := max(lookPeers, lookEach*time.Duration(len(l.gateways)), l.site.looks)
	for wait.For(ctx, every) {
		if g.pid() == 0 {
			continue
		}
		asked := time.Now()
		a, err := l.ask(ctx, g)
		if err != nil {
			continue // it is stopped, or on its way up or down
		}
		p := audit.PictureOf(asked, a)
		f := l.peerNetwork
		f.mu.Lock()
		if len(f.log.Pictures) < mostLooks {
			f.log.Pictures = append(f.log.Pictures, p)
		} else {
			f.log.Lost++
		}
		f.mu.Unlock()
	}
}

// memberRules are what the pictures are held to, in the detector's own times.
func (l *Lab) memberRules() audit.MemberRules {
	return audit.MemberRules{FailWithin: 30 * l.site.Every, AgreeWithin: 60 * l.site.Every}
}

// Twin starts a second process under a gateway's name, at other addresses and with
// a folder of its own, while the first goes on.
func (l *Lab) Twin(ctx context.Context, name string) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(l.dir, "twin-")
	if err != nil {
		return fmt.Errorf("twin of %s: %w", name, err)
	}
	twin := &gatewayProcess{name: name, rank: g.rank, dir: dir, state: Dead, side: 1 - g.side}
	if err := l.assignPeerAddresses(twin); err != nil {
		return err
	}
	l.mu.Lock()
	l.twins = append(l.twins, twin)
	l.mu.Unlock()
	l.wg.Go(func() { l.watchPictures(l.ctx, twin) })
	return l.startGateway(ctx, twin)
}

// ---- faults of the ways

func (l *Lab) gatewayNames() (names []string) {
	for _, g := range l.gateways {
		names = append(names, g.name)
	}
	return names
}

// between changes directions, and returns what changes them back. Pick names those
// that it is about.
func (l *Lab) setLinkFaults(what string, pick func(from, to int) bool, set func(*faultproxy.Fault, bool)) (undo func() error) {
	names := l.gatewayNames()
	var struck [][2]string
	for i, from := range names {
		for k, to := range names {
			if i != k && pick(i, k) {
				struck = append(struck, [2]string{from, to})
			}
		}
	}
	l.happened(audit.Troubled, what)
	for _, w := range struck {
		l.peerNetwork.proxy.UpdateFault(w[0], w[1], func(t *faultproxy.Fault) { set(t, true) })
	}
	return func() error {
		for _, w := range struck {
			l.peerNetwork.proxy.UpdateFault(w[0], w[1], func(t *faultproxy.Fault) { set(t, false) })
		}
		l.happened(audit.Healed, what)
		return nil
	}
}

func setCut(t *faultproxy.Fault, on bool) { t.Cut = on }

func peersCut(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	in := func(i int) bool { return slices.Contains(targets, i) }
	return l.setLinkFaults(f.Kind, func(from, to int) bool { return in(from) != in(to) }, setCut), nil
}

func peersApart(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.setLinkFaults(f.Kind, func(from, to int) bool { return slices.Contains(targets, from) || slices.Contains(targets, to) }, setCut), nil
}

func peersDeaf(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.setLinkFaults(f.Kind, func(_, to int) bool { return slices.Contains(targets, to) }, setCut), nil
}

func peersMute(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.setLinkFaults(f.Kind, func(from, _ int) bool { return slices.Contains(targets, from) }, setCut), nil
}

func peersRing(_ context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	n := len(l.gateways)
	return l.setLinkFaults(f.Kind, func(from, to int) bool { d := (from - to + n) % n; return d != 1 && d != n-1 }, setCut), nil
}

func peersFlap(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	half := time.Duration(float64(time.Second) / f.size() / 2)
	return l.whileOn(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			undo, _ := peersCut(ctx, l, f, targets)
			wait.For(ctx, half)
			undo()
			wait.For(ctx, half)
		}
	}), nil
}

func peersTrouble(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	size := f.size()
	return l.setLinkFaults(f.Kind, func(from, to int) bool { return slices.Contains(targets, from) || slices.Contains(targets, to) }, func(t *faultproxy.Fault, on bool) {
		if !on {
			size = 0
		}
		switch f.Kind {
		case "peers-loss":
			t.Loss = size
		case "peers-late":
			t.Delay = time.Duration(size * float64(time.Millisecond))
		case "peers-muddle":
			t.Duplicate, t.Reorder = size, size
		}
	}), nil
}

// gatewayStarve stops processes again and again for a moment, so that they get a
// part of a core at best.
func gatewayStarve(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	stopped := time.Duration(f.size() * float64(starvePart))
	return l.whileOn(ctx, func(ctx context.Context) {
		var all sync.WaitGroup
		for _, t := range targets {
			g := l.gateways[t]
			end := l.excuse(g, "starved")
			l.happened(audit.Troubled, "starve "+g.name)
			all.Go(func() {
				for ctx.Err() == nil {
					if g.signal(sigStop, "") != nil {
						break // it has ended
					}
					wait.For(ctx, stopped)
					g.signal(sigCont, "")
					wait.For(ctx, starvePart-stopped)
				}
				l.happened(audit.Healed, "starve "+g.name)
				wait.For(l.ctx, wakeGrace)
				end()
			})
		}
		all.Wait()
	}), nil
}

// Members rules on the pictures that have been seen so far.
func (l *Lab) Members() *audit.MembersVerdict {
	return audit.JudgeMembers(l.memberRules(), l.peerNetwork.read())
}

// Ways are those between the gateways; nil where they do not know each other.
func (l *Lab) PeerProxy() *faultproxy.Proxy { return l.peerNetwork.proxy }

func (l *Lab) gateway(name string) (*gatewayProcess, error) {
	for _, g := range l.gateways {
		if g.name == name {
			return g, nil
		}
	}
	return nil, fmt.Errorf("there is no gateway %s", name)
}

// Kill ends a gateway at once.
func (l *Lab) Kill(name string) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.killGateway(g)
}

// Start starts a gateway that does not run, and waits until it is ready.
func (l *Lab) Start(ctx context.Context, name string) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.startGateway(ctx, g)
}

// Pause stops a gateway's process, or wakes it.
func (l *Lab) Pause(name string, stopped bool) error {
	g, err := l.gateway(name)
	if err != nil {
		return err
	}
	return l.pause(g, stopped)
}

// Desk is where the operators of a gateway call.
func (l *Lab) Desk(name string) (string, error) {
	g, err := l.gateway(name)
	if err != nil {
		return "", err
	}
	return g.desk, nil
}
