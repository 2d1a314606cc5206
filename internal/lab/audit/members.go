package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"elderyard/internal/peers"
	"elderyard/members"
)

// EventKind is the kind of an action of the lab.
type EventKind string

// Kinds of events.
const (
	Started  EventKind = "started"
	Ended    EventKind = "ended"
	Slept    EventKind = "slept"
	Woke     EventKind = "woke"
	Agreed   EventKind = "agreed" // the gateways agreed on a roster
	Troubled EventKind = "troubled"
	Healed   EventKind = "healed"
)

// Event is one action of the lab, recorded on completion.
type Event struct {
	At   time.Time
	What EventKind
	Name string // name of the gateway or of the fault
}

// Picture is the membership view of one process when it was queried.
type Picture struct {
	At          time.Time // when the query was sent; the answer is not older
	Name        string
	Incarnation members.Incarnation
	Verdict     string
	Epoch       uint64
	Safe        int
	Share       int
	MayExercise bool
	Alive       map[string]members.Incarnation // members that it considers alive, itself included
}

// NewPicture builds a Picture from the status that a process returned to a query sent at asked.
func NewPicture(asked time.Time, a peers.Status) Picture {
	p := Picture{At: asked, Name: a.View.Self, Incarnation: a.View.Incarnation, Verdict: a.View.Verdict.String(), Epoch: a.View.Epoch,
		Safe: a.View.SafeCount, Share: a.View.QuotaDivisor, Alive: map[string]members.Incarnation{}}
	for _, v := range a.View.Members {
		if v.State.Alive() {
			p.Alive[v.Name] = v.Incarnation
		}
	}
	for _, u := range a.Permissions {
		if u.Operation == members.ExerciseLease.String() {
			p.MayExercise = u.Allowed
		}
	}
	return p
}

// MembersLog holds the recorded views of the gateways and the events of the lab.
type MembersLog struct {
	Pictures []Picture
	Events   []Event
	Lost     int // views dropped because the log was full
}

// MemberRules are the time limits for the membership views.
type MemberRules struct {
	FailWithin  time.Duration // limit from the end of a process until no view counts it as alive, without other faults
	AgreeWithin time.Duration // limit from the end of the last fault until all views agree
}

// MembersVerdict is the result of auditing the membership views.
type MembersVerdict struct {
	Findings []Finding       `json:"findings"`
	Judged   map[string]int  `json:"judged"` // number of cases judged, by rule
	Failed   []time.Duration `json:"failed"` // from the end of a process until the last view that still counted it as alive
	Agreed   []time.Duration `json:"agreed"` // from the end of the last fault until all views agreed and stayed so
	Changes  int             `json:"changes"`
	False    int             `json:"false"` // number of times that a gateway gave up a member that ran without a fault
}

// Names of the rules on membership views, as they are reported.
const (
	RuleFailed   = "whoever ended is given up"
	RuleAgree    = "pictures become one"
	RuleTwoMay   = "an earlier life holds nothing beside a later one"
	RuleSafe     = "the safe count is not under those that serve"
	RuleEpoch    = "epochs only grow"
	RuleRecorded = "all pictures are recorded"
)

// MemberNames returns the rules on membership views in the order in which they are reported.
func MemberNames() []string {
	return []string{RuleFailed, RuleAgree, RuleTwoMay, RuleSafe, RuleEpoch, RuleRecorded}
}

// JudgeMembers checks the recorded views and events against all rules, and uses no other input.
func JudgeMembers(r MemberRules, log MembersLog) *MembersVerdict {
	v := &MembersVerdict{Judged: map[string]int{}}
	for _, name := range MemberNames() {
		v.Findings = append(v.Findings, Finding{Rule: name})
	}
	slices.SortStableFunc(log.Pictures, func(a, b Picture) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(log.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	if log.Lost > 0 {
		v.recordViolation(RuleRecorded, "", "%d pictures found no room", log.Lost)
	}
	v.checkFailures(r, log)
	v.checkAgreement(r, log)
	v.checkIncarnations(log)
	v.checkSafeCount(log)
	v.checkEpochs(log)
	v.countChanges(log)
	return v
}

func (v *MembersVerdict) recordViolation(rule, gateway, format string, a ...any) {
	f := &v.Findings[slices.Index(MemberNames(), rule)]
	f.Broken++
	if len(f.Evidence) < maxEvidence {
		f.Evidence = append(f.Evidence, Evidence{Gateway: gateway, Text: fmt.Sprintf(format, a...)})
	}
}

// Broken returns the number of rules with at least one violation.
func (v *MembersVerdict) Broken() (n int) {
	for _, f := range v.Findings {
		if f.Broken > 0 {
			n++
		}
	}
	return n
}

// onlyEnds reports whether the lab did nothing between from and to except end processes.
func onlyEnds(log MembersLog, from, to time.Time) bool {
	return !slices.ContainsFunc(log.Events, func(h Event) bool { return h.At.After(from) && h.At.Before(to) && h.What != Ended })
}

// settled returns the time of the last event up to a time, and false if a fault is active then.
func settled(log MembersLog, at time.Time) (time.Time, bool) {
	on := 0
	var last time.Time
	for _, h := range log.Events {
		if h.At.After(at) {
			break
		}
		switch h.What {
		case Troubled, Slept:
			on++
		case Healed, Woke:
			on--
		}
		last = h.At
	}
	return last, on <= 0
}

// checkFailures checks each end of a process that no other event followed within FailWithin.
func (v *MembersVerdict) checkFailures(r MemberRules, log MembersLog) {
	for i, end := range log.Events {
		if end.What != Ended {
			continue
		}
		if _, quiet := settled(log, end.At); !quiet {
			continue
		}
		until := end.At.Add(r.FailWithin)
		if !onlyEnds(log, end.At, until) {
			continue
		}
		next := time.Time{}
		for _, h := range log.Events[i+1:] {
			if h.Name == end.Name && h.What == Started {
				next = h.At
				break
			}
		}
		lastThere, judged := time.Duration(0), false
		for _, p := range log.Pictures {
			if p.Name == end.Name || p.At.Before(end.At) || !next.IsZero() && p.At.After(next) {
				continue
			}
			_, there := p.Alive[end.Name]
			if there && p.At.Before(until) {
				lastThere = max(lastThere, p.At.Sub(end.At))
			}
			if p.At.After(until) {
				judged = true
				if there {
					v.recordViolation(RuleFailed, p.Name, "%s ended, and %v later it still counts as living", end.Name, p.At.Sub(end.At).Round(time.Millisecond))
					break
				}
			}
		}
		if judged {
			v.Judged[RuleFailed]++
			v.Failed = append(v.Failed, lastThere)
		}
	}
}

// running returns the number of processes of each name that has one at a time.
func running(log MembersLog, at time.Time) map[string]int {
	n := map[string]int{}
	for _, h := range log.Events {
		if h.At.After(at) {
			break
		}
		switch h.What {
		case Started:
			n[h.Name]++
		case Ended:
			n[h.Name]--
		}
	}
	maps.DeleteFunc(n, func(_ string, n int) bool { return n <= 0 })
	return n
}

// checkAgreement checks that the views agree after the last fault.
func (v *MembersVerdict) checkAgreement(r MemberRules, log MembersLog) {
	if len(log.Pictures) == 0 {
		return
	}
	end := log.Pictures[len(log.Pictures)-1].At
	last, quiet := settled(log, end)
	if !quiet || last.IsZero() {
		return
	}
	want := running(log, end)
	differs := time.Duration(0)
	seen := map[string]Picture{}
	for _, p := range log.Pictures {
		if p.At.Before(last) {
			continue
		}
		if !sameNames(p.Alive, want) && want[p.Name] > 0 {
			differs = max(differs, p.At.Sub(last))
		}
		seen[p.Name] = p
	}
	if end.Sub(last) < r.AgreeWithin {
		return
	}
	v.Judged[RuleAgree]++
	v.Agreed = append(v.Agreed, differs)
	epochs := map[uint64]bool{}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		p, recorded := seen[name]
		if !recorded {
			v.recordViolation(RuleAgree, name, "it runs, and tells nobody what it believes")
			continue
		}
		epochs[p.Epoch] = true
		if !sameNames(p.Alive, want) {
			v.recordViolation(RuleAgree, name, "%v after the last trouble it counts %v as living, and %v run", end.Sub(last).Round(time.Millisecond), slices.Sorted(maps.Keys(p.Alive)),
				slices.Sorted(maps.Keys(want)))
		}
	}
	if len(epochs) > 1 {
		v.recordViolation(RuleAgree, "", "%v after the last trouble the epochs are %v", end.Sub(last).Round(time.Millisecond), slices.Sorted(maps.Keys(epochs)))
	}
}

func sameNames(there map[string]members.Incarnation, want map[string]int) bool {
	if len(there) != len(want) {
		return false
	}
	for name := range want {
		if _, is := there[name]; !is {
			return false
		}
	}
	return true
}

// checkIncarnations checks the incarnations of each name: once a later one may exercise a lease, no earlier one may.
func (v *MembersVerdict) checkIncarnations(log MembersLog) {
	later := map[string]Picture{}
	for _, p := range log.Pictures {
		if !p.MayExercise {
			continue
		}
		if q := later[p.Name]; q.Incarnation > p.Incarnation {
			v.recordViolation(RuleTwoMay, p.Name, "life %d may hold duties %v after life %d might", p.Incarnation, p.At.Sub(q.At).Round(time.Millisecond), q.Incarnation)
		} else if q.Incarnation != 0 && q.Incarnation < p.Incarnation {
			v.Judged[RuleTwoMay]++
		}
		if p.Incarnation >= later[p.Name].Incarnation {
			later[p.Name] = p
		}
	}
}

// checkSafeCount checks that the safe count is never below the number of gateways that run and have a quota share. A new
// gateway without a share does not count.
func (v *MembersVerdict) checkSafeCount(log MembersLog) {
	share := map[string]bool{}
	next := 0
	up := map[string]int{}
	for _, p := range log.Pictures {
		for ; next < len(log.Events) && !log.Events[next].At.After(p.At); next++ {
			switch h := log.Events[next]; h.What {
			case Started:
				up[h.Name]++
			case Ended:
				up[h.Name]--
				delete(share, h.Name)
			}
		}
		share[p.Name] = p.Share != members.NoQuota
		serving := 0
		for name, has := range share {
			if has && up[name] > 0 {
				serving++
			}
		}
		v.Judged[RuleSafe]++
		if p.Share != members.NoQuota && p.Safe < serving {
			v.recordViolation(RuleSafe, p.Name, "it counts %d, and %d serve", p.Safe, serving)
			return
		}
	}
}

// checkEpochs checks that the epoch of no gateway decreases.
func (v *MembersVerdict) checkEpochs(log MembersLog) {
	last := map[string]uint64{}
	for _, p := range log.Pictures {
		if p.Epoch < last[p.Name] {
			v.recordViolation(RuleEpoch, p.Name, "it went from epoch %d to %d", last[p.Name], p.Epoch)
		}
		last[p.Name] = max(last[p.Name], p.Epoch)
		v.Judged[RuleEpoch]++
	}
}

// countChanges counts changes of verdicts, and members without a fault that were given up.
func (v *MembersVerdict) countChanges(log MembersLog) {
	last := map[string]Picture{}
	for _, p := range log.Pictures {
		q, known := last[p.Name]
		last[p.Name] = p
		if !known || q.Incarnation != p.Incarnation {
			continue
		}
		if q.Verdict != p.Verdict {
			v.Changes++
		}
		for name := range q.Alive {
			if _, still := p.Alive[name]; still {
				continue
			}
			if untroubled(log, name, p.Name, p.At) {
				v.False++
			}
		}
	}
}

const troubleLasts = 30 * time.Second // a fault may still cause a member to be given up for this long after its end

// untroubled reports whether neither of two gateways ended, slept or was cut off recently.
func untroubled(log MembersLog, one, other string, at time.Time) bool {
	on := false
	for _, h := range log.Events {
		if h.At.After(at) {
			break
		}
		switch h.What {
		case Troubled:
			on = true
		case Healed:
			on = false
		case Started, Ended, Slept, Woke:
			if h.Name != one && h.Name != other {
				continue
			}
			if h.What == Ended || h.What == Slept {
				return false
			}
		default:
			continue
		}
		if at.Sub(h.At) < troubleLasts && h.What != Started {
			return false
		}
	}
	return !on
}

// Spread returns the minimum, median and maximum of times, or zeros if there are none.
func Spread(times []time.Duration) (minimum, median, maximum time.Duration) {
	if len(times) == 0 {
		return 0, 0, 0
	}
	sorted := slices.SortedFunc(slices.Values(times), cmp.Compare)
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}
