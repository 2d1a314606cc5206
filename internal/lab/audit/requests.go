package audit

import (
	"fmt"
	"time"
)

// excused reports whether a fault that the lab injected may have ended a try: its gateway was killed, stopped or cut off
// while the try was in flight.
func (j *judge) excused(t *Try) bool {
	from := t.Sent
	if from.IsZero() {
		from = t.Over
	}
	return overlappingWindow(j.log.Excused, t.Gateway, from, t.Over) != nil
}

// checkAnswers checks that each try has one final answer, in time and made by a backend.
func (j *judge) checkAnswers(c *Counts) {
	for i := range j.log.Tries {
		t := &j.log.Tries[i]
		if t.Bad != "" || t.Outcome == Unfinished || t.Outcome == NotTaken {
			continue
		}
		if j.excused(t) {
			c.Excused++
			continue
		}
		due := t.Sent.Add(t.Left + j.rules.Slack)
		e := Evidence{At: j.sinceStart(t.Sent), Request: t.ID, Gateway: t.Gateway}
		switch {
		case t.Outcome == NoAnswer:
			e.Text = fmt.Sprintf("no answer within %v", t.Left)
			j.recordOverdue(RuleAnswer, e, t.Sent, t.Left, t.Over)
		case t.Outcome == Closed && t.Pooled && len(j.attemptsByID[t.ID]) == 0:
			// The request raced with the close of an idle connection by the gateway. The client sends it
			// again, so nothing is lost.
			c.Unanswered++
		case t.Outcome == Closed:
			e.Text = fmt.Sprintf("the connection ended without a whole answer after %v", t.Over.Sub(t.Sent).Round(time.Millisecond))
			j.recordViolation(RuleAnswer, e)
		case t.Over.After(due):
			e.Text = fmt.Sprintf("%s after %v, with %v to answer in", t.Outcome, t.Over.Sub(t.Sent).Round(time.Millisecond), t.Left)
			j.recordOverdue(RuleAnswer, e, t.Sent, t.Left, t.Over)
		}
		if t.Outcome == Served && !j.madeByBackend(t) {
			e.Text = "was served an answer that no backend made for it"
			j.recordViolation(RuleAnswer, e)
		}
		if t.Extra {
			e.Text = "a second answer came behind the final one"
			j.recordViolation(RuleAnswer, e)
		}
		j.checkNoLaterAttempt(t)
	}
}

// madeByBackend reports whether the checksum of the served answer matches an answer that a backend made for the request.
func (j *judge) madeByBackend(t *Try) bool {
	for _, a := range j.attemptsByID[t.ID] {
		if a.Sum == t.Sum {
			return true
		}
	}
	return false
}

// checkNoLaterAttempt checks that a gateway starts no attempt for a request after its final answer.
func (j *judge) checkNoLaterAttempt(t *Try) {
	for _, a := range j.attemptsByID[t.ID] {
		if a.Gateway == t.Gateway && a.First.After(t.Over.Add(j.rules.Slack)) {
			j.recordUnlessLate(RuleAnswer, Evidence{At: j.sinceStart(a.First), Request: t.ID, Gateway: t.Gateway, Backend: a.Backend,
				Text: fmt.Sprintf("was sent on %v after its final answer", a.First.Sub(t.Over).Round(time.Millisecond))}, t.Over, a.First)
		}
	}
}

// mayHaveRun reports whether, as far as its gateway knew at time t, an attempt may have run.
func mayHaveRun(a *Attempt, t time.Time) bool {
	return !(a.NotRan && !a.Over.After(t))
}

// checkEffects checks that gateways resend requests only as their class allows. A client's own retry is a separate
// request here: the answer to the try before said whether a retry is safe, and checkRefusal checks that answer.
func (j *judge) checkEffects(c *Counts) {
	for id, list := range j.attemptsByID {
		t := j.triesByID[id]
		if t == nil || t.Bad != "" {
			continue
		}
		class := &j.rules.Classes[t.Class]
		if class.Effect == Safe {
			continue
		}
		for n, a := range list {
			for _, earlier := range list[:n] {
				if a.Gateway != earlier.Gateway || !mayHaveRun(earlier, a.First) {
					continue
				}
				e := Evidence{At: j.sinceStart(a.First), Request: id, Gateway: a.Gateway, Backend: a.Backend}
				switch {
				case class.Effect == Once:
					e.Text = fmt.Sprintf("was sent again though it may have run at %s, and its class may run but once", earlier.Backend)
					j.recordViolation(RuleEffect, e)
				case a.Cell != earlier.Cell:
					e.Text = fmt.Sprintf("was sent to cell %d though it may have run at %s in cell %d", a.Cell, earlier.Backend, earlier.Cell)
					j.recordViolation(RuleEffect, e)
				case a.First.Sub(earlier.First) > class.Window+j.rules.Slack:
					e.Text = fmt.Sprintf("was sent again %v after it may have run at %s; its cell remembers for %v",
						a.First.Sub(earlier.First).Round(time.Millisecond), earlier.Backend, class.Window)
					j.recordUnlessLate(RuleEffect, e, earlier.First.Add(class.Window), a.First)
				default:
					continue
				}
				break // at most one violation per attempt
			}
		}
		j.checkRefusal(t, class, list)
	}
	c.RanTwice = j.ranTwice()
}

// checkRefusal checks that a gateway refuses a request, which permits a retry, only if no attempt of its own may have run.
func (j *judge) checkRefusal(t *Try, class *Class, list []*Attempt) {
	if t.Outcome != Refused {
		return
	}
	for _, a := range list {
		if a.Gateway == t.Gateway && !a.First.After(t.Over) && mayHaveRun(a, t.Over) {
			j.recordViolation(RuleEffect, Evidence{At: j.sinceStart(t.Over), Request: t.ID, Gateway: t.Gateway, Backend: a.Backend,
				Text: fmt.Sprintf("a %s request was refused (%d) though it may have run at %s", class.Effect, t.Status, a.Backend)})
			return
		}
	}
}

// ranTwice returns the number of keys whose work ran more than once, whether through attempts of gateways or retries of
// clients.
func (j *judge) ranTwice() int {
	ran := map[string]int{}
	n := 0
	for i := range j.log.Attempts {
		a := &j.log.Attempts[i]
		if !a.Ran || a.Key == "" {
			continue
		}
		if ran[a.Key]++; ran[a.Key] == 2 {
			n++
		}
	}
	return n
}
