package gateway

import (
	"math"
	"strings"
	"testing"

	"elderyard/rules"
)

func TestLoadReports(t *testing.T) {
	fields := []rules.LoadField{rules.LoadInFlight, rules.LoadOther, rules.LoadQueued}
	none := math.NaN()
	for text, want := range map[string][]float64{
		`{"inflight":7,"queue":2,"util":0.61}`: {7, none, 2},
		`{"queue":2.5}`:                        {none, none, 2.5},
		`{}`:                                   {none, none, none},
		`{"inflight":null}`:                    {none, none, none},
		``:                                     nil,
		`{"inflight":"many"}`:                  nil,
		`{"inflight":7`:                        nil,
		`7`:                                    nil,
		`{"inflight":1e999}`:                   nil,
		`{"inflight":1,"x":"` + strings.Repeat("x", maxLoadReport) + `"}`: nil,
	} {
		got := parseLoadReport(text, fields)
		same := len(got) == len(want)
		for i := range want {
			same = same && (got[i] == want[i] || math.IsNaN(got[i]) && math.IsNaN(want[i]))
		}
		if !same {
			t.Errorf("%.40q: %v, want %v", text, got, want)
		}
	}
}
