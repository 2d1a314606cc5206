package gateway

import (
	"encoding/json"
	"math"

	"elderyard/rules"
)

const maxLoadReport = 512 // bytes

// loadReport is what a backend may report about its load in a response header.
type loadReport struct {
	InFlight          *float64 `json:"inflight"`
	Queued            *float64 `json:"queue"`
	Utilization       *float64 `json:"util"`
	LatencyMillis     *float64 `json:"latency_ms"`
	RequestsPerSecond *float64 `json:"qps"`
	ErrorsPerSecond   *float64 `json:"eps"`
}

// parseLoadReport returns the values of the given fields in a load report, NaN where a field is missing.
// A report that can't be parsed has no values: it comes from a socket, and must not make a backend look idle.
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
