// Package fleet is what the voters of a site agree on: the revisions, which of
// them is wanted where a rollout has come to, the agents with their instances,
// what operators have taken out of service, and who changed what. It is a pure
// state machine: entries go in, in the one order that all voters have, and every
// voter comes to the same state. It does no I/O and reads no clock.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
)

// Bounds of what is kept.
const (
	MaxAgents     = 4096
	MaxInstances  = 8192 // of all agents together
	MaxEvents     = 2000 // of the audit log; the oldest go
	MaxTextBytes  = 4 << 10
	maxNameBytes  = 128
	maxEntryBytes = 32 << 20 // bytes of an entry
)

// Rollout is what the voters know of the present rollout, or of the last one.
type Rollout struct {
	New      uint64        `json:"new"`
	Previous uint64        `json:"before"`
	State    rollout.State `json:"state"`
	Reason   string        `json:"why"`
	By       string        `json:"by"` // who applied New
	At       time.Time     `json:"at"` // of the state
}

// Wanted is the revision that is wanted everywhere in the end, as far as is
// decided; 0: none.
func (r Rollout) Wanted() uint64 {
	switch r.State {
	case rollout.RollingBack, rollout.RolledBack, rollout.PartlyRolledBack:
		return r.Previous
	}
	return r.New
}

// Ended tells whether another rollout may begin.
func (r Rollout) Ended() bool { return r.New == 0 || r.State.Ended() }

// acceptedReason is why a rollout is advancing that no leader has begun.
const acceptedReason = "it has been accepted"

// Started tells whether a leader has begun the rollout: the next one goes on with it.
func (r Rollout) Started() bool { return r.State != rollout.Advancing || r.Reason != acceptedReason }

// Agent is one agent of the site.
type Agent struct {
	Name      string   `json:"name"`
	Address   string   `json:"address"`
	Instances []string `json:"instances"` // in order of name
}

// Event is one change, as the audit log has it.
type Event struct {
	At   time.Time `json:"at"`
	Who  string    `json:"who"`
	What string    `json:"what"`
}

// Entry is one change that the voters agree on. Just one of its parts is set.
type Entry struct {
	Command       *revisions.Command `json:"command,omitempty"`
	RolloutChange *RolloutChange     `json:"turn,omitempty"`
	Enroll        *Enroll            `json:"enroll,omitempty"`
	Remove        *Remove            `json:"remove,omitempty"`
	Drain         *Drain             `json:"drain,omitempty"`
	RosterChange  *RosterChange      `json:"belong,omitempty"`
	Records       *records.Change    `json:"records,omitempty"` // validated by the state that it meets
	Audit         *Event             `json:"noted,omitempty"`   // a change that was made elsewhere, such as to the voters
}

// RolloutChange says that the rollout of New is in another state. By is empty where the
// machine decided.
type RolloutChange struct {
	New    uint64        `json:"new"`
	State  rollout.State `json:"state"`
	Reason string        `json:"why"`
	By     string        `json:"by,omitempty"`
	At     time.Time     `json:"at"`
}

// Enroll makes an agent, or what it has, known.
type Enroll struct {
	Agent Agent     `json:"agent"`
	At    time.Time `json:"at"`
}

// Remove takes an agent with its instances out of the site.
type Remove struct {
	Agent string    `json:"agent"`
	By    string    `json:"by"`
	At    time.Time `json:"at"`
}

// Drain takes an instance out of service, or lets it back.
type Drain struct {
	Instance string    `json:"instance"`
	On       bool      `json:"on"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
}

// Outcome is what became of an entry.
type Outcome struct {
	Result   revisions.Result `json:"result"`            // of a Command
	Rejected string           `json:"refused"`           // why nothing was changed; "": it was
	Records  *records.Result  `json:"records,omitempty"` // of a change of records
}

// Busy is the answer to a command that came while a rollout was on its way. It
// is not remembered: the same command may be sent again later.
const Busy revisions.Status = "busy"

// State is the whole. It belongs to one goroutine; the zero value is that of a
// new site.
type State struct {
	history  revisions.History
	rollout  Rollout
	previous *revisions.Revision // of the rollout: it must stay readable however long the history grows
	agents   map[string]Agent
	drained  map[string]bool
	roster   members.Roster // epoch 0: none has been agreed on
	records  records.Store
	events   []Event
}

// Head returns the newest revision, and false for a new site.
func (s *State) Head() (revisions.Revision, bool) { return s.history.Head() }

// Revision returns a revision that is kept.
func (s *State) Revision(number uint64) (revisions.Revision, bool) {
	if s.previous != nil && s.previous.Number == number {
		return *s.previous, true
	}
	return s.history.Get(number)
}

// Revisions returns the history, the newest first.
func (s *State) Revisions() []revisions.Revision { return s.history.List() }

// Rollout returns the present rollout or the last one.
func (s *State) Rollout() Rollout { return s.rollout }

// Agents returns all agents by name.
func (s *State) Agents() (list []Agent) {
	for _, name := range slices.Sorted(maps.Keys(s.agents)) {
		list = append(list, s.agents[name])
	}
	return list
}

// AgentOf returns the agent that has an instance.
func (s *State) AgentOf(instance string) (Agent, bool) {
	for _, a := range s.agents {
		if _, found := slices.BinarySearch(a.Instances, instance); found {
			return a, true
		}
	}
	return Agent{}, false
}

// Drained tells whether an operator has taken an instance out of service.
func (s *State) Drained(instance string) bool { return s.drained[instance] }

// Events returns the audit log, the oldest first.
func (s *State) Events() []Event { return slices.Clone(s.events) }

// Encode writes an entry for the log that all voters share.
func (e *Entry) Encode() ([]byte, error) {
	if err := e.check(); err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

// Decode reads what Encode wrote, and nothing else: an unknown key may be a
// meaning that is missed.
func Decode(text []byte) (Entry, error) {
	var e Entry
	if len(text) > maxEntryBytes {
		return e, fmt.Errorf("entry: %d bytes, and %d may be", len(text), maxEntryBytes)
	}
	if err := revisions.DecodeStrict(text, &e); err != nil {
		return Entry{}, fmt.Errorf("entry: %w", err)
	}
	return e, e.check()
}

func (e *Entry) check() error {
	parts := 0
	for _, set := range []bool{e.Command != nil, e.RolloutChange != nil, e.Enroll != nil, e.Remove != nil, e.Drain != nil, e.RosterChange != nil, e.Records != nil, e.Audit != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return fmt.Errorf("entry: %d parts are set, and one must be", parts)
	}
	switch {
	case e.Command != nil:
		return e.Command.Check()
	case e.RolloutChange != nil:
		if t := e.RolloutChange; t.New == 0 || len(t.Reason) > MaxTextBytes || t.State == "" {
			return fmt.Errorf("turn: of revision %d to %q", t.New, t.State)
		}
	case e.Enroll != nil:
		a := &e.Enroll.Agent
		if err := CheckName("agent", a.Name); err != nil {
			return err
		}
		if len(a.Address) > maxNameBytes {
			return fmt.Errorf("agent %s: its address is longer than %d bytes", a.Name, maxNameBytes)
		}
		for i, name := range a.Instances {
			if err := CheckName("instance", name); err != nil {
				return err
			}
			if i > 0 && a.Instances[i-1] >= name {
				return fmt.Errorf("agent %s: instance %s is out of order or stands twice", a.Name, name)
			}
		}
	case e.Remove != nil:
		return CheckName("agent", e.Remove.Agent)
	case e.Drain != nil:
		return CheckName("instance", e.Drain.Instance)
	case e.RosterChange != nil:
		return e.RosterChange.Check()
	case e.Records != nil:
		return checkRecordsChange(e.Records)
	case e.Audit != nil:
		if len(e.Audit.What)+len(e.Audit.Who) > MaxTextBytes {
			return fmt.Errorf("event: longer than %d bytes", MaxTextBytes)
		}
	}
	return nil
}

// Truncate keeps a text within so many bytes, and says where it was cut.
func Truncate(text string, maxBytes int) string {
	const mark = " ..."
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes-len(mark)], "") + mark
}

// CheckName finds what is wrong with the name of an agent or an instance. Names
// become those of files and of processes.
func CheckName(what, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.HasPrefix(name, ".") || !members.HasOnlyNameCharacters(name) {
		return fmt.Errorf("%s %.40q: a name has letters, digits, '-', '_' and '.', at most %d, and does not begin with '.'", what, name, maxNameBytes)
	}
	return nil
}

// Apply carries an entry out. The index is the entry's place in the log that all
// voters share, from 1; it becomes the version of the records that the entry
// changes. What can't be done changes nothing and is refused with why; an error is
// of an entry that Decode would not have let through, or of a change of records
// whose index is not above those before.
func (s *State) Apply(index uint64, e Entry) (Outcome, error) {
	if err := e.check(); err != nil {
		return Outcome{}, err
	}
	switch {
	case e.Command != nil:
		return s.applyCommand(*e.Command)
	case e.RolloutChange != nil:
		return s.applyRolloutChange(e.RolloutChange), nil
	case e.Enroll != nil:
		return s.applyEnroll(e.Enroll), nil
	case e.Remove != nil:
		a, found := s.agents[e.Remove.Agent]
		if !found {
			return Outcome{Rejected: fmt.Sprintf("there is no agent %s", e.Remove.Agent)}, nil
		}
		delete(s.agents, a.Name)
		for _, i := range a.Instances {
			delete(s.drained, i)
		}
		s.logEvent(e.Remove.At, e.Remove.By, fmt.Sprintf("agent %s was removed with its instances %v", a.Name, a.Instances))
	case e.Drain != nil:
		return s.applyDrain(e.Drain), nil
	case e.RosterChange != nil:
		return s.applyRosterChange(e.RosterChange), nil
	case e.Records != nil:
		return s.applyRecordsChange(index, *e.Records)
	case e.Audit != nil:
		s.logEvent(e.Audit.At, e.Audit.Who, e.Audit.What)
	}
	return Outcome{}, nil
}

func (s *State) applyCommand(c revisions.Command) (Outcome, error) {
	if !s.rollout.Ended() && !s.history.HasResult(c.Request) {
		head, _ := s.history.Head()
		return Outcome{Result: revisions.Result{Status: Busy, Revision: head}}, nil
	}
	wanted := s.rollout.Wanted()
	running, known := s.Revision(wanted)
	head, _ := s.history.Head()
	result, err := s.history.Apply(c)
	if err != nil {
		return Outcome{}, err
	}
	if r := result.Revision; result.Status == revisions.Accepted && r.Number == head.Number+1 {
		s.previous = nil
		if known {
			s.previous = &running
		}
		s.rollout = Rollout{New: r.Number, Previous: wanted, State: rollout.Advancing, Reason: acceptedReason, By: c.Author, At: c.At}
		s.logEvent(c.At, c.Author, fmt.Sprintf("revision %d was applied on %d: %s", r.Number, r.Parent, c.Message))
	}
	return Outcome{Result: result}, nil
}

func (s *State) applyRolloutChange(t *RolloutChange) Outcome {
	r := &s.rollout
	if t.New != r.New {
		return Outcome{Rejected: fmt.Sprintf("the rollout is that of revision %d, not of %d", r.New, t.New)}
	}
	// Danger: what a leader decided that has lost its lead must not undo what the
	// next one did. A way back has no way forward again, and an end ends.
	back := r.Wanted() != r.New
	forward := Rollout{New: 1, State: t.State}.Wanted() == 1
	if back && forward || r.State.Ended() && !t.State.Ended() {
		return Outcome{Rejected: fmt.Sprintf("the rollout is %s, and can't be %s", r.State, t.State)}
	}
	r.State, r.Reason, r.At = t.State, t.Reason, t.At
	who := t.By
	if who == "" {
		who = "rollout"
	}
	s.logEvent(t.At, who, fmt.Sprintf("the rollout of revision %d is %s: %s", t.New, t.State, t.Reason))
	return Outcome{}
}

func (s *State) applyEnroll(e *Enroll) Outcome {
	previous, known := s.agents[e.Agent.Name]
	if !known && len(s.agents) >= MaxAgents {
		return Outcome{Rejected: fmt.Sprintf("the site has %d agents, and no more may be", len(s.agents))}
	}
	total := len(e.Agent.Instances)
	for _, a := range s.agents {
		if a.Name == e.Agent.Name {
			continue
		}
		total += len(a.Instances)
		for _, name := range e.Agent.Instances {
			if _, found := slices.BinarySearch(a.Instances, name); found {
				return Outcome{Rejected: fmt.Sprintf("instance %s is agent %s's", name, a.Name)}
			}
		}
	}
	if total > MaxInstances {
		return Outcome{Rejected: fmt.Sprintf("the site would have %d instances, and %d may be", total, MaxInstances)}
	}
	if s.agents == nil {
		s.agents = map[string]Agent{}
	}
	s.agents[e.Agent.Name] = e.Agent
	for _, name := range previous.Instances {
		if _, found := slices.BinarySearch(e.Agent.Instances, name); !found {
			delete(s.drained, name)
		}
	}
	s.logEvent(e.At, e.Agent.Name, fmt.Sprintf("agent %s at %s has instances %v", e.Agent.Name, e.Agent.Address, e.Agent.Instances))
	return Outcome{}
}

func (s *State) applyDrain(d *Drain) Outcome {
	if _, found := s.AgentOf(d.Instance); !found {
		return Outcome{Rejected: fmt.Sprintf("there is no instance %s", d.Instance)}
	}
	if s.drained[d.Instance] == d.On {
		return Outcome{}
	}
	if s.drained == nil {
		s.drained = map[string]bool{}
	}
	what := "instance " + d.Instance + " was drained"
	if s.drained[d.Instance] = d.On; !d.On {
		delete(s.drained, d.Instance)
		what = "instance " + d.Instance + " was let back into service"
	}
	s.logEvent(d.At, d.By, what)
	return Outcome{}
}

func (s *State) logEvent(at time.Time, who, what string) {
	s.events = append(s.events, Event{at, who, Truncate(what, MaxTextBytes)})
	if over := len(s.events) - MaxEvents; over > 0 {
		s.events = slices.Delete(s.events, 0, over)
	}
}

// snapshot is a state as it is stored.
type snapshot struct {
	Version  int                 `json:"form"`
	History  json.RawMessage     `json:"history"`
	Rollout  Rollout             `json:"rollout"`
	Previous *revisions.Revision `json:"before,omitempty"`
	Agents   []Agent             `json:"agents"`
	Drained  []string            `json:"drained"`
	Roster   *members.Roster     `json:"roster,omitempty"`
	Records  []byte              `json:"records,omitempty"` // as records.Store writes them; none: there has been no change of records
	Events   []Event             `json:"events"`
}

const snapshotVersion = 1

// Snapshot writes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	history, err := s.history.Snapshot()
	if err != nil {
		return nil, err
	}
	var roster *members.Roster
	if s.roster.Epoch > 0 {
		roster = &s.roster
	}
	stored, err := s.snapshotRecords()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshot{snapshotVersion, history, s.rollout, s.previous, s.Agents(), slices.Sorted(maps.Keys(s.drained)), roster, stored, s.events})
}

// Restore reads what Snapshot wrote in place of this state. What is cut short,
// changed or contradicts itself is refused with what is wrong, and this state
// stays.
func (s *State) Restore(text []byte) error {
	var shot snapshot
	if err := revisions.DecodeStrict(text, &shot); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if shot.Version != snapshotVersion {
		return fmt.Errorf("snapshot: form %d is not known, %d is", shot.Version, snapshotVersion)
	}
	var next State
	if err := next.history.Restore(shot.History); err != nil {
		return err
	}
	next.rollout, next.previous = shot.Rollout, shot.Previous
	if b := next.previous; b != nil && (b.Checksum != b.Content.Sum() || b.Number != next.rollout.Previous) {
		return fmt.Errorf("snapshot: revision %d, which the rollout goes back to, does not fit its checksum or its number", b.Number)
	}
	for _, n := range []uint64{next.rollout.New, next.rollout.Previous} {
		if _, found := next.Revision(n); n != 0 && !found {
			return fmt.Errorf("snapshot: revision %d of the rollout is missing", n)
		}
	}
	for _, a := range shot.Agents {
		e := Entry{Enroll: &Enroll{Agent: a}}
		if err := e.check(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if out := next.applyEnroll(e.Enroll); out.Rejected != "" {
			return fmt.Errorf("snapshot: %s", out.Rejected)
		}
	}
	for _, name := range shot.Drained {
		if out := next.applyDrain(&Drain{Instance: name, On: true}); out.Rejected != "" {
			return fmt.Errorf("snapshot: %s", out.Rejected)
		}
	}
	if r := shot.Roster; r != nil {
		if key, err := r.Check(); err != nil {
			return fmt.Errorf("snapshot: roster: %s: %w", key, err)
		}
		next.roster = *r
	}
	if shot.Records != nil {
		if err := next.records.Restore(shot.Records); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if len(shot.Events) > MaxEvents {
		return errors.New("snapshot: more events than a state keeps")
	}
	next.events = shot.Events
	*s = next
	return nil
}
