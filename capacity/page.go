package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of the plan, to be written to a page or a terminal.
type Table struct {
	Name      string // the name in the markers of a page
	Title     string
	Header    []string
	Rows      [][]string
	EmptyText string // shown in place of a table without rows
}

// Tables returns all tables of the plan, in the order of the page.
func (p *Plan) Tables() []Table {
	return []Table{
		p.sizeTable("site", "The site", "site"),
		p.sizeTable("budget", "What may be spent", "budget"),
		p.sizeTable("assumptions", "What is assumed", "assumptions"),
		p.rolesTable("roles", "Roles", func(r *Requirement) bool { return !isRecordsRequirement(r) }),
		p.rolesTable("records", "Configuration as records", isRecordsRequirement),
		p.overBudgetTable(),
		p.unknownTable(),
		p.slopesTable(),
		p.measuresTable(),
		p.placementTable(),
		p.failuresTable(),
	}
}

// isRecordsRequirement reports whether a requirement concerns configuration that is distributed as records.
func isRecordsRequirement(r *Requirement) bool {
	return slices.ContainsFunc(r.Measures, func(name string) bool { return strings.HasPrefix(name, "records.") }) ||
		strings.HasPrefix(r.Item, "records: ")
}

// sizeTable lists the keys of one table of the size file.
func (p *Plan) sizeTable(name, title, prefix string) Table {
	t := Table{Name: name, Title: title, Header: []string{"key", "value", "meaning"}}
	for _, k := range p.Size.keys() {
		if table, key, _ := strings.Cut(k.name, "."); table == prefix {
			t.Rows = append(t.Rows, []string{key, k.value, k.description})
		}
	}
	return t
}

// rolesTable lists the requirements that the filter includes. A role or mechanism that repeats the one above is
// left blank.
func (p *Plan) rolesTable(name, title string, include func(*Requirement) bool) Table {
	t := Table{Name: name, Title: title, Header: []string{"role", "mechanism", "what", "at the size", "with the fit's worst residual", "budget", "verdict", "from"}}
	var last Requirement
	for i := range p.Requirements {
		r := &p.Requirements[i]
		if !include(r) {
			continue
		}
		role, mechanism := string(r.Role), r.Mechanism
		if r.Role == last.Role {
			role = ""
			if r.Mechanism == last.Mechanism {
				mechanism = ""
			}
		}
		last = *r
		t.Rows = append(t.Rows, []string{role, mechanism, r.label(), r.valueText(), r.upperBoundText(), r.formatFigure(r.Budget), r.verdictText(), r.sourceText()})
	}
	return t
}

// label returns the kind and item of a requirement, with its comment.
func (r *Requirement) label() string {
	text := fmt.Sprintf("%s: %s", r.Kind, r.Item)
	if r.Comment != "" {
		text += " (" + r.Comment + ")"
	}
	return text
}

// formatFigure formats a figure in the unit of the requirement, and an absent one as "-".
func (r *Requirement) formatFigure(v *float64) string {
	if v == nil {
		return "-"
	}
	return formatWithUnit(*v, r.Unit)
}

// valueText returns the value at the target size, or its lower bound.
func (r *Requirement) valueText() string {
	if r.LowerBound != nil {
		return "at least " + r.formatFigure(r.LowerBound)
	}
	return r.formatFigure(r.Value)
}

// upperBoundText returns the upper bound if it differs from the value.
func (r *Requirement) upperBoundText() string {
	if r.UpperBound == nil || *r.UpperBound == *r.Value {
		return "-"
	}
	return r.formatFigure(r.UpperBound)
}

func (r *Requirement) verdictText() string {
	switch {
	case r.Verdict == OverBudget:
		return "over, " + formatNumber(*r.Factor) + " times"
	case r.Verdict == WithinBudget:
		return fmt.Sprintf("carried, %s%%", formatNumber(100**r.Factor))
	}
	return string(r.Verdict)
}

// sourceText names the measures from which a requirement is derived.
func (r *Requirement) sourceText() string {
	if len(r.Measures) == 0 {
		return "arithmetic"
	}
	text := strings.Join(r.Measures, ", ")
	if r.Trial {
		text += " (trial)"
	}
	return text
}

func (p *Plan) overBudgetTable() Table {
	t := Table{Name: "not-carried", Title: "Not carried, by factor", Header: []string{"over by", "role", "what", "at the size", "budget", "mechanism today", "planned"},
		EmptyText: "Everything with a budget and a slope is carried."}
	for _, r := range p.RequirementsOverBudget() {
		t.Rows = append(t.Rows, []string{formatNumber(*r.Factor), string(r.Role), r.label(), r.valueText(), r.formatFigure(r.Budget), r.Mechanism, orDash(r.Planned)})
	}
	return t
}

func (p *Plan) unknownTable() Table {
	t := Table{Name: "not-known", Title: "Not known", Header: []string{"role", "what", "budget", "why"}, EmptyText: "Nothing is unknown."}
	for _, r := range p.UnknownRequirements() {
		t.Rows = append(t.Rows, []string{string(r.Role), r.label(), r.formatFigure(r.Budget), r.UnknownReason})
	}
	return t
}

func (p *Plan) slopesTable() Table {
	t := Table{Name: "slopes", Title: "Slopes", Header: []string{"measure", "over n =", "points", "fit", "residual, RMS and worst", "at the size", "measured", "command"}, EmptyText: "No slope has been measured."}
	for i := range p.Slopes {
		s := &p.Slopes[i]
		t.Rows = append(t.Rows, []string{s.Measure + ", " + s.Unit, string(s.Dimension), s.pointsText(), s.Fit,
			formatNumber(s.RMS) + ", " + formatNumber(s.MaxResidual), s.targetText(), s.provenanceText(), "`" + s.Command + "`"})
	}
	return t
}

// pointsText lists the points as "size: value".
func (s *SlopeLine) pointsText() string {
	var parts []string
	for _, p := range s.Points {
		parts = append(parts, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(parts, "; ")
}

// targetText returns the value at the target size, with the largest measured size if the target lies beyond it.
func (s *SlopeLine) targetText() string {
	switch {
	case s.Dimension == SizeIndependent && s.Value != nil:
		return formatNumber(*s.Value)
	case s.Value == nil:
		return fmt.Sprintf("nothing at %s; measured up to %s", formatNumber(s.TargetSize), formatNumber(s.LargestSize))
	case !s.Trusted:
		return fmt.Sprintf("not trusted at %s (%s); measured up to %s", formatNumber(s.TargetSize), formatNumber(*s.Value), formatNumber(s.LargestSize))
	case s.TargetSize > s.LargestSize:
		return fmt.Sprintf("%s at %s; measured up to %s", formatNumber(*s.Value), formatNumber(s.TargetSize), formatNumber(s.LargestSize))
	}
	return fmt.Sprintf("%s at %s", formatNumber(*s.Value), formatNumber(s.TargetSize))
}

// provenanceText returns the date of the measurement with its concurrent load and comment.
func (s *SlopeLine) provenanceText() string {
	text := s.Date
	if s.Trial {
		text += ", a trial"
	}
	for _, more := range []string{s.ConcurrentLoad, s.Comment} {
		if more != "" {
			text += "; " + more
		}
	}
	return text
}

func (p *Plan) measuresTable() Table {
	t := Table{Name: "measures", Title: "Measures", Header: []string{"measure", "unit", "size counts", "form", "meaning"}}
	for _, m := range measures {
		t.Rows = append(t.Rows, []string{m.Name, m.Unit, string(m.Dimension), string(m.Form), m.Description})
	}
	return t
}

func (p *Plan) placementTable() Table {
	t := Table{Name: "placement", Title: "Control machines", Header: []string{"control machine", "region", "zone", "votes"}}
	for i, m := range p.Placement.Machines {
		votes := "yes"
		if !m.Votes {
			votes = "no: a replica"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(i + 1), fmt.Sprint(m.Region), fmt.Sprint(m.Zone), votes})
	}
	return t
}

func (p *Plan) failuresTable() Table {
	t := Table{Name: "failures", Title: "Failures", Header: []string{"failure", "how often", "what it hits", "goes on", "stops", "how stale", "how it heals"}}
	for _, f := range p.Failures {
		t.Rows = append(t.Rows, []string{f.Name, f.Frequency, f.Affected, f.Unaffected, f.Unavailable, f.Staleness, f.Recovery})
	}
	return t
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Markdown returns the table in Markdown, or its EmptyText if it has no rows.
func (t *Table) Markdown() string {
	if len(t.Rows) == 0 {
		return t.EmptyText + "\n"
	}
	var b strings.Builder
	row := func(cells []string) {
		b.WriteByte('|')
		for _, cell := range cells {
			b.WriteString(" " + strings.ReplaceAll(cell, "|", "\\|") + " |")
		}
		b.WriteByte('\n')
	}
	row(t.Header)
	b.WriteString(strings.Repeat("| --- ", len(t.Header)) + "|\n")
	for _, cells := range t.Rows {
		row(cells)
	}
	return b.String()
}

// A generated block of a page lies between <!-- capacity:begin NAME --> and <!-- capacity:end NAME -->.
const (
	beginMarkerPrefix = "<!-- capacity:begin "
	endMarkerPrefix   = "<!-- capacity:end "
	markerSuffix      = " -->"
)

// FillPage returns a page with the plan's tables written between their markers. Each table must have exactly one
// block. A block without a table or without an end is an error that names its line.
func (p *Plan) FillPage(page string) (string, error) {
	pending := map[string]Table{}
	for _, t := range p.Tables() {
		pending[t.Name] = t
	}
	var filled strings.Builder
	openBlock, openLine := "", 0
	for i, line := range strings.SplitAfter(page, "\n") {
		trimmed := strings.TrimSpace(line)
		name, begins := parseMarker(trimmed, beginMarkerPrefix)
		endName, ends := parseMarker(trimmed, endMarkerPrefix)
		switch {
		case begins && openBlock != "":
			return "", fmt.Errorf("line %d: block %q begins within block %q of line %d", i+1, name, openBlock, openLine)
		case begins:
			table, known := pending[name]
			if !known {
				return "", fmt.Errorf("line %d: there is no table %q, or it has a block already", i+1, name)
			}
			delete(pending, name)
			openBlock, openLine = name, i+1
			filled.WriteString(line + "\n" + table.Markdown() + "\n")
		case ends && endName != openBlock:
			return "", fmt.Errorf("line %d: block %q ends and has not begun", i+1, endName)
		case ends:
			openBlock = ""
			filled.WriteString(line)
		case openBlock == "":
			filled.WriteString(line)
		}
	}
	if openBlock != "" {
		return "", fmt.Errorf("line %d: block %q does not end", openLine, openBlock)
	}
	for _, t := range p.Tables() {
		if _, left := pending[t.Name]; left {
			return "", fmt.Errorf("table %q has no block on the page", t.Name)
		}
	}
	return filled.String(), nil
}

// parseMarker returns the name in a marker.
func parseMarker(line, mark string) (name string, ok bool) {
	rest, begins := strings.CutPrefix(line, mark)
	name, closed := strings.CutSuffix(rest, markerSuffix)
	return name, begins && closed
}
