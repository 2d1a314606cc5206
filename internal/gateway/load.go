package gateway

import (
	"encoding/json"
	"math"

	"elderyard/rules"
)

const maxLoadReport = 512 // bytes of a load report

// loadReport is what a backend may tell of its load beside an answer.
type loadReport struct {
	InFlight          *float64 `json:"inflight"`
	Queued            *float64 `json:"queue"`
	Utilization       *float64 `json:"util"`
	LatencyMillis     *float64 `json:"latency_ms"`
	RequestsPerSecond *float64 `json:"qps"`
	ErrorsPerSecond   *float64 `json:"eps"`
}

// readLoad reads a report into the fields that the settings name, in their order; what
// it does not tell is no number. Danger: a report comes from a socket. One that can't be
// read says nothing, and must not be taken for an idle backend's.
func parseLoadReport(text string, fields []rules.LoadField) []float64 {
	var report loadReport
	if text == "" || len(text) > maxLoadReport || json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	load := make([]float64, len(fields))
	for i, field := range fields {
		load[i] = math.NaN()
		if value := report.value(field); value != nil {
			load[i] = *value
		}
	}
	return load
}

func (r *loadReport) value(field rules.LoadField) *float64 {
	switch field {
	case rules.LoadInFlight:
		return r.InFlight
	case rules.LoadQueued:
		return r.Queued
	case rules.LoadCPU:
		return r.Utilization
	case rules.LoadServiceMillis:
		return r.LatencyMillis
	case rules.LoadServedPerSecond:
		return r.RequestsPerSecond
	case rules.LoadErrorsPerSecond:
		return r.ErrorsPerSecond
	}
	return nil
}
