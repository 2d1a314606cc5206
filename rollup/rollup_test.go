package rollup

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Intervals without counts are not emitted, and a clock that steps back does not start a new interval.
func TestAggregatorEmitsFinishedIntervals(t *testing.T) {
	var got []Line
	aggregator := NewAggregator(100*time.Millisecond, func(at float64, counts Counts) { got = append(got, Line{At: at, Counts: counts}) })
	aggregator.Current(1000.02).Attempts++
	aggregator.Current(1000.09).Attempts++
	aggregator.Current(999.5).CounterCalls++ // the clock steps back
	aggregator.Current(1000.75)              // no counts
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

// Totals show dials of all gateways in the same interval, calls of one gateway only and the spread of a change.
func TestTotals(t *testing.T) {
	var lines []Line
	for g := range 10 {
		name := string(rune('a' + g))
		for i := range 20 {
			lines = append(lines, Line{At: 100 + float64(i)/2, Gateway: name, Counts: Counts{Attempts: 1}})
		}
		lines = append(lines, Line{At: 104, Gateway: name, Counts: Counts{Dials: 3}}, // in the same interval
			Line{At: 101 + float64(g)/2, Gateway: name, Counts: Counts{BackendChanges: 1}})
	}
	lines = append(lines, Line{At: 100, Gateway: "a", Counts: Counts{CounterCalls: 10}}) // on one gateway
	s, err := Sum(lines, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	totals := map[string]Total{}
	for _, total := range s.Totals {
		totals[total.Counter] = total
	}
	if s.Gateways != 10 || s.Seconds != 10 || len(s.Intervals) != 20 || totals["sends"].Sum != 200 || totals["sends"].Dispersion != 0 || totals["sends"].PeakToMean != 1 {
		t.Errorf("%+v", s)
	}
	if total := totals["connects"]; total.Peak != 30 || total.PeakAt != 4 || total.Dispersion < 20 {
		t.Errorf("dials in the same interval: %+v", total)
	}
	if total := totals["calls"]; total.PeakToMean != 10 {
		t.Errorf("calls of one gateway: %+v", total)
	}
	if total := totals["changes"]; total.SpreadTime != 4 {
		t.Errorf("a change that 90 %% of the gateways see within 4 s: %+v", total)
	}
	if total := totals["failed"]; total != (Total{Counter: "failed"}) {
		t.Errorf("no counts: %+v", total)
	}
	if s, err := Sum(nil, 1); err != nil || s.Gateways != 0 {
		t.Errorf("%v %+v", err, s)
	}
	if _, err := Sum([]Line{{At: 0}, {At: 1.8e9}}, 0.1); err == nil {
		t.Error("a line without a time was accepted")
	}
}

// For any interval and order of lines, the totals equal the sums of all lines.
func TestSumIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lines []Line
		sends, units := 0, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "lines") {
			counts := Counts{Attempts: rapid.IntRange(0, 5).Draw(t, "sends"), Units: float64(rapid.IntRange(-3, 9).Draw(t, "units"))}
			sends, units = sends+counts.Attempts, units+counts.Units
			lines = append(lines, Line{At: rapid.Float64Range(1e9, 1e9+50).Draw(t, "at"), Gateway: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "gateway"), Counts: counts})
		}
		s, err := Sum(lines, rapid.SampledFrom([]float64{0.1, 0.5, 3, 100}).Draw(t, "interval"))
		if err != nil || s.Totals[1].Sum != float64(sends) || s.Totals[4].Sum != units {
			t.Fatalf("%v sends, %v units: %+v", sends, units, s.Totals)
		}
	})
}
