package main

import (
	"encoding/json"
	"strings"
	"testing"

	"elderyard/internal/lab"
)

func TestBenchMeasuresGatewayAndProxy(t *testing.T) {
	status, out, errs := tool(t, "lab", "bench", "--gateway", gateway(t), "--rounds", "1", "--for", "300ms", "--clients", "8", "--rate", "200", "--json", "-")
	if status != exitOK {
		t.Fatalf("%d %s %s", status, out, errs)
	}
	var r lab.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Turns) != 2 || r.Turns[0].Program == r.Turns[1].Program || r.Turns[1].Requests == 0 ||
		len(r.Ratios) != 6 || r.Ratios[0].Ratio.Middle <= 0 {
		t.Fatalf("%v %s", err, out)
	}
	if !strings.Contains(errs, "CPU a request, full load") || !strings.Contains(errs, "requests were not served") {
		t.Errorf("%s", errs)
	}
}
