package main

import (
	"encoding/json"
	"strings"
	"testing"

	"elderyard/internal/lab"
)

// The bench measures both programs and prints and writes the ratios.
func TestBenchMeasuresGatewayAndProxy(t *testing.T) {
	status, out, errs := runTool(t, "lab", "bench", "--gateway", gateway(t), "--rounds", "1", "--for", "300ms", "--clients", "8", "--rate", "200", "--json", "-")
	if status != exitOK {
		t.Fatalf("%d %s %s", status, out, errs)
	}
	var result lab.Result
	if err := json.Unmarshal([]byte(out), &result); err != nil || len(result.Turns) != 2 || result.Turns[0].Program == result.Turns[1].Program || result.Turns[1].Requests == 0 ||
		len(result.Ratios) != 6 || result.Ratios[0].Ratio.Middle <= 0 {
		t.Fatalf("%v %s", err, out)
	}
	if !strings.Contains(errs, "CPU a request, full load") || !strings.Contains(errs, "requests were not served") {
		t.Errorf("%s", errs)
	}
}
