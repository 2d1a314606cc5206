package audit

import (
	"fmt"
	"time"
)

// takes holds those who answer limit commands to their word: an answer in time and
// no error, no more than was asked for, and under one token one answer.
func (j *judge) takes(c *Counts) {
	type token struct {
		front, id string
		customer  uint64
	}
	had := map[token]*Take{}
	for i := range j.log.Takes {
		t := &j.log.Takes[i]
		c.Takes++
		if t.Outcome == Served && !t.Gives && !t.Repeated {
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
		if overlap(j.log.Excused, t.Front, from, t.Over) != nil {
			c.Excused++
			continue
		}
		e := Evidence{At: j.at(t.Sent), Gateway: t.Front}
		due := t.Sent.Add(t.Left + j.rules.Slack)
		switch {
		case t.Outcome == NoAnswer:
			e.Text = fmt.Sprintf("a limit command had no answer within %v", t.Left)
			j.overdue(RuleTakes, e, t.Sent, t.Left, t.Over)
		case t.Outcome == Closed && t.Pooled:
			c.Unanswered++
		case t.Outcome == Closed:
			e.Text = fmt.Sprintf("the connection ended without a reply after %v", t.Over.Sub(t.Sent).Round(time.Millisecond))
			j.certain(RuleTakes, e)
		case t.Outcome == Failed:
			e.Text = "a limit command was answered with an error: " + t.Error
			j.certain(RuleTakes, e)
		case t.Over.After(due):
			e.Text = fmt.Sprintf("a limit command was answered after %v, with %v to answer in", t.Over.Sub(t.Sent).Round(time.Millisecond), t.Left)
			j.overdue(RuleTakes, e, t.Sent, t.Left, t.Over)
		}
		if t.Granted > t.Asked || !t.Part && !t.Gives && t.Granted > 0 && t.Granted < t.Asked {
			e.Text = fmt.Sprintf("%g units were granted where %g were asked for", t.Granted, t.Asked)
			j.certain(RuleTakes, e)
		}
		if t.Token == "" || t.Gives || t.Outcome != Served {
			continue
		}
		k := token{t.Front, t.Token, t.Customer}
		first := had[k]
		if first == nil {
			had[k] = t
			continue
		}
		if overlap(j.log.Excused, t.Front, first.Sent, t.Over) == nil && (!t.Repeated || t.Granted != first.Granted) {
			e.Text = fmt.Sprintf("a take that was repeated under its token got %g units, at first %g", t.Granted, first.Granted)
			j.certain(RuleTakes, e)
		}
	}
}
