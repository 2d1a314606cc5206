package audit

import (
	"fmt"
	"testing"
	"time"

	"elderyard/members"
)

// membersLogBuilder builds a log of three gateways with a picture of each every 100 ms.
type membersLogBuilder struct {
	log MembersLog
	at  time.Time
}

var memberBounds = MemberRules{FailWithin: 5 * time.Second, AgreeWithin: 8 * time.Second}

func (b *membersLogBuilder) recordEvent(what EventKind, name string) {
	b.at = b.at.Add(time.Millisecond)
	b.log.Events = append(b.log.Events, Event{At: b.at, What: what, Name: name})
}

// recordPictures advances the time by d and records pictures of the running gateways, each modified by change.
func (b *membersLogBuilder) recordPictures(d time.Duration, running map[string]members.Incarnation, change func(*Picture)) {
	for end := b.at.Add(d); b.at.Before(end); {
		b.at = b.at.Add(100 * time.Millisecond)
		for name, incarnation := range running {
			p := Picture{At: b.at, Name: name, Incarnation: incarnation, Verdict: "whole", Epoch: 1, Safe: 3, Share: 3, MayExercise: true, Alive: map[string]members.Incarnation{}}
			for other, incarnation := range running {
				p.Alive[other] = incarnation
			}
			if change != nil {
				change(&p)
			}
			b.log.Pictures = append(b.log.Pictures, p)
		}
	}
}

// buildMembersLog returns a log without violations, apart from those that inject adds at steps 0 to 3: one gateway is
// killed and restarted, then cut off and reconnected.
func buildMembersLog(inject func(b *membersLogBuilder, step int)) MembersLog {
	b := &membersLogBuilder{at: time.Unix(1e9, 0)}
	all := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 12}
	for _, name := range []string{"g0", "g1", "g2"} {
		b.recordEvent(Started, name)
	}
	b.recordPictures(2*time.Second, all, nil)
	b.recordEvent(Ended, "g2")
	two := map[string]members.Incarnation{"g0": 10, "g1": 11}
	b.recordPictures(2*time.Second, two, func(p *Picture) { p.Alive["g2"] = 12 }) // not yet declared failed
	inject(b, 0)
	b.recordPictures(6*time.Second, two, nil)
	inject(b, 1)
	b.recordEvent(Started, "g2")
	restarted := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
	b.recordPictures(3*time.Second, restarted, nil)
	inject(b, 2)
	b.recordEvent(Troubled, "peers-cut")
	b.recordPictures(3*time.Second, restarted, func(p *Picture) {
		if p.Name == "g2" {
			p.Alive, p.MayExercise = map[string]members.Incarnation{"g2": 20}, false
		}
	})
	b.recordEvent(Healed, "peers-cut")
	b.recordPictures(9*time.Second, restarted, nil)
	inject(b, 3)
	return b.log
}

func TestCompliantMembersLog(t *testing.T) {
	v := JudgeMembers(memberBounds, buildMembersLog(func(*membersLogBuilder, int) {}))
	if v.Broken() != 0 {
		t.Errorf("%+v", v.Findings)
	}
	for _, rule := range []string{RuleFailed, RuleAgree, RuleTwoMay, RuleSafe, RuleEpoch} {
		if v.Judged[rule] == 0 {
			t.Errorf("rule %q was never checked", rule)
		}
	}
	if v.False != 0 {
		t.Errorf("%d false failures, want 0: only killed or cut-off gateways were declared failed", v.False)
	}
}

// Each injected fault must violate its own rule and no other.
func TestEachMembersRuleViolation(t *testing.T) {
	two, three := map[string]members.Incarnation{"g0": 10, "g1": 11}, map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
	for _, test := range []struct {
		rule  string
		step  int
		fault func(*membersLogBuilder)
	}{
		{RuleFailed, 1, func(b *membersLogBuilder) {
			b.recordPictures(time.Second, two, func(p *Picture) { p.Alive["g2"] = 12 })
		}},
		{RuleAgree, 3, func(b *membersLogBuilder) {
			b.recordPictures(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					delete(p.Alive, "g2")
				}
			})
		}},
		{RuleAgree, 3, func(b *membersLogBuilder) {
			b.recordPictures(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					p.Epoch = 2
				}
			})
		}},
		{RuleTwoMay, 2, func(b *membersLogBuilder) {
			b.recordPictures(time.Second, map[string]members.Incarnation{"g2": 12}, func(p *Picture) { p.Alive = map[string]members.Incarnation{"g0": 1, "g1": 1, "g2": 1} })
		}},
		{RuleSafe, 2, func(b *membersLogBuilder) {
			b.recordPictures(time.Second, three, func(p *Picture) { p.Safe = 2 })
		}},
		{RuleEpoch, 0, func(b *membersLogBuilder) {
			b.recordPictures(200*time.Millisecond, two, func(p *Picture) { p.Epoch = 2; p.Alive["g2"] = 12 })
			b.recordPictures(200*time.Millisecond, two, func(p *Picture) { p.Alive["g2"] = 12 })
		}},
		{RuleRecorded, 0, func(b *membersLogBuilder) { b.log.Lost++ }},
	} {
		v := JudgeMembers(memberBounds, buildMembersLog(func(b *membersLogBuilder, step int) {
			if step == test.step {
				test.fault(b)
			}
		}))
		for _, f := range v.Findings {
			if (f.Broken > 0) != (f.Rule == test.rule) {
				t.Errorf("fault for rule %q: rule %q has %d violations: %+v", test.rule, f.Rule, f.Broken, f.Evidence)
			}
		}
	}
}

func TestFalseFailureCount(t *testing.T) {
	v := JudgeMembers(memberBounds, buildMembersLog(func(b *membersLogBuilder, step int) {
		if step == 3 {
			b.at = b.at.Add(time.Minute) // long after the last fault has ended
			three := map[string]members.Incarnation{"g0": 10, "g1": 11, "g2": 20}
			b.recordPictures(time.Second, three, nil)
			b.recordPictures(time.Second, three, func(p *Picture) {
				if p.Name == "g0" {
					delete(p.Alive, "g1")
				}
			})
			b.recordPictures(time.Second, three, nil)
		}
	}))
	if v.False != 1 {
		t.Errorf("%d false failures, want 1", v.False)
	}
}

func TestSpread(t *testing.T) {
	minimum, median, maximum := Spread([]time.Duration{3, 1, 2})
	if got := fmt.Sprint(int(minimum), int(median), int(maximum)); got != "1 2 3" {
		t.Errorf("minimum, median, maximum: %s, want 1 2 3", got)
	}
}
