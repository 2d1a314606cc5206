package gateway

import (
	"encoding/json"
	"math"

	"elderyard/rules"
)

const mostLoad = 512 // bytes of a load report

// loadReport is what a backend may tell of its load beside an answer.
type loadReport struct {
	Held          *float64 `json:"inflight"`
	Waiting       *float64 `json:"queue"`
	CPU           *float64 `json:"util"`
	ServiceMillis *float64 `json:"latency_ms"`
	Served        *float64 `json:"qps"`
	Errors        *float64 `json:"eps"`
}

// readLoad reads a report into the fields that the settings name, in their order; what
// it does not tell is no number. Danger: a report comes from a socket. One that can't be
// read says nothing, and must not be taken for an idle backend's.
func readLoad(text string, fields []rules.LoadField) []float64 {
	var r loadReport
	if text == "" || len(text) > mostLoad || json.Unmarshal([]byte(text), &r) != nil {
		return nil
	}
	load := make([]float64, len(fields))
	for i, f := range fields {
		load[i] = math.NaN()
		if v := r.field(f); v != nil {
			load[i] = *v
		}
	}
	return load
}

func (r *loadReport) field(f rules.LoadField) *float64 {
	switch f {
	case rules.LoadInFlight:
		return r.Held
	case rules.LoadQueued:
		return r.Waiting
	case rules.LoadCPU:
		return r.CPU
	case rules.LoadServiceMillis:
		return r.ServiceMillis
	case rules.LoadServedPerSecond:
		return r.Served
	case rules.LoadErrorsPerSecond:
		return r.Errors
	}
	return nil
}
