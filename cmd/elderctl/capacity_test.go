package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"elderyard/capacity"
)

const capacityPage = "../../docs/CAPACITY.md"

// capacityFiles are the flags that name the checkout's size and slopes.
var capacityFiles = []string{"--size", "../../" + defaultSize, "--slopes", "../../" + defaultSlopes}

func capacityTool(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	return runTool(t, append(append([]string{"capacity"}, capacityFiles...), args...)...)
}

// The tables on the page are current.
func TestCapacityPageIsCurrent(t *testing.T) {
	page := readFile(t, capacityPage)
	copied := writeFile(t, "page.md", page)
	if status, out, errs := capacityTool(t, "--page", copied); status != exitOK || out != "" {
		t.Fatalf("status %d: %s%s", status, out, errs)
	}
	filled := strings.Split(readFile(t, copied), "\n")
	for i, line := range strings.Split(page, "\n") {
		if i >= len(filled) || line != filled[i] {
			t.Fatalf("docs/CAPACITY.md:%d: the table is out of date; update it with `elderctl capacity --page docs/CAPACITY.md`\npage:    %s\ncommand: %s", i+1, line, append(filled, "")[min(i, len(filled))])
		}
	}
}

// The figure on the page is current.
func TestCapacityCurvesAreCurrent(t *testing.T) {
	drawn := filepath.Join(t.TempDir(), "curves.svg")
	if status, out, errs := capacityTool(t, "--curves", drawn); status != exitOK || out != "" {
		t.Fatalf("status %d: %s%s", status, out, errs)
	}
	if readFile(t, "../../docs/capacity/curves.svg") != readFile(t, drawn) {
		t.Error("docs/capacity/curves.svg is out of date; update it with `elderctl capacity --curves docs/capacity/curves.svg`")
	}
	if !strings.Contains(readFile(t, capacityPage), "](capacity/curves.svg)") {
		t.Error("the page does not include the figure")
	}
}

// The numbers in the summary of the page are those of its tables.
func TestCapacitySummaryMatchesTables(t *testing.T) {
	page := readFile(t, capacityPage)
	_, rest, found := strings.Cut(page, "## The answer in short")
	summary, _, ends := strings.Cut(rest, "\n## ")
	if !found || !ends {
		t.Fatal("the page has no summary")
	}
	summary = strings.Join(strings.Fields(summary), " ")
	plan, err := readPlan("../../"+defaultSize, "../../"+defaultSlopes)
	if err != nil {
		t.Fatal(err)
	}
	var tables strings.Builder
	for _, table := range plan.Tables() {
		tables.WriteString(table.Markdown())
	}
	for _, figure := range []string{"2.86 MB", "262 kB", "499 s", "1,280 s", "12.8 s", "401 B", "1.39 times", "1.49 MB", "249 s", "170,000", "0.176 cores", "0.63 ms", "0.0335 ms", "0.0827 cores", "53.7 MB", "512", "118", "64 MB"} {
		if !strings.Contains(summary, figure) {
			t.Errorf("the summary no longer contains %s: update this list", figure)
		}
		if !strings.Contains(tables.String(), figure) {
			t.Errorf("%s is in the summary and in no table", figure)
		}
	}
}

// The command prints the requirements as tables and as JSON.
func TestCapacityPrints(t *testing.T) {
	status, out, errs := capacityTool(t)
	if status != exitOK || !strings.Contains(out, "gateway: membership") || !strings.Contains(out, "over their budget") || strings.Contains(out, "Measures\n") {
		t.Errorf("status %d: %s%s", status, out, errs)
	}
	if status, out, _ := capacityTool(t, "--all"); status != exitOK || !strings.Contains(out, "Measures\n") {
		t.Errorf("status %d: %s", status, out)
	}
	status, out, errs = capacityTool(t, "--json")
	var plan capacity.Plan
	if err := json.Unmarshal([]byte(out), &plan); status != exitOK || err != nil {
		t.Fatalf("status %d: %v: %s", status, err, errs)
	}
	if plan.Size.Site.Gateways != 610 || len(plan.Requirements) == 0 || len(plan.Placement.Machines) != 6 || len(plan.Failures) == 0 {
		t.Errorf("%d gateways, %d lines, %+v", plan.Size.Site.Gateways, len(plan.Requirements), plan.Placement)
	}
}

// The command computes the requirements of the size in --size.
func TestCapacityOfAnotherSize(t *testing.T) {
	size := strings.Replace(readFile(t, "../../"+defaultSize), "routes = 14000", "routes = 1400", 1)
	size = strings.Replace(size, "tenants = 12000", "tenants = 400", 1)
	status, out, errs := capacityTool(t, "--json", "--size", writeFile(t, "size.toml", size))
	var plan capacity.Plan
	if err := json.Unmarshal([]byte(out), &plan); status != exitOK || err != nil {
		t.Fatalf("status %d: %v: %s", status, err, errs)
	}
	for _, line := range plan.Requirements {
		if line.Role == capacity.Configuration && line.Kind == capacity.State && strings.HasPrefix(line.Item, "whole file") {
			if line.Verdict != capacity.WithinBudget || *line.Value != 1800*110 {
				t.Errorf("%+v", line)
			}
			return
		}
	}
	t.Error("no line about the whole file")
}

// Invalid files, pages and flags are usage errors that name the file and the fault.
func TestCapacityOfInvalidFiles(t *testing.T) {
	wrongSize := writeFile(t, "size.toml", "[site]\ngatways = 5\n")
	wrongSlopes := writeFile(t, "slopes.json", "[\n {\"measure\": \"agent.cpu\"}\n]\n")
	page := readFile(t, capacityPage)
	for _, tc := range []struct {
		args []string
		want string
	}{
		{[]string{"--size", "none.toml"}, "size: open none.toml"},
		{[]string{"--slopes", "none.json"}, "slopes: open none.json"},
		{[]string{"--size", wrongSize}, wrongSize + `:2: site.gatways: there is no such key; did you mean "gateways"?`},
		{[]string{"--slopes", wrongSlopes}, wrongSlopes + `:2: [0].measure: there is no measure "agent.cpu"`},
		{[]string{"--page", "none.md"}, "page: open none.md"},
		{[]string{"--page", writeFile(t, "page.md", "# none\n")}, `table "site" has no block on the page`},
		{[]string{"--page", writeFile(t, "page.md", page+"<!-- capacity:begin roles -->\n")}, `there is no table "roles", or it has a block already`},
		{[]string{"--page", writeFile(t, "page.md", page+"<!-- capacity:end roles -->\n")}, `block "roles" ends and has not begun`},
		{[]string{"--page", writeFile(t, "page.md", strings.Replace(page, "<!-- capacity:end site -->", "", 1))}, `within block "site"`},
		{[]string{"--page", writeFile(t, "page.md", strings.Replace(page, "<!-- capacity:end measures -->", "", 1))}, `block "measures" does not end`},
		{[]string{"--page", "x", "--json"}, "none of the others can be"},
		{[]string{"--curves", "x", "--json"}, "none of the others can be"},
		{[]string{"more"}, "unknown command"},
	} {
		status, out, errs := capacityTool(t, tc.args...)
		if status != exitUsage || out != "" || !strings.Contains(errs, tc.want) {
			t.Errorf("%v: status %d: %s%s; want %s", tc.args, status, out, errs, tc.want)
		}
	}
}
