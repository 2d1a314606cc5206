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
	pictureInterval           = 100 * time.Millisecond // at least, between reads of a gateway's picture
	pictureIntervalPerGateway = 4 * time.Millisecond
	pictureTimeout            = 900 * time.Millisecond
	maxPictures               = 1 << 18
	peersKey                  = "the lab's own key, thirty-two by"
	starvePart                = 50 * time.Millisecond // a starved process is stopped and continued once in this time
)

// peerNetwork is the network between gateways, and the record of their pictures of each other.
type peerNetwork struct {
	proxy *faultproxy.Proxy
	dir   string

	mu     sync.Mutex
	reach  map[string]string // address at which the others reach each
	roster members.Roster
	log    audit.MembersLog
}

// read returns a copy of the record.
func (n *peerNetwork) read() audit.MembersLog {
	n.mu.Lock()
	defer n.mu.Unlock()
	log := n.log
	log.Pictures, log.Events = slices.Clone(log.Pictures), slices.Clone(log.Events)
	return log
}

// happened records what the lab did to a gateway or to the network between them.
func (l *Lab) happened(what audit.EventKind, name string) {
	if l.peerNetwork == nil {
		return
	}
	n := l.peerNetwork
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Events = append(n.log.Events, audit.Event{At: time.Now(), What: what, Name: name})
}

// openPeerNetwork makes the network between gateways and the files that they read.
func (l *Lab) openPeerNetwork() error {
	n := &peerNetwork{proxy: faultproxy.New(l.site.Seed), dir: filepath.Join(l.dir, "peers"), reach: map[string]string{}}
	l.peerNetwork = n
	if err := os.Mkdir(n.dir, 0o700); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	if err := os.WriteFile(n.path("keys"), []byte(base64.StdEncoding.EncodeToString([]byte(peersKey))+"\n"), 0o600); err != nil {
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

// assignPeerAddresses gives a gateway its operator's address and its address in the network.
func (l *Lab) assignPeerAddresses(g *gatewayProcess) (err error) {
	if g.desk, err = loopback.FreeAddress(); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if g.peers, err = loopback.FreeAddress(); err != nil {
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

// path returns the path of a file that the gateways share.
func (n *peerNetwork) path(name string) string { return filepath.Join(n.dir, name) }

// Roster makes these gateways the members, in the next epoch of the roster file that all gateways read.
func (l *Lab) Roster(names ...string) error {
	n := l.peerNetwork
	n.mu.Lock()
	n.roster = n.roster.Next(names)
	text, err := toml.Marshal(n.roster)
	n.mu.Unlock()
	if err == nil {
		err = files.Replace(n.path("roster.toml"), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	l.happened(audit.Agreed, "")
	return nil
}

// peersOf returns the section of a gateway's operators' file about the others, nil if there is none.
func (l *Lab) peersOf(g *gatewayProcess) object {
	if l.peerNetwork == nil {
		return nil
	}
	n := l.peerNetwork
	n.mu.Lock()
	defer n.mu.Unlock()
	var reach []object
	var seeds []string
	for _, other := range l.gateways {
		if at := n.reach[other.name]; at != "" && other.name != g.name {
			reach = append(reach, object{"name": other.name, "address": at})
			if len(seeds) < 3 {
				seeds = append(seeds, other.name)
			}
		}
	}
	return object{"listen": g.peers, "key_file": n.path("keys"), "roster": n.path("roster.toml"), "dir": g.dir, "seeds": seeds, "reach": reach}
}

// Answer asks a gateway for its picture of the others.
func (l *Lab) Answer(ctx context.Context, name string) (a peers.Status, err error) {
	g, err := l.gateway(name)
	if err != nil {
		return a, err
	}
	return l.ask(ctx, g)
}

func (l *Lab) ask(ctx context.Context, g *gatewayProcess) (peers.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, pictureTimeout)
	defer cancel()
	return peers.QueryStatus(ctx, g.desk)
}

// watchPictures records a gateway's picture of the others until ctx ends.
func (l *Lab) watchPictures(ctx context.Context, g *gatewayProcess) {
	every := max(pictureInterval, pictureIntervalPerGateway*time.Duration(len(l.gateways)), l.site.looks)
	for wait.For(ctx, every) {
		if g.pid() == 0 {
			continue
		}
		asked := time.Now()
		a, err := l.ask(ctx, g)
		if err != nil {
			continue // it is stopped, starting or ending
		}
		p := audit.NewPicture(asked, a)
		n := l.peerNetwork
		n.mu.Lock()
		if len(n.log.Pictures) < maxPictures {
			n.log.Pictures = append(n.log.Pictures, p)
		} else {
			n.log.Lost++
		}
		n.mu.Unlock()
	}
}

// memberRules returns the rules for pictures, in terms of the detector's interval.
func (l *Lab) memberRules() audit.MemberRules {
	return audit.MemberRules{FailWithin: 30 * l.site.Every, AgreeWithin: 60 * l.site.Every}
}

// Twin starts a second process under a gateway's name, with other addresses and a directory of its own, while the first
// runs on.
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

// Members judges the pictures recorded so far.
func (l *Lab) Members() *audit.MembersVerdict {
	return audit.JudgeMembers(l.memberRules(), l.peerNetwork.read())
}

// PeerProxy returns the proxy between the gateways, which must know each other.
func (l *Lab) PeerProxy() *faultproxy.Proxy { return l.peerNetwork.proxy }
