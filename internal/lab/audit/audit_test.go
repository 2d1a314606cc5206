package audit

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// ms returns the time n milliseconds after the start of the run.
func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// testRules returns rules with one class per effect, a plan with a quota and a plan with a hard ceiling.
func testRules() Rules {
	return Rules{
		Classes: []Class{{Name: "lookup", Effect: Safe, Aim: 800 * time.Millisecond, Worth: 1},
			{Name: "booking", Effect: Keyed, Window: 2 * time.Second, Aim: time.Second, Worth: 3},
			{Name: "payment", Effect: Once, Aim: time.Second, Worth: 3}},
		Plans:      []Plan{{Name: "basic", Rate: 1, Burst: 4, Price: 1}, {Name: "hard", CeilingRate: 1, CeilingBurst: 2, CeilingSlack: 1, Price: 1}},
		Slack:      50 * time.Millisecond,
		DrainGrace: 2 * time.Second, Overshoot: 5, SpareUnits: 1, BadOwed: 3 * time.Second, MemoryMB: 100, Files: 500}
}

// compliantLog returns a run without violations: one request of each class, each forwarded once.
func compliantLog() Log {
	l := Log{From: start, To: ms(20000)}
	for class := range 3 {
		id := string(rune('a' + class))
		at := 1000 * (class + 1)
		l.Tries = append(l.Tries, Try{ID: id, First: class, Customer: 7, Class: class, Units: 1, Key: "k" + id, Gateway: "g0",
			Arrived: ms(at), Sent: ms(at), Left: time.Second, Over: ms(at + 200), Outcome: Served, Status: 200, Sum: 9})
		l.Attempts = append(l.Attempts, Attempt{Backend: "n0", Cell: 1, Gateway: "g0", ID: id, Key: "k" + id, First: ms(at + 5),
			Whole: ms(at + 5), Over: ms(at + 195), Ran: true, Sum: 9})
	}
	l.Processes = []Process{{Gateway: "g0", PeakMB: 20, Files: 40, CPU: 300 * time.Microsecond, Requests: 3}}
	return l
}

func TestCompliantRun(t *testing.T) {
	v := Judge(testRules(), compliantLog())
	if v.State() != "kept" || v.Service != 1 || v.Counts.CPUEach != 100*time.Microsecond || v.Counts.First != 3 {
		t.Fatalf("%s %+v", v.State(), v)
	}
}

// Each case changes the compliant run so that it violates exactly one rule; no other rule may report a violation.
func TestEachRuleViolation(t *testing.T) {
	repeat := func(l *Log, index, at int, cell int) *Attempt {
		a := l.Attempts[index]
		a.First, a.Whole, a.Over, a.Cell, a.Backend = ms(at), ms(at), ms(at+100), cell, "n1"
		l.Attempts = append(l.Attempts, a)
		return &l.Attempts[len(l.Attempts)-1]
	}
	for name, test := range map[string]struct {
		rule   string
		change func(*Log)
		want   string
	}{
		"late answer":      {RuleAnswer, func(l *Log) { l.Tries[0].Over = ms(2051) }, "to answer in"},
		"no answer":        {RuleAnswer, func(l *Log) { l.Tries[0].Outcome, l.Tries[0].Over = NoAnswer, ms(2400) }, "no answer within 1s"},
		"truncated answer": {RuleAnswer, func(l *Log) { l.Tries[0].Outcome = Closed }, "without a whole answer"},
		"pooled connection closed after forwarding": {RuleAnswer, func(l *Log) { l.Tries[0].Outcome, l.Tries[0].Pooled = Closed, true }, "without a whole answer"},
		"answer of no backend":                      {RuleAnswer, func(l *Log) { l.Tries[0].Sum = 8 }, "no backend made"},
		"second answer":                             {RuleAnswer, func(l *Log) { l.Tries[0].Extra = true }, "second answer"},
		"attempt after the final answer":            {RuleAnswer, func(l *Log) { repeat(l, 0, 1300, 1) }, "after its final answer"},
		"once class run twice":                      {RuleEffect, func(l *Log) { repeat(l, 2, 3100, 1) }, "may run but once"},
		"repeat in another cell":                    {RuleEffect, func(l *Log) { repeat(l, 1, 2100, 2) }, "to cell 2"},
		"expired key":                               {RuleEffect, func(l *Log) { l.Tries[1].Over, l.Tries[1].Left = ms(4990), 3*time.Second; repeat(l, 1, 4100, 1) }, "remembers for 2s"},
		"refused after running":                     {RuleEffect, func(l *Log) { l.Tries[1].Outcome, l.Tries[1].Status = Refused, 503 }, "was refused (503)"},
		"draining backend": {RuleDrain, func(l *Log) {
			l.Notices = []Notice{{Gateway: "g0", Backend: "n0", At: ms(-1200)}}
			l.Attempts = l.Attempts[:1]
			l.Tries = l.Tries[:1]
		}, "drains or is gone"},
		"repeated drain notice": {RuleDrain, func(l *Log) {
			l.Notices = []Notice{{Gateway: "g0", Backend: "n0", At: ms(-1200)}, {Gateway: "g0", Backend: "n0", At: ms(900)}}
			l.Attempts = l.Attempts[:1]
			l.Tries = l.Tries[:1]
		}, "2.205s"},
		"cold backend overloaded": {RuleCold, func(l *Log) { l.Overloads = []Overload{{Backend: "n0", At: ms(5), Sent: 9, Could: 2}} }, "9.00 s of work"},
		"ceiling": {RuleCeiling, func(l *Log) {
			for i := range l.Tries {
				l.Tries[i].Plan, l.Tries[i].Units = 1, 2
			}
		}, "beyond its ceiling"},
		"quota": {RuleQuota, func(l *Log) {
			for i := range l.Tries {
				l.Tries[i].Units = 3.5
			}
		}, "beyond its quota"},
		"bad client served": {RuleBad, func(l *Log) {
			l.Tries = append(l.Tries, Try{ID: "x", Bad: "noise", Outcome: Served, Sent: ms(1), Over: ms(2)})
		}, "was served"},
		"bad client forwarded": {RuleBad, func(l *Log) { l.Tries[0].Bad, l.Tries[0].Outcome = "smuggled", Turned }, "passed on"},
		"bad client left open": {RuleBad, func(l *Log) {
			l.Tries = append(l.Tries, Try{ID: "x", Bad: "silent", Outcome: NoAnswer, Sent: ms(1), Over: ms(4000)})
		}, "neither an error"},
		"memory":      {RuleLimits, func(l *Log) { l.Processes[0].PeakMB = 101 }, "101.0 MB"},
		"descriptors": {RuleLimits, func(l *Log) { l.Processes[0].Files = 501 }, "501 descriptors"},
		"crash":       {RuleRunning, func(l *Log) { l.Processes[0].Died = "exit status 2" }, "exit status 2"},
	} {
		t.Run(name, func(t *testing.T) {
			l := compliantLog()
			test.change(&l)
			v := Judge(testRules(), l)
			if v.State() != "broken" || v.Broken() != 1 {
				t.Fatalf("%s: %+v", v.State(), v.Findings)
			}
			f := v.Finding(test.rule)
			if f.Broken != 1 || !strings.Contains(f.Evidence[0].Text, test.want) {
				t.Fatalf("%+v", f)
			}
		})
	}
}

// Guards against counting or pricing units over quota twice: they count once, at the cost of their plan. Of three
// requests of 3.5 units, the first finds a full bucket of 4 units, the others 1.5 and 2.5 units.
func TestUnitsBeyondQuota(t *testing.T) {
	r, l := testRules(), compliantLog()
	r.Plans[0].OverCost = 0.5
	for i := range l.Tries {
		l.Tries[i].Units = 3.5
	}
	want := []Beyond{{Plan: "basic", Units: 10.5, Beyond: 7, Cost: 0.5 * (3 + 3) / (7.0 / 3)}, {Plan: "hard"}}
	got := Judge(r, l).Beyond
	if len(got) != 2 || got[1] != want[1] || got[0].Beyond != 7 || got[0].Units != 10.5 || math.Abs(got[0].Cost-want[0].Cost) > 1e-9 {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against false positives: each case resembles a violation but complies with all rules.
func TestNoFalseViolations(t *testing.T) {
	for name, change := range map[string]func(*Log){
		"late within the slack": func(l *Log) { l.Tries[0].Over = ms(2049) },
		"killed gateway": func(l *Log) {
			l.Tries[0].Outcome = Closed
			l.Excused = []Window{{Gateway: "g0", From: ms(1100), To: ms(9000)}}
		},
		"race with an idle close": func(l *Log) { l.Tries[0].Outcome, l.Tries[0].Pooled, l.Attempts = Closed, true, l.Attempts[1:] },
		"request not fully sent":  func(l *Log) { l.Tries[0].Outcome, l.Attempts = NotTaken, l.Attempts[1:] },
		"retry after a backend rejected the attempt": func(l *Log) {
			l.Attempts[2].NotRan, l.Attempts[2].Ran, l.Attempts[2].Over = true, false, ms(3010)
			resend(l, 2, 3020, 2)
		},
		"refused after the backend rejected it": func(l *Log) { l.Attempts[1].NotRan, l.Tries[1].Outcome = true, Refused },
		"safe request repeated in another cell": func(l *Log) { resend(l, 0, 1100, 2) },
		"keyed request repeated in its cell":    func(l *Log) { resend(l, 1, 2100, 1) },
		"attempt by another gateway":            func(l *Log) { resend(l, 1, 2100, 2); l.Attempts[3].Gateway = "g1" },
		"attempt within the drain grace":        func(l *Log) { l.Notices = []Notice{{Gateway: "g0", Backend: "n0", At: ms(1000)}} },
		"drain notice to another gateway":       func(l *Log) { l.Notices = []Notice{{Gateway: "g1", Backend: "n0", At: ms(-9000)}} },
		"backend ready again before the send": func(l *Log) {
			l.Notices = []Notice{{Gateway: "g0", Backend: "n0", At: ms(-9000)}, {Gateway: "g0", Backend: "n0", Ready: true, At: ms(1)}}
		},
		"over quota within the overshoot": func(l *Log) { l.Tries[0].Units, l.Tries[1].Units, l.Tries[2].Units = 4, 1, 1.9 },
	} {
		t.Run(name, func(t *testing.T) {
			l := compliantLog()
			change(&l)
			if v := Judge(testRules(), l); v.State() != "kept" {
				t.Fatalf("%+v", v.Findings)
			}
		})
	}
}

// resend appends a copy of the attempt at index that backend n1 of cell receives at millisecond at.
func resend(l *Log, index, at, cell int) {
	a := l.Attempts[index]
	a.First, a.Whole, a.Over, a.Cell, a.Backend, a.NotRan = ms(at), ms(at), ms(at+100), cell, "n1", false
	l.Attempts = append(l.Attempts, a)
}

// Guards against blaming a gateway for a slow test machine: a time limit exceeded while the machine ran late makes the
// run void, not broken. Violations that depend on no time limit, or that occur while only another gateway runs late,
// still break the run.
func TestLatenessVoidsTimeLimits(t *testing.T) {
	for name, change := range map[string]func(*Log){
		"late answer":                    func(l *Log) { l.Tries[0].Over = ms(2300) },
		"no answer":                      func(l *Log) { l.Tries[0].Outcome, l.Tries[0].Over = NoAnswer, ms(2400) },
		"draining backend":               func(l *Log) { l.Notices = []Notice{{Gateway: "g0", Backend: "n0", At: ms(-1200)}} },
		"attempt after the final answer": func(l *Log) { resend(l, 0, 1900, 1) },
	} {
		l := compliantLog()
		change(&l)
		l.Late = []Window{{From: ms(800), To: ms(4000), What: "the lab's clock stalled"}}
		if v := Judge(testRules(), l); v.State() != "void" || v.Broken() != 0 {
			t.Errorf("%s: %s %+v", name, v.State(), v.Findings)
		}
		l.Late[0].Gateway = "g9" // the lateness of another gateway is no excuse
		if v := Judge(testRules(), l); v.State() != "broken" {
			t.Errorf("%s with another gateway running late: state %s, want broken", name, v.State())
		}
	}
	// The gateway received the request late: its answer may be late by the same time and no more.
	for late, want := range map[time.Duration]string{100 * time.Millisecond: "broken", 300 * time.Millisecond: "void"} {
		l := compliantLog()
		try := &l.Tries[0]
		try.Over = try.Sent.Add(try.Left + testRules().Slack + 200*time.Millisecond)
		l.Late = []Window{{Gateway: "g0", From: try.Sent, To: try.Sent.Add(50 * time.Millisecond), By: late}}
		if v := Judge(testRules(), l); v.State() != want {
			t.Errorf("received %v late and answered 200ms late: state %s, want %s", late, v.State(), want)
		}
		l.Late[0].From, l.Late[0].To = try.Sent.Add(-time.Second), try.Sent.Add(-time.Millisecond)
		if v := Judge(testRules(), l); v.State() != "broken" {
			t.Errorf("the machine ran late only before the request was sent: state %s, want broken", v.State())
		}
	}
	l := compliantLog()
	l.Tries[1].Outcome = Refused
	l.Late = []Window{{From: ms(0), To: ms(9000)}}
	if v := Judge(testRules(), l); v.State() != "broken" {
		t.Errorf("refused after running, which depends on no time limit: state %s, want broken", v.State())
	}
	l = compliantLog()
	l.Lost = 1
	if v := Judge(testRules(), l); v.State() != "void" {
		t.Errorf("with a lost record: state %s, want void", v.State())
	}
}

func TestWorstQuotaWindow(t *testing.T) {
	// Rate 1, burst 4: 6 units at once at 10 s exceed the quota by 2; 20 units spread over 20 s do not exceed it.
	l := Log{From: start, To: ms(60000)}
	add := func(at int, units float64) {
		id := string(rune('A' + len(l.Tries)))
		l.Tries = append(l.Tries, Try{ID: id, First: len(l.Tries), Customer: 5, Units: units, Gateway: "g0", Sent: ms(at), Arrived: ms(at),
			Left: time.Second, Over: ms(at + 9), Outcome: Served, Sum: 1})
		l.Attempts = append(l.Attempts, Attempt{Backend: "n0", Gateway: []string{"g0", "g1"}[len(l.Tries)%2], ID: id, First: ms(at), Whole: ms(at), Over: ms(at), Sum: 1})
	}
	for range 6 {
		add(10000, 1)
	}
	for i := range 20 {
		add(20000+1000*i, 1)
	}
	v := Judge(testRules(), l)
	if v.Worst.Units != 2 || v.Worst.Percent != 50 || v.Worst.Allowed != 4 || v.Worst.To != 10*time.Second || len(v.Over) != 1 {
		t.Fatalf("%+v", v.Worst)
	}
	if v.Service < 0.9 || v.Service > 1 {
		t.Fatalf("service %v", v.Service)
	}
}

func TestServiceCountsRetriesWithTheirFirstTry(t *testing.T) {
	l := compliantLog()
	l.Tries[0].Outcome, l.Tries[0].Status = Failed, 502
	retry := l.Tries[0]
	retry.ID, retry.Number, retry.Outcome, retry.Sent, retry.Over = "r", 1, Served, ms(1250), ms(1700)
	l.Tries = append(l.Tries, retry)
	a := l.Attempts[0]
	a.ID, a.First, a.Whole, a.Over = "r", ms(1260), ms(1260), ms(1690)
	l.Attempts = append(l.Attempts, a)
	if v := Judge(testRules(), l); v.Service != 1 || v.Counts.First != 3 || v.Counts.Tries != 4 {
		t.Fatalf("%v %+v", v.Service, v.Counts)
	}
	l.Tries[3].Over = ms(1801) // exceeds the latency target, measured from the first try
	if v := Judge(testRules(), l); v.Service >= 1 || v.Classes[0].Share() != 0 || v.Classes[1].Share() != 1 {
		t.Fatalf("%v %+v", v.Service, v.Classes)
	}
}

func TestNamesMatchFindings(t *testing.T) {
	v := Judge(testRules(), Log{From: start})
	var got []string
	for _, f := range v.Findings {
		got = append(got, f.Rule)
	}
	if !slices.Equal(got, Names()) {
		t.Fatal(got)
	}
}
