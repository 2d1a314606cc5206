package audit

import (
	"math"
	"strings"
	"testing"
	"time"
)

// withTakes returns a run without violations that has limit commands: a take under a token, its repeat, a return of
// units, a refused take and a partial grant.
func withTakes() Log {
	l := compliantLog()
	take := func(at int, change func(*Take)) {
		t := Take{First: 10 + len(l.Takes), Front: "a0", Customer: 7, Asked: 1, Arrived: ms(at), Sent: ms(at), Left: 200 * time.Millisecond,
			Over: ms(at + 10), Outcome: Served, Granted: 1}
		change(&t)
		l.Takes = append(l.Takes, t)
	}
	take(4000, func(t *Take) { t.Token = "t" })
	take(4100, func(t *Take) { t.Token, t.Repeated, t.Number = "t", true, 1 })
	take(4200, func(t *Take) { t.Token, t.Returns, t.Number = "t", true, 1 })
	take(4300, func(t *Take) { t.Outcome, t.Granted = Refused, 0 })
	take(4400, func(t *Take) { t.Asked, t.Granted, t.Part = 3, 2, true })
	return l
}

func TestCompliantTakes(t *testing.T) {
	v := Judge(testRules(), withTakes())
	if v.State() != "kept" || v.Counts.Takes != 5 || v.Counts.Granted != 3 || v.Service != 1 {
		t.Fatalf("%s %+v %v", v.State(), v.Findings, v.Counts)
	}
}

func TestTakeViolations(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Log)
		want   string
	}{
		"no answer":                    {func(l *Log) { l.Takes[3].Outcome, l.Takes[3].Over = NoAnswer, ms(5000) }, "no answer within 200ms"},
		"late reply":                   {func(l *Log) { l.Takes[3].Over = ms(4600) }, "after 300ms"},
		"connection closed":            {func(l *Log) { l.Takes[3].Outcome = Closed }, "without a reply"},
		"error reply":                  {func(l *Log) { l.Takes[3].Outcome, l.Takes[3].Error = Failed, "ERR what" }, "ERR what"},
		"granted more than asked":      {func(l *Log) { l.Takes[4].Granted = 4 }, "4 units were granted"},
		"partial grant not allowed":    {func(l *Log) { l.Takes[4].Part = false }, "2 units were granted"},
		"token counted twice":          {func(l *Log) { l.Takes[1].Repeated = false }, "under its token"},
		"repeat reports another grant": {func(l *Log) { l.Takes[0].Asked, l.Takes[0].Granted, l.Takes[0].Part = 2, 2, true }, "at first 2"},
	} {
		t.Run(name, func(t *testing.T) {
			l := withTakes()
			test.change(&l)
			v := Judge(testRules(), l)
			f := v.Finding(RuleTakes)
			if f.Broken != 1 || !strings.Contains(f.Evidence[0].Text, test.want) || v.Broken() != 1 {
				t.Fatalf("%+v", v.Findings)
			}
			l.Excused = []Window{{Gateway: "a0", From: ms(0), To: ms(20000)}}
			l.Takes = l.Takes[3:4]
			if v := Judge(testRules(), l); v.Broken() != 0 {
				t.Errorf("violations reported for a gateway that was killed: %+v", v.Findings)
			}
		})
	}
	l := withTakes()
	l.Takes[3].Outcome, l.Takes[3].Pooled = Closed, true // the command raced with the close of an idle connection
	if v := Judge(testRules(), l); v.Broken() != 0 {
		t.Errorf("%+v", v.Findings)
	}
}

// Guards against miscounting the use of an account: granted units count like those of requests, returned units are
// subtracted, and a repeat under a token counts once, whichever of its answers was read.
func TestTakesCountTowardQuota(t *testing.T) {
	worst := func(change func(*Log)) float64 {
		l := Log{From: start, To: ms(20000)}
		for i := range 6 { // the burst is 4
			l.Takes = append(l.Takes, Take{First: i, Front: "a0", Customer: 7, Asked: 1, Granted: 1, Outcome: Served, Left: time.Second, Sent: ms(1000), Over: ms(1000)})
		}
		change(&l)
		v := Judge(testRules(), l)
		return math.Round(v.Worst.Units*1000) / 1000
	}
	if got := worst(func(*Log) {}); got != 2 {
		t.Errorf("six takes at once of a burst of four are %g over", got)
	}
	if got := worst(func(l *Log) {
		for i := range 2 {
			l.Takes[i].Token, l.Takes[i].Repeated = "x", true
		}
	}); got != 1 {
		t.Errorf("with two of them repeats of one: %g over", got)
	}
	if got := worst(func(l *Log) {
		l.Takes = append(l.Takes[:5:5], Take{First: 5, Front: "a0", Customer: 7, Asked: 2, Granted: 2, Returns: true, Outcome: Served, Left: time.Second, Sent: ms(999), Over: ms(1000)},
			l.Takes[5])
	}); got != 2 {
		t.Errorf("with two units back into a full store: %g over", got)
	}
	if got := worst(func(l *Log) {
		l.Takes = append(l.Takes[:4:4], Take{First: 5, Front: "a0", Customer: 7, Asked: 2, Granted: 2, Returns: true, Outcome: Served, Left: time.Second, Sent: ms(1000), Over: ms(1001)},
			l.Takes[4], l.Takes[5])
	}); got != 0 {
		t.Errorf("with two units back: %g over", got)
	}
}
