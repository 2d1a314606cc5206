package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one measured quantity at several sizes, in the format that elderctl capacity reads.
type Series struct {
	Measure  string  `json:"measure"`
	Unit     string  `json:"unit"`
	Command  string  `json:"command"`
	Measured string  `json:"measured"` // date, such as 2026-12-02
	Beside   string  `json:"beside"`   // other load on the machine
	Trial    bool    `json:"trial"`
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`
}

// Results collects the measurements of one run. It is not safe for concurrent use.
type Results struct {
	Command  string
	Measured string
	Beside   string
	Trial    bool
	series   []Series
}

// Add appends a value to the series of a measured quantity.
func (r *Results) Add(measure, unit string, size, value float64) {
	i := slices.IndexFunc(r.series, func(s Series) bool { return s.Measure == measure })
	if i < 0 {
		i = len(r.series)
		r.series = append(r.series, Series{Measure: measure, Unit: unit, Command: r.Command, Measured: r.Measured, Beside: r.Beside, Trial: r.Trial})
	}
	r.series[i].Points = append(r.series[i].Points, Point{size, value})
}

// Series returns all series, sorted by the name of the quantity.
func (r *Results) Series() []Series {
	list := slices.Clone(r.series)
	slices.SortFunc(list, func(a, b Series) int { return strings.Compare(a.Measure, b.Measure) })
	return list
}

// WriteFile writes all series as a JSON list.
func (r *Results) WriteFile(path string) error {
	encoded, err := json.MarshalIndent(r.Series(), "", "  ")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := os.WriteFile(path, append(encoded, '\n'), 0o644); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}
