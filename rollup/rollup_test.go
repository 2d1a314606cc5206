package rollup

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAggregatorEmitsFinishedIntervals(t *testing.T) {
	var got []Line
	aggregator := NewAggregator(100*time.Millisecond, func(at float64, c Counts) { got = append(got, Line{At: at, Counts: c}) })
	aggregator.Current(1000.02).Attempts++
	aggregator.Current(1000.09).Attempts++
	aggregator.Current(999.5).CounterCalls++ // the clock steps back
	aggregator.Current(1000.75)              // nothing happens
	aggregator.Current(1000.81).Units += 2.5
	aggregator.Flush()
	aggregator.Flush()
	for i := range got {
		got[i].At = float64(int(got[i].At*10+0.5)) / 10
	}
	want := []Line{{At: 1000, Counts: Counts{Attempts: 2, CounterCalls: 1}}, {At: 1000.8, Counts: Counts{Units: 2.5}}}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
}

func TestTotals(t *testing.T) {
	var lines []Line
	for g := range 10 {
		name := string(rune('a' + g))
		for i := range 20 {
			lines = append(lines, Line{At: 100 + float64(i)/2, Gateway: name, Counts: Counts{Attempts: 1}})
		}
		lines = append(lines, Line{At: 104, Gateway: name, Counts: Counts{Dials: 3}}, // all at once
			Line{At: 101 + float64(g)/2, Gateway: name, Counts: Counts{BackendChanges: 1}})
	}
	lines = append(lines, Line{At: 100, Gateway: "a", Counts: Counts{CounterCalls: 10}}) // one alone
	s, err := Sum(lines, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	by := map[string]Total{}
	for _, k := range s.Totals {
		by[k.Counter] = k
	}
	if s.Gateways != 10 || s.Seconds != 10 || len(s.Intervals) != 20 || by["sends"].Sum != 200 || by["sends"].Dispersion != 0 || by["sends"].PeakToMean != 1 {
		t.Errorf("%+v", s)
	}
	if c := by["connects"]; c.Peak != 30 || c.PeakAt != 4 || c.Dispersion < 20 {
		t.Errorf("connects all at once: %+v", c)
	}
	if c := by["calls"]; c.PeakToMean != 10 {
		t.Errorf("calls of one: %+v", c)
	}
	if c := by["changes"]; c.SpreadTime != 4 {
		t.Errorf("nine of ten hear of a change 4 s after the first: %+v", c)
	}
	if c := by["failed"]; c != (Total{Counter: "failed"}) {
		t.Errorf("none: %+v", c)
	}
	if s, err := Sum(nil, 1); err != nil || s.Gateways != 0 {
		t.Errorf("%v %+v", err, s)
	}
	if _, err := Sum([]Line{{At: 0}, {At: 1.8e9}}, 0.1); err == nil {
		t.Error("a line without a time is taken")
	}
}

// Whatever the interval and the order of the lines, nothing is lost.
func TestSumLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lines []Line
		sends, units := 0, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "lines") {
			c := Counts{Attempts: rapid.IntRange(0, 5).Draw(t, "sends"), Units: float64(rapid.IntRange(-3, 9).Draw(t, "units"))}
			sends, units = sends+c.Attempts, units+c.Units
			lines = append(lines, Line{At: rapid.Float64Range(1e9, 1e9+50).Draw(t, "at"), Gateway: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "gateway"), Counts: c})
		}
		s, err := Sum(lines, rapid.SampledFrom([]float64{0.1, 0.5, 3, 100}).Draw(t, "every"))
		if err != nil || s.Totals[1].Sum != float64(sends) || s.Totals[4].Sum != units {
			t.Fatalf("%v sends, %v units: %+v", sends, units, s.Totals)
		}
	})
}
