package lab

import (
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/standin/backend"
)

// Try records what a client saw of a request.
func (l *Lab) Try(t audit.Try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Outcome != audit.NotTaken {
		l.requestsByGateway[t.Gateway]++
	}
	if l.tryCount >= maxTries {
		l.dropped++
		return
	}
	if l.tryCount%triesPerChunk == 0 {
		l.tries = append(l.tries, make([]audit.Try, 0, triesPerChunk))
	}
	last := &l.tries[len(l.tries)-1]
	*last = append(*last, t)
	l.tryCount++
}

// Take records what a client saw of a limit command.
func (l *Lab) Take(t audit.Take) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.takes) >= maxTries {
		l.dropped++
		return
	}
	l.takes = append(l.takes, t)
}

// excuseFromNow marks the lab as the cause of the loss of requests that a gateway holds, until the returned function is
// called.
func (l *Lab) excuseFromNow(g *gatewayProcess, what string) (end func()) {
	return l.excuseSince(time.Now(), g, what)
}

// excuseSince is like excuseFromNow, from a time on.
func (l *Lab) excuseSince(from time.Time, g *gatewayProcess, what string) (end func()) {
	return l.openWindow(&l.excused, from, g.name, what)
}

// markDeaf marks a gateway as cut off from news, until the returned function is called.
func (l *Lab) markDeaf(g *gatewayProcess) (end func()) {
	return l.openWindow(&l.deaf, time.Now(), g.name, "cut off")
}

// openWindow appends a window that the returned function ends. Until then it ends later than any run.
func (l *Lab) openWindow(list *[]audit.Window, from time.Time, gateway, what string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(*list)
	*list = append(*list, audit.Window{Gateway: gateway, From: from, To: time.Now().Add(mostFor), What: what})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		(*list)[index].To = time.Now()
	}
}

// Verdict judges what has been played so far.
func (l *Lab) Verdict() audit.Verdict {
	var log audit.Log
	for _, n := range l.nodes {
		addNodeRecords(&log, n)
	}
	told, beyond := l.registry.Record()
	log.Lost += beyond
	for _, t := range told {
		log.Notices = append(log.Notices, audit.Notice{Gateway: t.Peer, Backend: t.Instance, Ready: t.Lifecycle == registryReady, At: t.At})
	}
	l.addOwnRecords(&log)
	log.Late = endingAfter(log.Late, log.From) // what came before the load does not count
	verdict := audit.Judge(l.site.rules(), log)
	if l.peerNetwork != nil {
		verdict.Members = audit.JudgeMembers(l.memberRules(), l.peerNetwork.read())
		verdict.Findings = append(verdict.Findings, verdict.Members.Findings...)
	}
	return verdict
}

// addNodeRecords adds a backend's records to a log.
func addNodeRecords(log *audit.Log, n *node) {
	attempts, beyond, falls := n.Record()
	log.Lost += beyond
	for _, a := range attempts {
		log.Attempts = append(log.Attempts, audit.Attempt{
			Backend: a.Backend,
			Cell:    a.Cell,
			Gateway: a.Peer,
			ID:      a.ID,
			Key:     a.Key,
			First:   a.FirstByte,
			Whole:   a.Received,
			Over:    a.Ended,
			NotRan:  a.Outcome == backend.Refused,
			Ran:     a.Ran,
			Sum:     a.Sum,
		})
	}
	for _, f := range falls {
		log.Overloads = append(log.Overloads, audit.Overload(f))
	}
}

// addOwnRecords adds what the lab itself recorded to a log.
func (l *Lab) addOwnRecords(log *audit.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	log.From, log.To = l.start, l.end
	for _, chunk := range l.tries {
		log.Tries = append(log.Tries, chunk...)
	}
	log.Takes = append(log.Takes, l.takes...)
	log.Late = append(log.Late, l.late...)
	log.Excused = append(log.Excused, l.excused...)
	log.Uninformed = append(log.Uninformed, l.deaf...)
	log.Lost += l.dropped
	for _, g := range l.gateways {
		process := g.process()
		process.Requests = l.requestsByGateway[g.name]
		log.Processes = append(log.Processes, process)
	}
}

// endingAfter returns the windows that end after a time.
func endingAfter(list []audit.Window, from time.Time) (kept []audit.Window) {
	for _, w := range list {
		if w.To.After(from) {
			kept = append(kept, w)
		}
	}
	return kept
}
