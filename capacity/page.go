package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of the plan, for a page or a terminal.
type Table struct {
	Name   string // by which a page's markers name it
	Title  string
	Header []string
	Rows   [][]string
	EmptyText  string // said in place of a table without rows
}

// Tables are all tables of a plan.
func (p *Plan) Tables() []Table {
	return []Table{
		p.sizeTable("site", "The site", "site"),
		p.sizeTable("budget", "What may be spent", "budget"),
		p.sizeTable("assumptions", "What is assumed", "assumptions"),
		p.rolesTable("roles", "Roles", func(l *Requirement) bool { return !isRecords(l) }),
		p.rolesTable("records", "Configuration as records", isRecords),
		p.notCarriedTable(),
		p.unknownTable(),
		p.slopesTable(),
		p.measuresTable(),
		p.placementTable(),
		p.failuresTable(),
	}
}

// isRecords tells whether a line is about configuration as records.
func isRecords(l *Requirement) bool {
	return slices.ContainsFunc(l.Measures, func(name string) bool { return strings.HasPrefix(name, "records.") }) ||
		strings.HasPrefix(l.Item, "records: ")
}

func (p *Plan) sizeTable(name, title, prefix string) Table {
	t := Table{Name: name, Title: title, Header: []string{"key", "value", "meaning"}}
	for _, k := range p.Size.keys() {
		if table, key, _ := strings.Cut(k.name, "."); table == prefix {
			t.Rows = append(t.Rows, []string{key, k.value, k.about})
		}
	}
	return t
}

func (p *Plan) rolesTable(name, title string, want func(*Requirement) bool) Table {
	t := Table{Name: name, Title: title, Header: []string{"role", "mechanism", "what", "at the size", "with the fit's worst residual", "budget", "verdict", "from"}}
	var last Requirement
	for i := range p.Requirements {
		l := &p.Requirements[i]
		if !want(l) {
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
		t.Rows = append(t.Rows, []string{role, mechanism, l.what(), l.atSize(), l.figureIfOther(), l.figure(l.Budget), l.verdictText(), l.basis()})
	}
	return t
}

// what names a line's kind and item, with its note.
func (l *Requirement) what() string {
	text := fmt.Sprintf("%s: %s", l.Kind, l.Item)
	if l.Note != "" {
		text += " (" + l.Note + ")"
	}
	return text
}

func (l *Requirement) figure(v *float64) string {
	if v == nil {
		return "-"
	}
	return withUnit(*v, l.Unit)
}

// atSize is the value at the size, or its known part.
func (l *Requirement) atSize() string {
	if l.AtLeast != nil {
		return "at least " + l.figure(l.AtLeast)
	}
	return l.figure(l.Value)
}

// figureIfOther is the upper value where it differs from the value.
func (l *Requirement) figureIfOther() string {
	if l.Upper == nil || *l.Upper == *l.Value {
		return "-"
	}
	return l.figure(l.Upper)
}

func (l *Requirement) verdictText() string {
	switch {
	case l.Verdict == OverBudget:
		return "over, " + number(*l.Factor) + " times"
	case l.Verdict == WithinBudget:
		return fmt.Sprintf("carried, %s%%", number(100**l.Factor))
	}
	return string(l.Verdict)
}

// basis names the measures that a line comes from.
func (l *Requirement) basis() string {
	if len(l.Measures) == 0 {
		return "arithmetic"
	}
	text := strings.Join(l.Measures, ", ")
	if l.Trial {
		text += " (trial)"
	}
	return text
}

func (p *Plan) notCarriedTable() Table {
	t := Table{Name: "not-carried", Title: "Not carried, by factor", Header: []string{"over by", "role", "what", "at the size", "budget", "mechanism today", "planned"},
		EmptyText: "Everything with a budget and a slope is carried."}
	for _, l := range p.RequirementsOverBudget() {
		t.Rows = append(t.Rows, []string{number(*l.Factor), string(l.Role), l.what(), l.atSize(), l.figure(l.Budget), l.Mechanism, dash(l.Planned)})
	}
	return t
}

func (p *Plan) unknownTable() Table {
	t := Table{Name: "not-known", Title: "Not known", Header: []string{"role", "what", "budget", "why"}, EmptyText: "Nothing is unknown."}
	for _, l := range p.UnknownRequirements() {
		t.Rows = append(t.Rows, []string{string(l.Role), l.what(), l.figure(l.Budget), l.Why})
	}
	return t
}

func (p *Plan) slopesTable() Table {
	t := Table{Name: "slopes", Title: "Slopes", Header: []string{"measure", "over n =", "points", "fit", "residual, RMS and worst", "at the size", "measured", "command"}, EmptyText: "No slope has been measured."}
	for i := range p.Slopes {
		s := &p.Slopes[i]
		t.Rows = append(t.Rows, []string{s.Measure + ", " + s.Unit, string(s.Dimension), s.pointsText(), s.Fit,
			number(s.RMS) + ", " + number(s.Worst), s.atText(), s.measuredText(), "`" + s.Command + "`"})
	}
	return t
}

// pointsText lists the points, the sizes first.
func (s *SlopeLine) pointsText() string {
	var parts []string
	for _, p := range s.Points {
		parts = append(parts, number(p.Size)+": "+number(p.Value))
	}
	return strings.Join(parts, "; ")
}

// atText is the value at the size, and how far that is from what was measured.
func (s *SlopeLine) atText() string {
	switch {
	case s.Dimension == Single && s.Value != nil:
		return number(*s.Value)
	case s.Value == nil:
		return fmt.Sprintf("nothing at %s; measured up to %s", number(s.At), number(s.Largest))
	case !s.Trusted:
		return fmt.Sprintf("not trusted at %s (%s); measured up to %s", number(s.At), number(*s.Value), number(s.Largest))
	case s.At > s.Largest:
		return fmt.Sprintf("%s at %s; measured up to %s", number(*s.Value), number(s.At), number(s.Largest))
	}
	return fmt.Sprintf("%s at %s", number(*s.Value), number(s.At))
}

func (s *SlopeLine) measuredText() string {
	text := s.Measured
	if s.Trial {
		text += ", a trial"
	}
	for _, more := range []string{s.Beside, s.Note} {
		if more != "" {
			text += "; " + more
		}
	}
	return text
}

func (p *Plan) measuresTable() Table {
	t := Table{Name: "measures", Title: "Measures", Header: []string{"measure", "unit", "size counts", "form", "meaning"}}
	for _, m := range measures {
		t.Rows = append(t.Rows, []string{m.Name, m.Unit, string(m.Dimension), string(m.Form), m.About})
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
		t.Rows = append(t.Rows, []string{f.Name, f.Often, f.Hits, f.GoesOn, f.Stops, f.Stale, f.Heals})
	}
	return t
}

func dash(text string) string {
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
	beginMark = "<!-- capacity:begin "
	endMark   = "<!-- capacity:end "
	markClose = " -->"
)

// FillPage writes the plan's tables between their markers on a page. Each table must
// have its block once; a block that no table has, or that does not end, is an
// error that names its line.
func (p *Plan) FillPage(page string) (string, error) {
	missing := map[string]Table{}
	for _, t := range p.Tables() {
		missing[t.Name] = t
	}
	var filled strings.Builder
	open, openLine := "", 0
	for i, line := range strings.SplitAfter(page, "\n") {
		trimmed := strings.TrimSpace(line)
		name, begins := marker(trimmed, beginMark)
		endName, ends := marker(trimmed, endMark)
		switch {
		case begins && open != "":
			return "", fmt.Errorf("line %d: block %q begins within block %q of line %d", i+1, name, open, openLine)
		case begins:
			table, known := missing[name]
			if !known {
				return "", fmt.Errorf("line %d: there is no table %q, or it has a block already", i+1, name)
			}
			delete(missing, name)
			open, openLine = name, i+1
			filled.WriteString(line + "\n" + table.Markdown() + "\n")
		case ends && endName != open:
			return "", fmt.Errorf("line %d: block %q ends and has not begun", i+1, endName)
		case ends:
			open = ""
			filled.WriteString(line)
		case open == "":
			filled.WriteString(line)
		}
	}
	if open != "" {
		return "", fmt.Errorf("line %d: block %q does not end", openLine, open)
	}
	for _, t := range p.Tables() {
		if _, left := missing[t.Name]; left {
			return "", fmt.Errorf("table %q has no block on the page", t.Name)
		}
	}
	return filled.String(), nil
}

// marker reads the name in a marker.
func marker(line, mark string) (name string, ok bool) {
	rest, begins := strings.CutPrefix(line, mark)
	name, closed := strings.CutSuffix(rest, markClose)
	return name, begins && closed
}
