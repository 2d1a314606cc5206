package audit

import (
	"fmt"
	"slices"
	"time"
)

// Names of the rules, as they are reported.
const (
	RuleAnswer  = "one final answer in time"
	RuleEffect  = "no effect twice"
	RuleDrain   = "drains kept"
	RuleCold    = "no cold backend pushed over"
	RuleCeiling = "ceilings kept"
	RuleQuota   = "quotas kept"
	RuleTakes   = "limit commands answered as they should be"
	RuleBad     = "bad clients turned down"
	RuleLimits  = "memory and descriptors"
	RuleRunning = "no crash"
	maxEvidence = 20 // entries kept per rule; Finding.Broken and Finding.Void count all of them
)

// Names returns the rules in the order in which they are reported.
func Names() []string {
	return []string{RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleCeiling, RuleQuota, RuleTakes, RuleBad, RuleLimits, RuleRunning}
}

// Evidence describes one violation of a rule.
type Evidence struct {
	At      time.Duration `json:"at_ns"` // from the start of the load
	Request string        `json:"request,omitempty"`
	Gateway string        `json:"gateway,omitempty"`
	Backend string        `json:"backend,omitempty"`
	Text    string        `json:"text"`
}

// Finding is the result of checking one rule.
type Finding struct {
	Rule     string     `json:"rule"`
	Broken   int        `json:"broken"` // number of violations
	Void     int        `json:"void"`   // number of cases left undecided because the machine ran late
	Evidence []Evidence `json:"evidence,omitempty"`
	Voided   []Evidence `json:"voided,omitempty"`
}

// Quota is the window in which an account exceeded its quota the most.
type Quota struct {
	Customer uint64        `json:"customer"`
	Plan     string        `json:"plan"`
	Percent  float64       `json:"percent"` // of Allowed by which the account exceeded it
	Units    float64       `json:"units"`   // used in excess of Allowed
	Allowed  float64       `json:"allowed"` // units that the quota allows in the window
	From     time.Duration `json:"from_ns"`
	To       time.Duration `json:"to_ns"`
}

// Beyond sums what all gateways together forwarded for the accounts of a plan.
type Beyond struct {
	Plan   string  `json:"plan"`
	Units  float64 `json:"units"`
	Beyond float64 `json:"beyond"` // of Units, those forwarded while the account's token bucket was too low
	Cost   float64 `json:"cost"`   // at the plan's price for excess use, as a share of the worth requested within all quotas
}

// Service compares the worth served in time with the worth requested within the quotas.
type Service struct {
	Name   string  `json:"name"`
	Asked  float64 `json:"asked"`
	Served float64 `json:"served"`
}

// Share returns Served/Asked, or 1 if nothing was requested.
func (s Service) Share() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Served / s.Asked
}

// Verdict is the result of auditing a run.
type Verdict struct {
	Findings  []Finding `json:"findings"`
	Service   float64   `json:"service"`
	Classes   []Service `json:"classes"`
	Plans     []Service `json:"plans"`
	Worst     Quota     `json:"worst_quota"`
	Over      []Quota   `json:"over_quota,omitempty"` // accounts beyond the tolerated excess
	Beyond    []Beyond  `json:"beyond_quotas"`        // by plan
	Processes []Process `json:"processes"`
	Counts    Counts    `json:"counts"`
	Late      []string  `json:"late,omitempty"`
	Lost      int       `json:"lost_records"`
	// Members is nil unless the gateways of the site run the membership protocol.
	Members *MembersVerdict `json:"members,omitempty"`
}

// Counts are totals over a run.
type Counts struct {
	First       int             `json:"first_tries"`
	Tries       int             `json:"tries"`
	Attempts    int             `json:"attempts"`
	Outcomes    map[Outcome]int `json:"outcomes"`
	Bad         int             `json:"bad_requests"`
	Excused     int             `json:"excused"` // ended by a fault that the lab injected
	Unanswered  int             `json:"failed_by_silence"`
	RanTwice    int             `json:"ran_twice"` // keys with more than one effect, whatever the cause
	CPUEach     time.Duration   `json:"cpu_per_request_ns"`
	LateWindows int             `json:"late_windows"`
	Takes       int             `json:"limit_commands"`
	Granted     float64         `json:"granted_units"` // granted by limit commands
	Local       int             `json:"granted_locally"`
}

// State returns "broken", "void" or "kept".
func (v *Verdict) State() string {
	switch {
	case v.Broken() > 0:
		return "broken"
	case v.Void():
		return "void"
	}
	return "kept"
}

// Broken returns the number of rules with at least one violation.
func (v *Verdict) Broken() int {
	n := 0
	for _, f := range v.Findings {
		if f.Broken > 0 {
			n++
		}
	}
	return n
}

// Void reports whether part of the run could not be judged. Violations that were
// established count regardless.
func (v *Verdict) Void() bool {
	for _, f := range v.Findings {
		if f.Void > 0 {
			return true
		}
	}
	return v.Lost > 0
}

// Finding returns the result for a rule.
func (v *Verdict) Finding(rule string) Finding {
	for _, f := range v.Findings {
		if f.Rule == rule {
			return f
		}
	}
	return Finding{Rule: rule}
}

// judge indexes a log for the checks and collects their findings.
type judge struct {
	rules        *Rules
	log          *Log
	attemptsByID map[string][]*Attempt // in the order in which they were sent
	triesByID    map[string]*Try
	findings     map[string]*Finding
}

// Judge checks a run against all rules.
func Judge(rules Rules, log Log) Verdict {
	j := &judge{rules: &rules, log: &log, attemptsByID: map[string][]*Attempt{}, triesByID: map[string]*Try{}, findings: map[string]*Finding{}}
	for _, name := range Names() {
		j.findings[name] = &Finding{Rule: name}
	}
	slices.SortFunc(log.Attempts, func(a, b Attempt) int { return a.First.Compare(b.First) })
	for i := range log.Attempts {
		a := &log.Attempts[i]
		j.attemptsByID[a.ID] = append(j.attemptsByID[a.ID], a)
	}
	for i := range log.Tries {
		j.triesByID[log.Tries[i].ID] = &log.Tries[i]
	}
	v := Verdict{Processes: log.Processes, Lost: log.Lost}
	v.Counts = j.counts()
	j.checkAnswers(&v.Counts)
	j.checkEffects(&v.Counts)
	j.checkDrains()
	j.checkColdBackends()
	j.checkQuotas(&v)
	j.checkLimitCommands(&v.Counts)
	j.checkBadClients()
	j.checkProcessLimits()
	j.computeService(&v)
	v.Beyond = j.overQuotaByPlan(v.Plans)
	for _, w := range log.Late {
		v.Late = append(v.Late, fmt.Sprintf("%s to %s: %s", j.sinceStart(w.From).Round(time.Millisecond), j.sinceStart(w.To).Round(time.Millisecond), w.What))
	}
	for _, name := range Names() {
		v.Findings = append(v.Findings, *j.findings[name])
	}
	return v
}

// sinceStart returns the time since the start of the load.
func (j *judge) sinceStart(t time.Time) time.Duration { return t.Sub(j.log.From) }

// recordUnlessLate records a violation, or an undecided case if the machine ran late between from and to.
func (j *judge) recordUnlessLate(rule string, e Evidence, from, to time.Time) {
	if w := j.lateWindow(e.Gateway, from, to); w != nil {
		j.recordVoid(rule, e, w.What)
		return
	}
	j.recordViolation(rule, e)
}

// recordVoid records a case that cannot be decided because the machine ran late.
func (j *judge) recordVoid(rule string, e Evidence, why string) {
	f := j.findings[rule]
	f.Void++
	if len(f.Voided) < maxEvidence {
		e.Text += "; the machine ran late: " + why
		f.Voided = append(f.Voided, e)
	}
}

// recordOverdue records an answer that came after its deadline and the slack. The receiver counts the time limit from
// when it sees the request, which a late machine delays: if the machine ran late between the sending and the deadline,
// the answer may be later by that delay and no more.
func (j *judge) recordOverdue(rule string, e Evidence, sent time.Time, left time.Duration, over time.Time) {
	end, by := sent.Add(left), time.Duration(0)
	for _, w := range j.log.Late {
		if overlappingWindow([]Window{w}, e.Gateway, sent, end) != nil {
			by += w.By
		}
	}
	if by > 0 && !over.After(end.Add(j.rules.Slack+by)) {
		j.recordVoid(rule, e, fmt.Sprintf("by %v in all since the sending", by.Round(time.Millisecond)))
		return
	}
	j.recordUnlessLate(rule, e, end, over)
}

// recordViolation records a violation that a late machine cannot explain.
func (j *judge) recordViolation(rule string, e Evidence) {
	f := j.findings[rule]
	f.Broken++
	if len(f.Evidence) < maxEvidence {
		f.Evidence = append(f.Evidence, e)
	}
}

func (j *judge) lateWindow(gateway string, from, to time.Time) *Window {
	return overlappingWindow(j.log.Late, gateway, from, to)
}

// overlappingWindow returns the first window of the gateway, or of all gateways, that intersects [from, to], or nil.
func overlappingWindow(windows []Window, gateway string, from, to time.Time) *Window {
	for i := range windows {
		w := &windows[i]
		if (w.Gateway == "" || w.Gateway == gateway) && !w.To.Before(from) && !w.From.After(to) {
			return w
		}
	}
	return nil
}

func (j *judge) counts() Counts {
	c := Counts{Outcomes: map[Outcome]int{}, Attempts: len(j.log.Attempts), LateWindows: len(j.log.Late)}
	for i := range j.log.Tries {
		t := &j.log.Tries[i]
		if t.Bad != "" {
			c.Bad++
			continue
		}
		c.Tries++
		if t.Number == 0 {
			c.First++
		}
		c.Outcomes[t.Outcome]++
	}
	cpu, n := time.Duration(0), 0
	for _, p := range j.log.Processes {
		cpu += p.CPU
		n += p.Requests
	}
	if n > 0 {
		c.CPUEach = cpu / time.Duration(n)
	}
	return c
}

// checkProcessLimits checks memory, descriptors and unexpected exits of the gateway processes.
func (j *judge) checkProcessLimits() {
	for _, p := range j.log.Processes {
		if j.rules.MemoryMB > 0 && p.PeakMB > float64(j.rules.MemoryMB) {
			j.recordViolation(RuleLimits, Evidence{Gateway: p.Gateway, Text: fmt.Sprintf("held %.1f MB of %d", p.PeakMB, j.rules.MemoryMB)})
		}
		if j.rules.Files > 0 && p.Files > j.rules.Files {
			j.recordViolation(RuleLimits, Evidence{Gateway: p.Gateway, Text: fmt.Sprintf("held %d descriptors of %d", p.Files, j.rules.Files)})
		}
		if p.Died != "" {
			j.recordViolation(RuleRunning, Evidence{Gateway: p.Gateway, Text: p.Died})
		}
	}
}

// checkBadClients checks that requests of bad clients are not forwarded or served and are ended in time.
func (j *judge) checkBadClients() {
	for i := range j.log.Tries {
		t := &j.log.Tries[i]
		if t.Bad == "" || j.excused(t) {
			continue
		}
		e := Evidence{At: j.sinceStart(t.Sent), Request: t.ID, Gateway: t.Gateway}
		if len(j.attemptsByID[t.ID]) > 0 {
			e.Backend = j.attemptsByID[t.ID][0].Backend
			e.Text = "what a bad client sent (" + t.Bad + ") was passed on"
			j.recordViolation(RuleBad, e)
		}
		switch {
		case t.Outcome == Served:
			e.Text = "a bad client (" + t.Bad + ") was served"
			j.recordViolation(RuleBad, e)
		case t.Outcome == NoAnswer:
			e.Text = fmt.Sprintf("a bad client (%s) got neither an error nor a close within %v", t.Bad, j.rules.BadOwed)
			j.recordUnlessLate(RuleBad, e, t.Sent, t.Over)
		}
	}
}

// checkColdBackends records each cold backend that was overloaded.
func (j *judge) checkColdBackends() {
	for _, f := range j.log.Overloads {
		from := make([]string, 0, len(f.From))
		for g, n := range f.From {
			from = append(from, fmt.Sprintf("%s %d", g, n))
		}
		slices.Sort(from)
		j.recordViolation(RuleCold, Evidence{At: j.sinceStart(f.At), Backend: f.Backend,
			Text: fmt.Sprintf("was sent %.2f s of work where it could do %.2f s, requests by gateway: %v", f.Sent, f.Could, from)})
	}
}

// checkDrains checks that no gateway sends new work to a backend after the grace that follows the notice of its drain
// or removal.
func (j *judge) checkDrains() {
	type link struct{ gateway, backend string }
	notices := map[link][]Notice{}
	for _, t := range j.log.Notices {
		k := link{t.Gateway, t.Backend}
		notices[k] = append(notices[k], t)
	}
	for _, list := range notices {
		slices.SortStableFunc(list, func(a, b Notice) int { return a.At.Compare(b.At) })
	}
	for i := range j.log.Attempts {
		a := &j.log.Attempts[i]
		var last *Notice
		list := notices[link{a.Gateway, a.Backend}]
		for n := range list {
			if list[n].At.After(a.First) {
				break
			}
			// A notice that repeats the known state does not restart the grace.
			if last == nil || last.Ready != list[n].Ready {
				last = &list[n]
			}
		}
		if last == nil || last.Ready {
			continue
		}
		until := last.At.Add(j.rules.DrainGrace + j.rules.Slack)
		if overlappingWindow(j.log.Excused, a.Gateway, last.At, a.First) != nil || overlappingWindow(j.log.Uninformed, a.Gateway, last.At, a.First) != nil {
			continue // the gateway may not have read the notice
		}
		if a.First.After(until) {
			j.recordUnlessLate(RuleDrain, Evidence{At: j.sinceStart(a.First), Request: a.ID, Gateway: a.Gateway, Backend: a.Backend,
				Text: fmt.Sprintf("new work %v after the gateway was told that the backend drains or is gone",
					a.First.Sub(last.At).Round(time.Millisecond))}, until.Add(-j.rules.Slack), a.First)
		}
	}
}
