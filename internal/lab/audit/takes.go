package audit

import (
	"fmt"
	"time"
)

// checkLimitCommands checks the answers to limit commands: in time and without an error, no more units than
// requested, and the same answer for each repeat under one token.
func (j *judge) checkLimitCommands(c *Counts) {
	type tokenKey struct {
		front, id string
		customer  uint64
	}
	firstByToken := map[tokenKey]*Take{}
	for i := range j.log.Takes {
		t := &j.log.Takes[i]
		c.Takes++
		if t.Outcome == Served && !t.Returns && !t.Repeated {
			c.Granted += t.Granted
		}
		if t.Local && t.Outcome == Served {
			c.Local++
		}
		if t.Outcome == Unfinished || t.Outcome == NotTaken {
			continue
		}
		from := t.Sent
		if from.IsZero() {
			from = t.Over
		}
		if overlappingWindow(j.log.Excused, t.Front, from, t.Over) != nil {
			c.Excused++
			continue
		}
		evidence := Evidence{At: j.sinceStart(t.Sent), Gateway: t.Front}
		due := t.Sent.Add(t.Left + j.rules.Slack)
		switch {
		case t.Outcome == NoAnswer:
			evidence.Text = fmt.Sprintf("a limit command had no answer within %v", t.Left)
			j.recordOverdue(RuleTakes, evidence, t.Sent, t.Left, t.Over)
		case t.Outcome == Closed && t.Pooled:
			c.Unanswered++
		case t.Outcome == Closed:
			evidence.Text = fmt.Sprintf("the connection ended without a reply after %v", t.Over.Sub(t.Sent).Round(time.Millisecond))
			j.recordViolation(RuleTakes, evidence)
		case t.Outcome == Failed:
			evidence.Text = "a limit command was answered with an error: " + t.Error
			j.recordViolation(RuleTakes, evidence)
		case t.Over.After(due):
			evidence.Text = fmt.Sprintf("a limit command was answered after %v, with %v to answer in", t.Over.Sub(t.Sent).Round(time.Millisecond), t.Left)
			j.recordOverdue(RuleTakes, evidence, t.Sent, t.Left, t.Over)
		}
		if t.Granted > t.Asked || !t.Part && !t.Returns && t.Granted > 0 && t.Granted < t.Asked {
			evidence.Text = fmt.Sprintf("%g units were granted where %g were asked for", t.Granted, t.Asked)
			j.recordViolation(RuleTakes, evidence)
		}
		if t.Token == "" || t.Returns || t.Outcome != Served {
			continue
		}
		key := tokenKey{t.Front, t.Token, t.Customer}
		first := firstByToken[key]
		if first == nil {
			firstByToken[key] = t
			continue
		}
		if overlappingWindow(j.log.Excused, t.Front, first.Sent, t.Over) == nil && (!t.Repeated || t.Granted != first.Granted) {
			evidence.Text = fmt.Sprintf("a take that was repeated under its token got %g units, at first %g", t.Granted, first.Granted)
			j.recordViolation(RuleTakes, evidence)
		}
	}
}
