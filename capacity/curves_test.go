package capacity

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
)

// countElements parses an SVG as XML and counts its elements by name.
func countElements(t *testing.T, svg string) map[string]int {
	t.Helper()
	counts := map[string]int{}
	decoder := xml.NewDecoder(strings.NewReader(svg))
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
		t.Errorf("%d points, want 7", counts["circle"])
	}
	// Each slope has a curve up to its largest measured size, and a second one if the site is larger and the fit trusted.
	if counts["polyline"] != 3+1 {
		t.Errorf("%d curves, want 4", counts["polyline"])
	}
	if strings.Contains(svg, AgentBytes) || !strings.Contains(svg, MembersMemory) {
		t.Error("a slope of one size has a panel, or one of two sizes has none")
	}
	if strings.Contains(svg, "NaN") || strings.Contains(svg, "Inf") {
		t.Error("a coordinate is not a finite number")
	}
	if got := countElements(t, (&Plan{}).CurvesSVG()); got["circle"] != 0 || got["svg"] != 1 {
		t.Errorf("elements of an empty plan: %v", got)
	}
}
