package members

import (
	"fmt"
	"time"
)

// Machine is the membership state of one process: roster, peers, verdict and quota divisor. It is not safe for
// concurrent use.
type Machine struct {
	settings           Settings
	now                Time
	roster             Roster
	conflictingRosters map[uint64]Roster // other rosters of the same epoch, by sum
	peers              map[string]*peer  // by name

	lastTick       Time
	activeSince    Time          // when this process started, or detected that it had been suspended
	lastSuspension time.Duration // duration of the last suspension; 0 if none
	lastAnswer     Time          // of any peer; 0 if none
	probes         []probe       // by this process, oldest first
	supersededBy   Incarnation   // later incarnation of this process's name; 0 if none
	knownToAll     bool          // every member has announced a roster that includes this process

	divisor        int // of quotas
	verdict        Verdict
	reason         string
	since          Time               // of the verdict
	likely         int                // likely count when the evidence last supported a verdict other than Unsure
	supportedSince [verdictCount]Time // when the evidence began to support this verdict or a better one
	recentFalls    int                // number of falls of the verdict, halved each MaxSettleTime; it delays the next rise
	fallsChangedAt Time               // time of the last change of recentFalls

	version  uint64     // increases with each change of the view
	evidence []Evidence // oldest first
	dropped  uint64     // number of events dropped because their names exceed the limits
}

const (
	maxProbes = 6 // number of last probes that show whether this process itself is partitioned
	minProbes = 4 // with fewer probes, no conclusion is drawn
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
		activeSince:        now,
		since:              now,
		fallsChangedAt:     now,
		reason:             reasonStarted,
		version:            1,
	}
	for v := range m.supportedSince {
		m.supportedSince[v] = now
	}
	m.updateVerdict()
	return m, nil
}

// Roster returns the roster with the highest epoch that this process has received.
func (m *Machine) Roster() Roster { return m.roster }

// Handle applies an event that arrived at now and reports whether the View has changed. Events may arrive in any order
// and repeatedly.
func (m *Machine) Handle(now Time, ev Event) (changed bool) {
	before := m.version
	m.now = max(m.now, now) // time never decreases
	m.detectSuspension()
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

// handleTick ends suspicions that were not confirmed within Settings.SilenceTimeout.
func (m *Machine) handleTick() {
	m.lastTick = m.now
	for _, p := range m.peers {
		if p.state == StateSuspect && m.now-p.since >= m.settings.SilenceTimeout {
			m.setState(p, StateAlive, "nobody confirmed the suspicion", "")
		}
	}
}

// detectSuspension detects from a late tick that this process was suspended.
func (m *Machine) detectSuspension() {
	late := m.now - m.lastTick - m.settings.TickInterval
	if late < m.settings.StallThreshold {
		return
	}
	m.lastSuspension, m.activeSince, m.lastTick = late, m.now, m.now
	m.probes = m.probes[:0] // answers to earlier probes may have been lost during the suspension
	m.addEvidence(m.settings.Self, m.settings.Incarnation, fmt.Sprintf("slept for %v", late.Round(time.Millisecond)), "")
}
