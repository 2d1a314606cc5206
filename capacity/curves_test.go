package capacity

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

// countElements reads a picture as XML and counts its elements by name.
func countElements(t *testing.T, picture string) map[string]int {
	t.Helper()
	counts := map[string]int{}
	decoder := xml.NewDecoder(strings.NewReader(picture))
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return counts
		}
		if err != nil {
			t.Fatal(err)
		}
		if start, ok := token.(xml.StartElement); ok {
			counts[start.Name.Local]++
		}
	}
}

func TestCurvesSVG(t *testing.T) {
	size := repositorySize(t)
	trial := newSlope(t, MembersMemory, Point{5, 16}, Point{100, 32})
	trial.Trial = true
	plan := Compute(size, []Slope{
		newSlope(t, AgentBytes, Point{610, 300}, Point{610, 320}), // one size: no panel
		newSlope(t, LeaderCPU, Point{76, 0.1}, Point{305, 0.2}, Point{610, 0.3}),
		newSlope(t, CounterCalls, Point{5, 0}, Point{50, 0}),
		trial,
	})
	svg := plan.CurvesSVG()
	counts := countElements(t, svg)
	if counts["circle"] != 3+2+2 {
		t.Errorf("%d points", counts["circle"])
	}
	// A line each up to the largest size, and one beyond it where the fit is trusted there and the site is larger.
	if counts["polyline"] != 3+1 {
		t.Errorf("%d curves", counts["polyline"])
	}
	if strings.Contains(svg, AgentBytes) || !strings.Contains(svg, MembersMemory) {
		t.Error("the wrong slopes are shown")
	}
	if strings.Contains(svg, "NaN") || strings.Contains(svg, "Inf") {
		t.Error("a place that is no number")
	}
	if got := countElements(t, (&Plan{}).CurvesSVG()); got["circle"] != 0 || got["svg"] != 1 {
		t.Errorf("%v", got)
	}
}
