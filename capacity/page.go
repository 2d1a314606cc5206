package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of the plan, for a page or a terminal.
type Table struct {
	Name      string // by which a page's markers name it
	Title     string
	Header    []string
	Rows      [][]string
	EmptyText string // said in place of a table without rows
}

// Tables are all tables of a plan.
func (p *Plan) Tables() []Table {
	return []Table{
		p.sizeTable("site", "The site", "site"),
		p.sizeTable("budget", "What may be spent", "budget"),
		p.sizeTable("assumptions", "What is assumed", "assumptions"),
		p.rolesTable("roles", "Roles", func(l *Requirement) bool { return !isRecordsRequirement(l) }),
		p.rolesTable("records", "Configuration as records", isRecordsRequirement),
		p.overBudgetTable(),
		p.unknownTable(),
		p.slopesTable(),
		p.measuresTable(),
		p.placementTable(),
		p.failuresTable(),
	}
}

// isRecordsRequirement tells whether a line is about configuration as records.
func isRecordsRequirement(l *Requirement) bool {
	return slices.ContainsFunc(l.Measures, func(name string) bool { return strings.HasPrefix(name, "records.") }) ||
		strings.HasPrefix(l.Item, "records: ")
}

func (p *Plan) sizeTable(name, title, prefix string) Table {
	t := Table{Name: name, Title: title, Header: []string{"key", "value", "meaning"}}
	for _, k := range p.Size.keys() {
		if table, key, _ := strings.Cut(k.name, "."); table == prefix {
			t.Rows = append(t.Rows, []string{key, k.value, k.description})
		}
	}
	return t
}

func (p *Plan) rolesTable(name, title string, include func(*Requirement) bool) Table {
	t := Table{Name: name, Title: title, Header: []string{"role", "mechanism", "what", "at the size", "with the fit's worst residual", "budget", "verdict", "from"}}
	var last Requirement
	for i := range p.Requirements {
		l := &p.Requirements[i]
		if !include(l) {
			continue
		}
		role, mechanism := string(l.Role), l.Mechanism
		if l.Role == last.Role { // said once
			role = ""
			if l.Mechanism == last.Mechanism {
				mechanism = ""
			}
		}
		last = *l
		t.Rows = append(t.Rows, []string{role, mechanism, l.label(), l.valueText(), l.upperBoundText(), l.formatFigure(l.Budget), l.verdictText(), l.sourceText()})
	}
	return t
}

// label names a line's kind and item, with its note.
func (l *Requirement) label() string {
	text := fmt.Sprintf("%s: %s", l.Kind, l.Item)
	if l.Comment != "" {
		text += " (" + l.Comment + ")"
	}
	return text
}

func (l *Requirement) formatFigure(v *float64) string {
	if v == nil {
		return "-"
	}
	return formatWithUnit(*v, l.Unit)
}

// valueText is the value at the size, or its known part.
func (l *Requirement) valueText() string {
	if l.LowerBound != nil {
		return "at least " + l.formatFigure(l.LowerBound)
	}
	return l.formatFigure(l.Value)
}

// upperBoundText is the upper value where it differs from the value.
func (l *Requirement) upperBoundText() string {
	if l.UpperBound == nil || *l.UpperBound == *l.Value {
		return "-"
	}
	return l.formatFigure(l.UpperBound)
}

func (l *Requirement) verdictText() string {
	switch {
	case l.Verdict == OverBudget:
		return "over, " + formatNumber(*l.Factor) + " times"
	case l.Verdict == WithinBudget:
		return fmt.Sprintf("carried, %s%%", formatNumber(100**l.Factor))
	}
	return string(l.Verdict)
}

// sourceText names the measures that a line comes from.
func (l *Requirement) sourceText() string {
	if len(l.Measures) == 0 {
		return "arithmetic"
	}
	text := strings.Join(l.Measures, ", ")
	if l.Trial {
		text += " (trial)"
	}
	return text
}

func (p *Plan) overBudgetTable() Table {
	t := Table{Name: "not-carried", Title: "Not carried, by factor", Header: []string{"over by", "role", "what", "at the size", "budget", "mechanism today", "planned"},
		EmptyText: "Everything with a budget and a slope is carried."}
	for _, l := range p.RequirementsOverBudget() {
		t.Rows = append(t.Rows, []string{formatNumber(*l.Factor), string(l.Role), l.label(), l.valueText(), l.formatFigure(l.Budget), l.Mechanism, orDash(l.Planned)})
	}
	return t
}

func (p *Plan) unknownTable() Table {
	t := Table{Name: "not-known", Title: "Not known", Header: []string{"role", "what", "budget", "why"}, EmptyText: "Nothing is unknown."}
	for _, l := range p.UnknownRequirements() {
		t.Rows = append(t.Rows, []string{string(l.Role), l.label(), l.formatFigure(l.Budget), l.UnknownReason})
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

// pointsText lists the points, the sizes first.
func (s *SlopeLine) pointsText() string {
	var parts []string
	for _, p := range s.Points {
		parts = append(parts, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(parts, "; ")
}

// targetText is the value at the size, and how far that is from what was measured.
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

// Markdown is the table as a page has it.
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

// Markers of a generated block on a page: <!-- capacity:begin NAME --> and
// <!-- capacity:end NAME -->.
const (
	beginMarkerPrefix = "<!-- capacity:begin "
	endMarkerPrefix   = "<!-- capacity:end "
	markerSuffix      = " -->"
)

// FillPage writes the plan's tables between their markers on a page. Each table must
// have its block once; a block that no table has, or that does not end, is an
// error that names its line.
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

// parseMarker reads the name in a parseMarker.
func parseMarker(line, mark string) (name string, ok bool) {
	rest, begins := strings.CutPrefix(line, mark)
	name, closed := strings.CutSuffix(rest, markerSuffix)
	return name, begins && closed
}
