package scale

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// TestResultsAreAListOfSeries checks the result file: a JSON list of series by name, each with its points in order.
func TestResultsAreAListOfSeries(t *testing.T) {
	r := &Results{Command: "go test", Measured: "2026-12-02", Beside: "nothing"}
	r.Add("b", "s", 152, 2)
	r.Add("a", "B", 152, 1)
	r.Add("b", "s", 305, 3)
	path := filepath.Join(t.TempDir(), "results.json")
	if err := r.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	encoded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var list []Series
	if err := json.Unmarshal(encoded, &list); err != nil {
		t.Fatal(err)
	}
	if len(list) != 2 || list[0].Measure != "a" || len(list[1].Points) != 2 || list[1].Points[1] != (Point{305, 3}) || list[1].Command != "go test" {
		t.Errorf("decoded %+v", list)
	}
	if err := r.WriteFile(filepath.Join(path, "no folder")); err == nil {
		t.Error("no error for a path below a regular file")
	}
}
