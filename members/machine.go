// Package members is what one process knows of its fellows: who belongs, who is
// heard, and what may be done while pictures differ. Who belongs is agreed and
// numbered (Roster); who lives is this process's opinion. It is a pure state
// machine: events and the time go in, pictures come out; it reads no clock, opens
// no socket and starts no goroutine.
//
// What must be safe rests on the safe count, on Machine.May and on leases that
// others grant. Nothing safe rests on the detector.
package members

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings are what a machine is told at its start.
type Settings struct {
	Self       string
	Life       Life
	Tick       time.Duration // ticks come this often
	StallAfter time.Duration // a tick that is so much too late tells of a sleep
	Settle     time.Duration // a better verdict must have held for so long before it is told
	SettleMost time.Duration // the same, where verdicts keep changing
	Blind      time.Duration // awake for so long without an answer, others' silence proves something; a suspicion lasts no longer
}

// Check finds settings that no machine can work with.
func (s *Settings) Check() error {
	if err := CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	switch {
	case s.Life == 0:
		return fmt.Errorf("life: it is 0")
	case s.Tick <= 0 || s.StallAfter < 2*s.Tick:
		return fmt.Errorf("stall: %v is less than two ticks of %v", s.StallAfter, s.Tick)
	case s.Settle <= 0 || s.SettleMost < s.Settle:
		return fmt.Errorf("settle: %v, at most %v, is not in order", s.Settle, s.SettleMost)
	case s.Blind < s.Settle:
		return fmt.Errorf("blind: %v is less than the %v of a verdict", s.Blind, s.Settle)
	}
	return nil
}

// older is an earlier life of a name that is still heard.
type older struct {
	life  Life
	there bool
}

// fellow is what is known of one name.
type fellow struct {
	name    string
	life    Life // the latest that is known of
	state   State
	since   Time
	heard   Time // its last answer to this process; 0: none
	epoch   uint64
	sum     uint64
	knew    uint64 // the highest epoch that any life of it was seen with
	address string
	desk    string
	older   []older
}

// NoShare is what a process divides by that has no part in what all have.
const NoShare = math.MaxInt32

// probe is one probe by this process itself.
type probe struct {
	name     string
	answered bool
}

const (
	probesKept  = 6 // of one's own probes that tell whether one is cut off
	probesLeast = 4 // fewer tell nothing
)

// Machine is what one process knows. It belongs to one goroutine.
type Machine struct {
	set     Settings
	now     Time
	roster  Roster
	rivals  map[uint64]Roster // other rosters of the same epoch, by sum
	fellows map[string]*fellow

	ticked     Time // of the last tick
	woke       Time // when this process last noticed a sleep, or began
	slept      time.Duration
	heard      Time // the last answer of anybody
	probes     []probe
	superseded Life
	joined     bool // all have known of this one's place once; that is for good

	share     int
	verdict   Verdict
	why       string
	since     Time
	likely    int
	allowed   [verdicts]Time // since when the evidence has allowed this one or a better one
	changes   int            // verdicts that fell lately: the next rise takes longer
	changedAt Time

	number   uint64
	evidence []Evidence
	dropped  uint64 // names that there was no room for
}

// New makes the machine of a process that begins now, with the roster that it
// was told.
func New(set Settings, roster Roster, now Time) (*Machine, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	if key, err := roster.Check(); err != nil {
		return nil, fmt.Errorf("roster: %s: %w", key, err)
	}
	m := &Machine{set: set, now: now, roster: roster.Sorted(), rivals: map[uint64]Roster{}, fellows: map[string]*fellow{},
		ticked: now, woke: now, since: now, changedAt: now, why: whyStarted, number: 1}
	for v := range m.allowed {
		m.allowed[v] = now
	}
	m.judge()
	return m, nil
}

// Handle takes an event and tells whether the picture has another number.
func (m *Machine) Handle(now Time, ev Event) (changed bool) {
	before := m.number
	m.now = max(m.now, now) // a clock that goes back is none of ours
	m.notice()
	switch e := ev.(type) {
	case Tick:
		m.ticked = m.now
		for _, f := range m.fellows {
			if f.state == Suspect && m.now-f.since >= m.set.Blind {
				m.setState(f, Living, "nobody confirmed the suspicion", "")
			}
		}
	case Heard:
		m.answered(e)
	case Alive:
		m.alive(e)
	case Suspected:
		m.suspected(e)
	case Contradicted:
		m.note(e.Name, e.Life, "denied that it is gone", e.By)
	case Failed:
		m.ended(e.Name, e.Life, Gone, "its silence has lasted")
	case Left:
		m.ended(e.Name, e.Life, Ended, "it said that it ends")
	case Lived:
		m.lived(e)
	case RosterTold:
		m.told(e)
	}
	m.judge()
	return m.number != before
}

// notice finds that this process slept.
func (m *Machine) notice() {
	late := m.now - m.ticked - m.set.Tick
	if late < m.set.StallAfter {
		return
	}
	m.slept, m.woke, m.ticked = late, m.now, m.now
	m.probes = m.probes[:0] // what was asked before the sleep was answered to nobody
	m.note(m.set.Self, m.set.Life, fmt.Sprintf("slept for %v", late.Round(time.Millisecond)), "")
}

// fellowOf returns what is known of a name, and makes room for it where there is.
func (m *Machine) fellowOf(name string) *fellow {
	f := m.fellows[name]
	if f != nil {
		return f
	}
	strange := 0
	for other := range m.fellows {
		if !m.roster.Has(other) {
			strange++
		}
	}
	if CheckName(name) != nil || !m.roster.Has(name) && strange >= mostStrangers {
		m.dropped++
		return nil
	}
	f = &fellow{name: name, since: m.now}
	m.fellows[name] = f
	return f
}

// advance takes note of a life, and tells whether it is the latest of its name.
// Lives only grow: an earlier one is never the name's again.
func (m *Machine) advance(f *fellow, life Life) bool {
	if life < f.life {
		return false
	}
	if life > f.life {
		if f.life != 0 && f.state.There() {
			m.keepOlder(f, f.life, true)
		}
		f.life, f.state, f.since, f.heard = life, Unheard, m.now, 0
	}
	return true
}

func (m *Machine) keepOlder(f *fellow, life Life, there bool) {
	i := slices.IndexFunc(f.older, func(o older) bool { return o.life == life })
	switch {
	case i >= 0 && f.older[i].there != there:
		f.older[i].there = there
		m.number++
	case i < 0 && there:
		if len(f.older) >= mostOlder {
			f.older = slices.Delete(f.older, 0, 1)
		}
		f.older = append(f.older, older{life, true})
		m.number++
	}
}

// supersede learns of a life of this process's own name.
func (m *Machine) supersede(life Life) {
	if life > m.set.Life && life > m.superseded {
		m.superseded = life
		m.number++
		m.note(m.set.Self, life, "a later life of this name is there; this one holds nothing any more", "")
	}
}

func (m *Machine) answered(e Heard) {
	if e.Name == m.set.Self {
		return
	}
	f := m.fellowOf(e.Name)
	if f == nil || !m.advance(f, e.Life) {
		return
	}
	f.heard, m.heard = m.now, m.now
	m.probed(e.Name, true)
	// Danger: an answer on its way may come after its sender's last word.
	if f.state != Ended {
		m.setState(f, Living, "answered", m.set.Self)
	}
}

func (m *Machine) alive(e Alive) {
	if e.Name == m.set.Self {
		if e.Life < m.set.Life {
			// An earlier life of this name goes on: it will learn that it is over.
			if f := m.fellowOf(e.Name); f != nil {
				m.keepOlder(f, e.Life, true)
			}
		}
		m.supersede(e.Life)
		return
	}
	f := m.fellowOf(e.Name)
	if f == nil {
		return
	}
	f.knew = max(f.knew, e.Epoch)
	if !m.advance(f, e.Life) {
		m.keepOlder(f, e.Life, true)
		return
	}
	if f.state == Ended {
		return // it said that this life ends: what still goes round of it is old
	}
	if f.epoch != e.Epoch || f.sum != e.Sum || f.address != e.Address || f.desk != e.Desk {
		f.epoch, f.sum, f.address, f.desk = e.Epoch, e.Sum, e.Address, e.Desk
		m.number++
	}
	m.setState(f, Living, "is there", "")
}

func (m *Machine) suspected(e Suspected) {
	if e.By == m.set.Self {
		m.probed(e.Name, false)
	}
	f := m.fellows[e.Name]
	if f == nil || e.Life != f.life || !f.state.There() {
		return
	}
	m.setState(f, Suspect, "did not answer a probe", e.By)
}

// probed notes what came of this process's own probe.
func (m *Machine) probed(name string, answered bool) {
	if len(m.probes) >= probesKept {
		m.probes = slices.Delete(m.probes, 0, 1)
	}
	m.probes = append(m.probes, probe{name, answered})
}

func (m *Machine) ended(name string, life Life, to State, what string) {
	f := m.fellows[name]
	if f == nil {
		return
	}
	if life != f.life {
		m.keepOlder(f, life, false)
		return
	}
	if f.state == Ended || f.state == Unheard && to == Gone {
		return
	}
	m.setState(f, to, what, "")
}

func (m *Machine) lived(e Lived) {
	if e.Name == m.set.Self {
		m.supersede(e.Life)
		return
	}
	if f := m.fellowOf(e.Name); f != nil && e.Life > f.life {
		m.advance(f, e.Life)
		m.number++
	}
}

func (m *Machine) setState(f *fellow, to State, what, by string) {
	if f.state == to {
		return
	}
	f.state, f.since = to, m.now
	m.number++
	m.note(f.name, f.life, what, by)
}

// told takes a roster. One of a higher epoch takes the place of this one's;
// another one of the same epoch is a mistake that people must mend.
func (m *Machine) told(e RosterTold) {
	if _, err := e.Roster.Check(); err != nil || e.Roster.Epoch < m.roster.Epoch {
		return
	}
	if e.Roster.Epoch == m.roster.Epoch {
		if sum := e.Roster.Sum(); sum != m.roster.Sum() && len(m.rivals) < mostOlder {
			if _, known := m.rivals[sum]; !known {
				m.rivals[sum] = e.Roster.Sorted()
				m.number++
				m.note(m.set.Self, m.set.Life, fmt.Sprintf("another roster of epoch %d goes round", e.Roster.Epoch), e.By)
			}
		}
		return
	}
	// A member that was taken out and put back is a newcomer again.
	if s, b := since(m.roster, m.set.Self), since(e.Roster, m.set.Self); s != b {
		m.joined = false
	}
	m.roster = e.Roster.Sorted()
	clear(m.rivals)
	m.number++
	m.note(m.set.Self, m.set.Life, fmt.Sprintf("has the roster of epoch %d: %d members", m.roster.Epoch, len(m.roster.Members)), e.By)
	for name, f := range m.fellows {
		if !m.roster.Has(name) && !f.state.There() && !f.lingers() {
			delete(m.fellows, name) // its end is agreed
		}
	}
}

func since(r Roster, name string) uint64 {
	for _, m := range r.Members {
		if m.Name == name {
			return m.Since
		}
	}
	return 0
}

// lingers tells whether an earlier life of the name is still heard.
func (f *fellow) lingers() bool { return f.lingering() > 0 }

// lingering is how many of them are.
func (f *fellow) lingering() (n int) {
	for _, o := range f.older {
		if o.there {
			n++
		}
	}
	return n
}

// joining names a member that has yet to know that this one belongs; "": all do.
//
// Danger: a member that was cut off while this one was added divides quotas by
// the number that it knows. Until each has been seen with a roster that has this
// one in it, the sum of all shares has no room for this one's.
func (m *Machine) joining() string {
	added := since(m.roster, m.set.Self)
	if m.joined || added == 0 {
		return ""
	}
	for _, other := range m.roster.Members {
		if f := m.fellows[other.Name]; other.Name != m.set.Self && other.Since <= added && (f == nil || f.knew < added) {
			return other.Name
		}
	}
	m.joined = true
	return ""
}

// safe is never under the number that may be serving, as far as this one can
// know: who belongs counts whether heard or not, and whoever is heard counts
// whether it belongs or not.
func (m *Machine) safe() int {
	names := map[string]bool{}
	for _, other := range m.roster.Members {
		names[other.Name] = true
	}
	for _, r := range m.rivals {
		for _, other := range r.Members {
			names[other.Name] = true
		}
	}
	count := len(names)
	for name, f := range m.fellows {
		count += f.lingering()
		if !names[name] && f.state.There() {
			count++
		}
	}
	return count
}

// Share is the number by which this process divides what all have together, such
// as a quota while the counter is away: the safe count, or a higher one from
// before while the verdict does not allow a larger share.
func (m *Machine) Share() int { return m.share }

// Senders is how many send to a cold backend: those that seem to be there, where
// the verdict allows that, else the safe count.
func (m *Machine) Senders() int {
	if may, _ := m.May(m.now, ShareCold); may {
		return m.likely
	}
	return m.safe()
}

// shareBy is what the number would be if a larger share were allowed. A newcomer
// that not all know of, one that a later life has taken the place of and one whose
// earlier life goes on have no part: for them it is so large that hardly anything
// is left.
func (m *Machine) shareBy() int {
	self := m.fellows[m.set.Self]
	if m.superseded != 0 || m.joining() != "" || !m.roster.Has(m.set.Self) || self != nil && self.lingers() {
		return NoShare
	}
	return m.safe()
}

// likelyCount is how many seem to be there, this one among them.
func (m *Machine) likelyCount() int {
	n := 1
	for name, f := range m.fellows {
		if name != m.set.Self && f.state.There() {
			n++
		}
	}
	return n
}

// Picture is what this process believes now.
func (m *Machine) Picture(now Time) Picture {
	m.now = max(m.now, now)
	p := Picture{Number: m.number, At: m.now, Self: m.set.Self, Life: m.set.Life, Verdict: m.verdict, Since: m.since, Why: m.why,
		Epoch: m.roster.Epoch, Sum: m.roster.Sum(), Belong: len(m.roster.Members), Safe: m.safe(), Likely: m.likely,
		Share: m.share, Dropped: m.dropped, Superseded: m.superseded, Joining: m.joining(), Heard: m.heard}
	names := map[string]bool{m.set.Self: false} // whether each belongs
	for name := range m.fellows {
		names[name] = false
	}
	for _, other := range m.roster.Members {
		names[other.Name] = true
	}
	for name, belongs := range names {
		v := View{Name: name, Self: name == m.set.Self, Belongs: belongs}
		if f := m.fellows[name]; f != nil {
			v.Life, v.State, v.Since, v.Heard, v.Epoch, v.Older, v.Address, v.Desk = f.life, f.state, f.since, f.heard, f.epoch, f.lingering(), f.address, f.desk
		}
		if v.Self {
			v.Life, v.State, v.Epoch = m.set.Life, Living, m.roster.Epoch
		}
		p.Members = append(p.Members, v)
	}
	slices.SortFunc(p.Members, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

// Roster is who belongs, as this process knows it.
func (m *Machine) Roster() Roster { return m.roster }

// Lives are the latest lives of all names that are known of.
func (m *Machine) Lives() (lives []Lived) {
	lives = append(lives, Lived{m.set.Self, max(m.set.Life, m.superseded)})
	for name, f := range m.fellows {
		if name != m.set.Self && f.life != 0 {
			lives = append(lives, Lived{name, f.life})
		}
	}
	slices.SortFunc(lives, func(a, b Lived) int { return cmp.Compare(a.Name, b.Name) })
	return lives
}

// Evidence is what was learned lately, the oldest first; of one name, or of all
// for "".
func (m *Machine) Evidence(name string) (list []Evidence) {
	for _, e := range m.evidence {
		if name == "" || e.Name == name {
			list = append(list, e)
		}
	}
	return list
}

func (m *Machine) note(name string, life Life, what, by string) {
	if len(m.evidence) >= mostEvidence {
		m.evidence = slices.Delete(m.evidence, 0, mostEvidence/8)
	}
	m.evidence = append(m.evidence, Evidence{m.now, name, life, what, by})
}

// Superseded is the later life of this process's own name; 0: none is known.
func (m *Machine) Superseded() Life { return m.superseded }
