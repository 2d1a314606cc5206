package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
)

const (
	screenEvery = 250 * time.Millisecond
	lineEvery   = 2 * time.Second
	mostEvents  = 8 // on the screen
	barWidth    = 30
)

// view shows a running lab: one screen in a terminal, lines elsewhere.
type view struct {
	out    io.Writer
	screen bool
	name   string
	about  string
	began  time.Time

	mu     sync.Mutex
	events []string
	drawn  int // lines of the screen
}

func newView(out io.Writer, name, about string) *view {
	v := &view{out: out, name: name, about: about, began: time.Now()}
	if f, ok := out.(*os.File); ok {
		v.screen = term.IsTerminal(int(f.Fd())) && os.Getenv("TERM") != "dumb"
	}
	if !v.screen {
		fmt.Fprintf(out, "scenario %s: %s\n", name, about)
	}
	return v
}

// event takes a line about what happened.
func (v *view) event(format string, a ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	line := fmt.Sprintf("%6.1fs  ", time.Since(v.began).Seconds()) + fmt.Sprintf(format, a...)
	if !v.screen {
		fmt.Fprintln(v.out, line)
		return
	}
	if v.events = append(v.events, line); len(v.events) > mostEvents {
		v.events = v.events[1:]
	}
}

// follow shows snapshots until ctx ends, and a last one then.
func (v *view) follow(ctx context.Context, shot func() lab.Snapshot) {
	every := lineEvery
	if v.screen {
		every = screenEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			v.show(shot())
			return
		case <-tick.C:
			v.show(shot())
		}
	}
}

func (v *view) show(s lab.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.screen {
		p := s.Progress
		fmt.Fprintf(v.out, "%5.0f of %.0f s: %d asked, %d served, %d refused, %d failed, %d without an answer, %d retries%s; gateways %s%s\n",
			s.At.Seconds(), s.Of.Seconds(), p.First, p.Served, p.Refused, p.Failed, p.Unhandled, p.Retries, takes(p), states(s.Gateways), on(s.Faults))
		return
	}
	text := v.draw(s)
	if v.drawn > 0 {
		fmt.Fprintf(v.out, "\x1b[%dA", v.drawn)
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	width := 100
	if f, ok := v.out.(*os.File); ok {
		if w, _, err := term.GetSize(int(f.Fd())); err == nil && w > 20 {
			width = w
		}
	}
	for _, line := range lines {
		if r := []rune(line); len(r) >= width {
			line = string(r[:width-1]) // a line that wraps would move the screen
		}
		fmt.Fprintf(v.out, "\x1b[2K%s\n", line)
	}
	for range max(0, v.drawn-len(lines)) {
		fmt.Fprint(v.out, "\x1b[2K\n")
	}
	v.drawn = max(v.drawn, len(lines))
}

// takes tells of limit commands, if there were any.
func takes(p load.Progress) string {
	if p.Takes == 0 {
		return ""
	}
	return fmt.Sprintf("; %d limit commands, %d granted", p.Takes, p.Granted)
}

func states(list []lab.GatewayShot) string {
	var parts []string
	for _, g := range list {
		parts = append(parts, g.Name+" "+string(g.State))
	}
	return strings.Join(parts, ", ")
}

func on(faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	return "; on: " + strings.Join(faults, ", ")
}

func share(n, of int) string {
	if of == 0 {
		return "    -"
	}
	return fmt.Sprintf("%4.0f%%", 100*float64(n)/float64(of))
}

func bar(done, of time.Duration) string {
	n := 0
	if of > 0 {
		n = int(float64(barWidth) * done.Seconds() / of.Seconds())
	}
	n = min(max(n, 0), barWidth)
	return "[" + strings.Repeat("=", n) + strings.Repeat(" ", barWidth-n) + "]"
}

// draw lays the screen out.
func (v *view) draw(s lab.Snapshot) string {
	var b strings.Builder
	p := s.Progress
	fmt.Fprintf(&b, "elderyard lab  %s  %s %.0f of %.0f s\n%s\n\n", v.name, bar(s.At, s.Of), s.At.Seconds(), s.Of.Seconds(), v.about)
	fmt.Fprintf(&b, "asked %d   served %d   refused %d   failed %d   no answer %d   retries %d   late %d%s\n\n",
		p.First, p.Served, p.Refused, p.Failed, p.Unhandled, p.Retries, s.Late, takes(p))
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "answered, by class")
	for i, name := range s.Classes {
		if i < len(p.ByClass) {
			fmt.Fprintf(w, "\t%s %s", name, share(p.ByClass[i][1], p.ByClass[i][0]))
		}
	}
	fmt.Fprint(w, "\nby plan")
	for i, name := range s.Plans {
		if i < len(p.ByPlan) {
			fmt.Fprintf(w, "\t%s %s", name, share(p.ByPlan[i][1], p.ByPlan[i][0]))
		}
	}
	fmt.Fprint(w, "\n\ngateway\tstate\ttaken\tCPU\tpeak MB\tdescriptors\n")
	for _, g := range s.Gateways {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f s\t%.0f\t%d\n", g.Name, g.State, g.Taken, g.CPU.Seconds(), g.PeakMB, g.Files)
	}
	w.Flush()
	fmt.Fprint(&b, "\nbackends  ")
	for _, n := range s.Nodes {
		if n.Down {
			fmt.Fprintf(&b, "%s down  ", n.Name)
		} else {
			fmt.Fprintf(&b, "%s %d+%d  ", n.Name, n.Held-n.Waiting, n.Waiting)
		}
	}
	fmt.Fprint(&b, "\nfaults    ")
	if len(s.Faults) == 0 {
		fmt.Fprint(&b, "none")
	}
	fmt.Fprintln(&b, strings.Join(s.Faults, ", "))
	fmt.Fprintln(&b)
	for _, e := range v.events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

// printVerdict is the summary at the end.
func printVerdict(out io.Writer, v *audit.Verdict, cost lab.Cost) {
	c := v.Counts
	fmt.Fprintf(out, "\nservice %.3f of the worth asked for inside the quotas\n", v.Service)
	for _, list := range [][]audit.Service{v.Classes, v.Plans} {
		for _, s := range list {
			fmt.Fprintf(out, "  %s %.3f", s.Name, s.Share())
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%d first tries, %d tries, %d attempts; ", c.First, c.Tries, c.Attempts)
	for _, o := range []audit.Outcome{audit.Served, audit.Refused, audit.Failed, audit.NoAnswer, audit.Closed, audit.NotTaken, audit.Unfinished} {
		if c.Outcomes[o] > 0 {
			fmt.Fprintf(out, "%d %s, ", c.Outcomes[o], o)
		}
	}
	fmt.Fprintf(out, "%d excused by a fault of a gateway's own, %d bad requests\n", c.Excused, c.Bad)
	if c.Takes > 0 {
		fmt.Fprintf(out, "%d limit commands, %g units granted by them; %d answers from a local share\n", c.Takes, c.Granted, c.Local)
	}
	if q := v.Worst; q.Plan != "" && q.Units > 0 {
		fmt.Fprintf(out, "furthest beyond a quota: account %016x (%s), %.1f units or %.0f%% of the %.1f allowed between %.1f and %.1f s\n",
			q.Customer, q.Plan, q.Units, q.Percent, q.Allowed, q.From.Seconds(), q.To.Seconds())
	} else {
		fmt.Fprintln(out, "no account went beyond its quota")
	}
	price := 0.0
	for _, p := range v.Beyond {
		fmt.Fprintf(out, "beyond quotas: %s %.1f of %.0f units; ", p.Plan, p.Beyond, p.Units)
		price += p.Cost
	}
	fmt.Fprintf(out, "they cost %.4f of the worth asked for inside\n", price)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "gateway\ttaken\tCPU\ta request\tpeak MB\tdescriptors")
	for _, p := range v.Processes {
		each := time.Duration(0)
		if p.Requests > 0 {
			each = p.CPU / time.Duration(p.Requests)
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f s\t%v\t%.1f\t%d\n", p.Gateway, p.Requests, p.CPU.Seconds(), each.Round(time.Microsecond), p.PeakMB, p.Files)
	}
	fmt.Fprintln(w)
	for _, f := range v.Findings {
		state := "kept"
		switch {
		case f.Broken > 0:
			state = fmt.Sprintf("BROKEN %d times", f.Broken)
		case f.Void > 0:
			state = fmt.Sprintf("void, %d could not be ruled on", f.Void)
		}
		fmt.Fprintf(w, "%s\t%s\n", f.Rule, state)
	}
	w.Flush()
	for _, f := range v.Findings {
		for _, e := range f.Evidence {
			fmt.Fprintf(out, "  %s, %s\n", f.Rule, evidence(e))
		}
		for _, e := range f.Voided {
			fmt.Fprintf(out, "  void: %s, %s\n", f.Rule, evidence(e))
		}
	}
	if v.Counts.LateWindows > 0 {
		fmt.Fprintf(out, "the machine ran late in %d moments, the first: %s\n", v.Counts.LateWindows, v.Late[0])
	}
	if v.Lost > 0 {
		fmt.Fprintf(out, "%d records found no room: no verdict on what they held\n", v.Lost)
	}
	fmt.Fprintf(out, "the lab itself took %.1f s of CPU (%.2f cores) and %.0f MB\nverdict: %s\n", cost.CPU.Seconds(), cost.Cores, cost.PeakMB, v.State())
}

func evidence(e audit.Evidence) string {
	text := fmt.Sprintf("at %.3f s", e.At.Seconds())
	for _, part := range [][2]string{{"request", e.Request}, {"gateway", e.Gateway}, {"backend", e.Backend}} {
		if part[1] != "" {
			text += ", " + part[0] + " " + part[1]
		}
	}
	return text + ": " + e.Text
}
