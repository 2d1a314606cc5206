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

// EventKind is what the lab did.
type EventKind string

// The happenings.
const (
	Started  EventKind = "started"
	Ended    EventKind = "ended"
	Slept    EventKind = "slept"
	Woke     EventKind = "woke"
	Agreed   EventKind = "agreed" // on a roster
	Troubled EventKind = "troubled"
	Healed   EventKind = "healed"
)

// Event is one thing that the lab did, when it had done it.
type Event struct {
	At   time.Time
	What EventKind
	Name string // of a gateway, or of a trouble
}

// Picture is what one process believed when it was asked.
type Picture struct {
	At          time.Time // of the question; the answer is not older
	Name        string
	Incarnation members.Incarnation
	Verdict     string
	Epoch       uint64
	Safe        int
	Share       int
	MayExercise bool
	Alive       map[string]members.Incarnation // whom it counts as living, itself among them
}

// NewPicture reads an answer.
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

// MembersLog is all that was seen of the gateways' pictures.
type MembersLog struct {
	Pictures []Picture
	Events   []Event
	Lost     int // pictures that there was no room for
}

// MemberRules are the bounds that pictures are held to.
type MemberRules struct {
	FailWithin  time.Duration // whoever ended is living in no picture so long after, where nothing else is wrong
	AgreeWithin time.Duration // all pictures are one so long after the last trouble
}

// MembersVerdict is what the auditor says of the pictures.
type MembersVerdict struct {
	Findings []Finding       `json:"findings"`
	Judged   map[string]int  `json:"judged"` // by rule, how often there was something to rule on
	Failed   []time.Duration `json:"failed"` // from an end until the last picture of a gateway had it so
	Agreed   []time.Duration `json:"agreed"` // from the last trouble until all pictures were one and stayed so
	Changes  int             `json:"changes"`
	False    int             `json:"false"` // times that a gateway stopped counting one that ran and was not troubled
}

// The rules on pictures.
const (
	RuleFailed   = "whoever ended is given up"
	RuleAgree    = "pictures become one"
	RuleTwoMay   = "an earlier life holds nothing beside a later one"
	RuleSafe     = "the safe count is not under those that serve"
	RuleEpoch    = "epochs only grow"
	RuleRecorded = "all pictures are recorded"
)

// MemberNames returns the rules on pictures in the order in which they are reported.
func MemberNames() []string {
	return []string{RuleFailed, RuleAgree, RuleTwoMay, RuleSafe, RuleEpoch, RuleRecorded}
}

// JudgeMembers rules on what was recorded, and on nothing else.
func JudgeMembers(r MemberRules, log MembersLog) *MembersVerdict {
	v := &MembersVerdict{Judged: map[string]int{}}
	for _, name := range MemberNames() {
		v.Findings = append(v.Findings, Finding{Rule: name})
	}
	slices.SortStableFunc(log.Pictures, func(a, b Picture) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(log.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	if log.Lost > 0 {
		v.breach(RuleRecorded, "", "%d pictures found no room", log.Lost)
	}
	v.failed(r, log)
	v.agreed(r, log)
	v.twoMay(log)
	v.safe(log)
	v.epochs(log)
	v.count(log)
	return v
}

func (v *MembersVerdict) breach(rule, gateway, format string, a ...any) {
	f := &v.Findings[slices.Index(MemberNames(), rule)]
	f.Broken++
	if len(f.Evidence) < maxEvidence {
		f.Evidence = append(f.Evidence, Evidence{Gateway: gateway, Text: fmt.Sprintf(format, a...)})
	}
}

// Broken counts the rules that were broken.
func (v *MembersVerdict) Broken() (n int) {
	for _, f := range v.Findings {
		if f.Broken > 0 {
			n++
		}
	}
	return n
}

// calm tells whether the lab did nothing to anybody in a time but end processes.
func calm(log MembersLog, from, to time.Time) bool {
	return !slices.ContainsFunc(log.Events, func(h Event) bool { return h.At.After(from) && h.At.Before(to) && h.What != Ended })
}

// settled is when the last trouble before a moment had ended; false: one is on.
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

// failed rules on ends after which nothing else happened for the bound.
func (v *MembersVerdict) failed(r MemberRules, log MembersLog) {
	for i, end := range log.Events {
		if end.What != Ended {
			continue
		}
		if _, quiet := settled(log, end.At); !quiet {
			continue
		}
		until := end.At.Add(r.FailWithin)
		if !calm(log, end.At, until) {
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
					v.breach(RuleFailed, p.Name, "%s ended, and %v later it still counts as living", end.Name, p.At.Sub(end.At).Round(time.Millisecond))
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

// running is the names that have a process at a moment.
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

// agreed rules on the time after the last trouble.
func (v *MembersVerdict) agreed(r MemberRules, log MembersLog) {
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
		p, told := seen[name]
		if !told {
			v.breach(RuleAgree, name, "it runs, and tells nobody what it believes")
			continue
		}
		epochs[p.Epoch] = true
		if !sameNames(p.Alive, want) {
			v.breach(RuleAgree, name, "%v after the last trouble it counts %v as living, and %v run", end.Sub(last).Round(time.Millisecond), slices.Sorted(maps.Keys(p.Alive)),
				slices.Sorted(maps.Keys(want)))
		}
	}
	if len(epochs) > 1 {
		v.breach(RuleAgree, "", "%v after the last trouble the epochs are %v", end.Sub(last).Round(time.Millisecond), slices.Sorted(maps.Keys(epochs)))
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

// twoMay rules on lives of one name: once a later one may hold, no earlier one may.
func (v *MembersVerdict) twoMay(log MembersLog) {
	later := map[string]Picture{}
	for _, p := range log.Pictures {
		if !p.MayExercise {
			continue
		}
		if q := later[p.Name]; q.Incarnation > p.Incarnation {
			v.breach(RuleTwoMay, p.Name, "life %d may hold duties %v after life %d might", p.Incarnation, p.At.Sub(q.At).Round(time.Millisecond), q.Incarnation)
		} else if q.Incarnation != 0 && q.Incarnation < p.Incarnation {
			v.Judged[RuleTwoMay]++
		}
		if p.Incarnation >= later[p.Name].Incarnation {
			later[p.Name] = p
		}
	}
}

// safe rules on the safe count: never under the number of gateways that run and
// have a share. A newcomer that has none does not count.
func (v *MembersVerdict) safe(log MembersLog) {
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
			v.breach(RuleSafe, p.Name, "it counts %d, and %d serve", p.Safe, serving)
			return
		}
	}
}

func (v *MembersVerdict) epochs(log MembersLog) {
	last := map[string]uint64{}
	for _, p := range log.Pictures {
		if p.Epoch < last[p.Name] {
			v.breach(RuleEpoch, p.Name, "it went from epoch %d to %d", last[p.Name], p.Epoch)
		}
		last[p.Name] = max(last[p.Name], p.Epoch)
		v.Judged[RuleEpoch]++
	}
}

// count tells how often verdicts changed, and how often one that ran undisturbed
// was given up.
func (v *MembersVerdict) count(log MembersLog) {
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

const troubleLasts = 30 * time.Second // so long after its end, a trouble may still be why one is given up

// untroubled tells whether neither of two gateways ended, slept or was cut off lately.
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

// Spread is the least, the middle and the most of some times.
func Spread(times []time.Duration) (least, middle, most time.Duration) {
	if len(times) == 0 {
		return 0, 0, 0
	}
	sorted := slices.SortedFunc(slices.Values(times), cmp.Compare)
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}
