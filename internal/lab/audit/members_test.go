package audit

import (
	"fmt"
	"testing"
	"time"

	"elderyard/members"
)

// clean is a record that breaks nothing: three gateways, one killed and started
// again, one cut off and healed, pictures each tenth of a second.
type clean struct {
	log MembersLog
	at  time.Time
}

var memberBounds = MemberRules{FailWithin: 5 * time.Second, AgreeWithin: 8 * time.Second}

func (c *clean) happen(what EventKind, name string) {
	c.at = c.at.Add(time.Millisecond)
	c.log.Events = append(c.log.Events, Event{At: c.at, What: what, Name: name})
}

// pass records pictures of those that run for a while.
func (c *clean) pass(d time.Duration, there map[string]members.Incarnation, change func(*Picture)) {
	for end := c.at.Add(d); c.at.Before(end); {
		c.at = c.at.Add(100 * time.Millisecond)
		for name, life := range there {
			p := Picture{At: c.at, Name: name, Incarnation: life, Verdict: "whole", Epoch: 1, Safe: 3, Share: 3, MayExercise: true, Alive: map[string]members.Incarnation{}}
			for other, l := range there {
				p.Alive[other] = l
			}
			if change != nil {
				change(&p)
			}
			c.log.Pictures = append(c.log.Pictures, p)
		}
	}
}

func record(spoil func(c *clean, step int)) MembersLog {
	c := &clean{at: time.Unix(1e9, 0)}
	all := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 12}
	for _, name := range []string{"g0", "g1", "g2"} {
		c.happen(Started, name)
	}
	c.pass(2*time.Second, all, nil)
	c.happen(Ended, "g2")
	two := map[string]members.Incarnation{"g0": 10, "g1": 11}
	c.pass(2*time.Second, two, func(p *Picture) { p.Alive["g2"] = 12 }) // not given up yet
	spoil(c, 0)
	c.pass(6*time.Second, two, nil)
	spoil(c, 1)
	c.happen(Started, "g2")
	again := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
	c.pass(3*time.Second, again, nil)
	spoil(c, 2)
	c.happen(Troubled, "peers-cut")
	c.pass(3*time.Second, again, func(p *Picture) {
		if p.Name == "g2" {
			p.Alive, p.MayExercise = map[string]members.Incarnation{"g2": 20}, false
		}
	})
	c.happen(Healed, "peers-cut")
	c.pass(9*time.Second, again, nil)
	spoil(c, 3)
	return c.log
}

func TestCleanPicturesAreKept(t *testing.T) {
	v := JudgeMembers(memberBounds, record(func(*clean, int) {}))
	if v.Broken() != 0 {
		t.Errorf("%+v", v.Findings)
	}
	for _, rule := range []string{RuleFailed, RuleAgree, RuleTwoMay, RuleSafe, RuleEpoch} {
		if v.Judged[rule] == 0 {
			t.Errorf("there was nothing to rule on: %s", rule)
		}
	}
	if v.False != 0 {
		t.Errorf("%d false failures of gateways that were killed or cut off", v.False)
	}
}

// Each flaw breaks its own rule and no other.
func TestEachFlawOfPicturesIsCaught(t *testing.T) {
	two, three := map[string]members.Incarnation{"g0": 10, "g1": 11}, map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
	for _, c := range []struct {
		rule string
		step int
		flaw func(*clean)
	}{
		{RuleFailed, 1, func(c *clean) { c.pass(time.Second, two, func(p *Picture) { p.Alive["g2"] = 12 }) }},
		{RuleAgree, 3, func(c *clean) {
			c.pass(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					delete(p.Alive, "g2")
				}
			})
		}},
		{RuleAgree, 3, func(c *clean) {
			c.pass(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					p.Epoch = 2
				}
			})
		}},
		{RuleTwoMay, 2, func(c *clean) {
			c.pass(time.Second, map[string]members.Incarnation{"g2": 12}, func(p *Picture) { p.Alive = map[string]members.Incarnation{"g0": 1, "g1": 1, "g2": 1} })
		}},
		{RuleSafe, 2, func(c *clean) {
			c.pass(time.Second, three, func(p *Picture) { p.Safe = 2 })
		}},
		{RuleEpoch, 0, func(c *clean) {
			c.pass(200*time.Millisecond, two, func(p *Picture) { p.Epoch = 2; p.Alive["g2"] = 12 })
			c.pass(200*time.Millisecond, two, func(p *Picture) { p.Alive["g2"] = 12 })
		}},
		{RuleRecorded, 0, func(c *clean) { c.log.Lost++ }},
	} {
		v := JudgeMembers(memberBounds, record(func(l *clean, step int) {
			if step == c.step {
				c.flaw(l)
			}
		}))
		for _, f := range v.Findings {
			if (f.Broken > 0) != (f.Rule == c.rule) {
				t.Errorf("flaw of %q: %q is broken %d times: %+v", c.rule, f.Rule, f.Broken, f.Evidence)
			}
		}
	}
}

func TestFalseFailuresAreCounted(t *testing.T) {
	v := JudgeMembers(memberBounds, record(func(c *clean, step int) {
		if step == 3 {
			c.at = c.at.Add(time.Minute) // the last trouble is long over
			three := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
			c.pass(time.Second, three, nil)
			c.pass(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					delete(p.Alive, "g1")
				}
			})
			c.pass(time.Second, three, nil)
		}
	}))
	if v.False != 1 {
		t.Errorf("%d false failures, want 1", v.False)
	}
}

func TestSpread(t *testing.T) {
	least, middle, most := Spread([]time.Duration{3, 1, 2})
	if got := fmt.Sprint(int(least), int(middle), int(most)); got != "1 2 3" {
		t.Errorf("%s", got)
	}
}
