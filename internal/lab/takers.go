package lab

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"elderyard/internal/files"
	"elderyard/internal/wait"
)

const pingWait = time.Second

// takers are the names of those who take limit commands: the gateways, or in a fleet
// the agents that are to.
func (l *Lab) takers() (names []string) {
	if l.site.fleet == nil {
		for _, g := range l.gateways[:l.site.Gateways] {
			names = append(names, g.name)
		}
		return names
	}
	for i := range l.site.fleet.Fronts {
		names = append(names, agentName(i))
	}
	return names
}

// takingAgents are the agents so far that take limit commands.
func (l *Lab) takingAgents() (list []*agentProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.agents {
		if a.limits != "" {
			list = append(list, a)
		}
	}
	return list
}

func agentName(i int) string { return fmt.Sprint("a", i) }

// takesLimits tells whether a gateway takes limit commands itself.
func (l *Lab) takesLimits(g *gatewayProcess) bool {
	return l.limits != nil && l.site.fleet == nil && g.rank < l.site.Gateways
}

// takeIn lets clients come to a gateway.
func (l *Lab) takeIn(g *gatewayProcess) {
	g.mu.Lock()
	address, limits := g.address, g.limits
	g.mu.Unlock()
	l.front.Take(g.rank, address)
	if l.takesLimits(g) {
		l.limits.Take(g.rank, limits)
	}
}

// leaveOut sends them elsewhere.
func (l *Lab) leaveOut(g *gatewayProcess) {
	l.front.Leave(g.rank)
	if l.takesLimits(g) {
		l.limits.Leave(g.rank)
	}
}

// writeOperators writes a gateway's operator's file, where the site needs one, and
// returns the variable that names it.
func (l *Lab) writeOperators(g *gatewayProcess) (env []string, err error) {
	g.mu.Lock()
	collector := ""
	if l.collector != nil && (g.rank == 0 || !l.site.bench) { // a measurement's second gateway is the one that does not
		collector = l.collector.Address(g.name)
	}
	text := l.site.operators(g.limits, collector, l.peersOf(g))
	g.mu.Unlock()
	if len(text) == 0 {
		return nil, nil
	}
	path := filepath.Join(g.dir, g.name+"-site.toml")
	if err := files.Replace(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("%s: operator's file: %w", g.name, err)
	}
	return []string{"ELDERYARD_SITE=" + path}, nil
}

// awaitTaker waits until an agent answers limit commands, and lets clients come to it.
func (l *Lab) awaitTaker(ctx context.Context, i int) error {
	a := l.agents[i]
	for limit := time.Now().Add(fleetReady); ; wait.For(ctx, fleetLook) {
		if pings(a.limits) {
			l.limits.Take(i, a.limits)
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("%s takes no limit commands: %s", a.name, a.output.String())
		}
	}
}

func pings(address string) bool {
	conn, err := net.DialTimeout("tcp", address, pingWait)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(pingWait))
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// killTaker notes that the limit commands that an agent holds are lost by the
// lab's doing until it takes them again.
func (l *Lab) killTaker(i int) {
	if l.limits == nil || i >= l.site.fleet.Fronts {
		return
	}
	l.limits.Leave(i)
	a := l.agents[i]
	end := l.openWindow(&l.excused, time.Now(), a.name, "killed")
	a.mu.Lock()
	a.back = end
	a.mu.Unlock()
}

// takerBack lets clients come to an agent again, if it takes limit commands.
func (l *Lab) takerBack(ctx context.Context, i int) error {
	a := l.agents[i]
	a.mu.Lock()
	back := a.back
	a.back = nil
	a.mu.Unlock()
	if back == nil {
		return nil
	}
	defer back()
	return l.awaitTaker(ctx, i)
}
