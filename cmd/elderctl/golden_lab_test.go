package main

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
)

// What the lab's verbs print of a run, and write with --json.
func TestGoldenLabReports(t *testing.T) {
	var b strings.Builder
	var verdict audit.Verdict
	fillAll(reflect.ValueOf(&verdict).Elem(), new(int))
	verdict.Counts.Outcomes = map[audit.Outcome]int{audit.Served: 3, audit.Refused: 4, audit.Failed: 5, audit.NoAnswer: 6, audit.Closed: 7, audit.NotTaken: 8, audit.Unfinished: 9}
	var r labReport
	fillAll(reflect.ValueOf(&r).Elem(), new(int))
	r.Verdict = verdict
	var result lab.Result
	fillAll(reflect.ValueOf(&result).Elem(), new(int))
	for _, v := range []any{r, result} {
		if err := writeJSON(&b, "-", v); err != nil {
			t.Fatal(err)
		}
	}
	printVerdict(&b, &verdict, r.Cost)
	kept := audit.Verdict{Findings: []audit.Finding{{Rule: audit.RuleQuota}, {Rule: audit.RuleDrain, Void: 2}}, Counts: audit.Counts{Outcomes: map[audit.Outcome]int{}}}
	printVerdict(&b, &kept, lab.Cost{})
	printRatios(&b, &result)
	shot := lab.Snapshot{At: 2 * time.Second, Of: 10 * time.Second, Classes: []string{"lookup", "booking"}, Plans: []string{"basic"}, Faults: []string{"node-kill n0"}, Late: 3,
		Progress: load.Progress{First: 10, Done: 9, Served: 5, Refused: 2, Failed: 1, Unhandled: 1, Retries: 4, Takes: 6, Granted: 5, ByClass: [][2]int{{6, 3}, {0, 0}}, ByPlan: [][2]int{{10, 5}}},
		Gateways: []lab.GatewayShot{{Name: "g0", State: "ready", PeakMB: 31.5, Files: 12, CPU: 1500 * time.Millisecond, Taken: 10}},
		Nodes:    []lab.NodeShot{{Name: "n0", Down: true}, {Name: "n1", Held: 3, Waiting: 1}}}
	v := newLabView(&b, "quiet", "nothing happens")
	v.show(shot)
	shot.Faults, shot.Progress.Takes = nil, 0
	v.show(shot)
	b.WriteString(v.draw(shot))
	golden.Text(t, "lab.txt", b.String())
}

// fillAll sets every field below a value: numbers count up, and a text is its field's number.
func fillAll(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillAll(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillAll(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillAll(v.Index(0), n)
		fillAll(v.Index(1), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillAll(key, n)
		fillAll(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(int64(*n) * int64(time.Millisecond))
		}
	default:
		panic("a field of type " + v.Type().String()) // give it a value here
	}
}
