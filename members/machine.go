package members

import (
	"fmt"
	"time"
)

// Machine is the membership state of one process: roster, peers, verdict and quota divisor. It is not safe for concurrent
// use.
type Machine struct {
	settings           Settings
	now                Time
	roster             Roster
	conflictingRosters map[uint64]Roster // other rosters of the same epoch, by sum
	peers              map[string]*peer  // by name

	lastTick   Time
	awakeSince Time          // when it started, or detected that it was suspended
	lastSleep  time.Duration // length of the latest suspension; 0: none
	lastAnswer Time          // of any peer; 0: none
	probes     []probe       // by this process, oldest first
	superseded Incarnation   // later incarnation of this process's name; 0: none
	joined     bool          // every member has been seen with a roster that includes this one

	divisor      int // of quotas
	verdict      Verdict
	reason       string
	since        Time               // of the verdict
	likely       int                // likely count, as of the latest evidence that was not Unsure
	allowedSince [verdictCount]Time // since when the evidence has supported this verdict or a better one
	recentFalls  int                // falls of the verdict, halved each MaxSettleTime; they delay its next rise
	changedAt    Time               // of the latest change of recentFalls

	version  uint64     // increases with each change of the view
	evidence []Evidence // oldest first
	dropped  uint64     // events of names beyond the limits
}

const (
	maxProbes = 6 // latest ones, which show whether this process itself is partitioned
	minProbes = 4 // fewer are no evidence
)

// probe is the result of one probe by this process.
type probe struct {
	name     string
	answered bool
}

// New returns the machine of a process that starts at now with a roster. It returns an error if the settings or the
// roster are invalid.
func New(settings Settings, roster Roster, now Time) (*Machine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if key, err := roster.Check(); err != nil {
		return nil, fmt.Errorf("roster: %s: %w", key, err)
	}
	m := &Machine{
		settings:           settings,
		now:                now,
		roster:             roster.Sorted(),
		conflictingRosters: map[uint64]Roster{},
		peers:              map[string]*peer{},
		lastTick:           now,
		awakeSince:         now,
		since:              now,
		changedAt:          now,
		reason:             reasonStarted,
		version:            1,
	}
	for v := range m.allowedSince {
		m.allowedSince[v] = now
	}
	m.updateVerdict()
	return m, nil
}

// Roster returns the roster with the highest epoch that this process has received.
func (m *Machine) Roster() Roster { return m.roster }

// Handle applies an event that arrived at now and reports whether the View has changed. Events may arrive in any order
// and more than once.
func (m *Machine) Handle(now Time, ev Event) (changed bool) {
	before := m.version
	m.now = max(m.now, now) // time never decreases
	m.detectSleep()
	switch e := ev.(type) {
	case Tick:
		m.handleTick()
	case Answered:
		m.handleAnswered(e)
	case Alive:
		m.handleAlive(e)
	case Suspected:
		m.handleSuspected(e)
	case Refuted:
		m.addEvidence(e.Name, e.Incarnation, "denied that it is gone", e.By)
	case Failed:
		m.markEnded(e.Name, e.Incarnation, StateFailed, "its silence has lasted")
	case Left:
		m.markEnded(e.Name, e.Incarnation, StateLeft, "it said that it ends")
	case IncarnationLearned:
		m.handleIncarnationLearned(e)
	case RosterReceived:
		m.handleRoster(e)
	}
	m.updateVerdict()
	return m.version != before
}

// handleTick ends suspicions that were not confirmed within the silence timeout.
func (m *Machine) handleTick() {
	m.lastTick = m.now
	for _, p := range m.peers {
		if p.state == StateSuspect && m.now-p.since >= m.settings.SilenceTimeout {
			m.setState(p, StateAlive, "nobody confirmed the suspicion", "")
		}
	}
}

// detectSleep detects that this process was suspended.
func (m *Machine) detectSleep() {
	late := m.now - m.lastTick - m.settings.TickInterval
	if late < m.settings.StallThreshold {
		return
	}
	m.lastSleep, m.awakeSince, m.lastTick = late, m.now, m.now
	m.probes = m.probes[:0] // answers to earlier probes may have been lost meanwhile
	m.addEvidence(m.settings.Self, m.settings.Incarnation, fmt.Sprintf("slept for %v", late.Round(time.Millisecond)), "")
}
