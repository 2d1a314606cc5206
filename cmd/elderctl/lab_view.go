package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/term"

	"elderyard/internal/lab"
	"elderyard/internal/lab/load"
)

const (
	screenInterval = 250 * time.Millisecond // between updates of the screen
	lineInterval   = 2 * time.Second        // between lines without a screen
	maxEvents      = 8                      // shown on the screen
	barWidth       = 30                     // characters of the progress bar
	defaultWidth   = 100                    // characters, if the size of the screen is unknown
)

// labView shows a running lab: a screen that is redrawn in a terminal, lines elsewhere. It is safe for concurrent use.
type labView struct {
	out         io.Writer
	screen      bool
	name        string
	description string
	start       time.Time

	mu         sync.Mutex
	events     []string
	drawnLines int // number of lines of the last redraw
}

func newLabView(out io.Writer, name, about string) *labView {
	v := &labView{out: out, name: name, description: about, start: time.Now()}
	if f, ok := out.(*os.File); ok {
		v.screen = term.IsTerminal(int(f.Fd())) && os.Getenv("TERM") != "dumb"
	}
	if !v.screen {
		fmt.Fprintf(out, "scenario %s: %s\n", name, about)
	}
	return v
}

// event shows a line about an event, with the time since the start.
func (v *labView) event(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	line := fmt.Sprintf("%6.1fs  ", time.Since(v.start).Seconds()) + fmt.Sprintf(format, args...)
	if !v.screen {
		fmt.Fprintln(v.out, line)
		return
	}
	if v.events = append(v.events, line); len(v.events) > maxEvents {
		v.events = v.events[1:]
	}
}

// follow shows snapshots until ctx is done, and then a last one.
func (v *labView) follow(ctx context.Context, snapshot func() lab.Snapshot) {
	interval := lineInterval
	if v.screen {
		interval = screenInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			v.show(snapshot())
			return
		case <-ticker.C:
			v.show(snapshot())
		}
	}
}

// show redraws the screen or prints a line.
func (v *labView) show(s lab.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.screen {
		p := s.Progress
		fmt.Fprintf(v.out, "%5.0f of %.0f s: %d asked, %d served, %d refused, %d failed, %d without an answer, %d retries%s; gateways %s%s\n",
			s.At.Seconds(), s.Of.Seconds(), p.First, p.Served, p.Refused, p.Failed, p.Unhandled, p.Retries, formatLimitCommands(p), formatStates(s.Gateways), formatFaults(s.Faults))
		return
	}
	v.redraw(v.draw(s))
}

// redraw replaces the text that it wrote last.
func (v *labView) redraw(text string) {
	if v.drawnLines > 0 {
		fmt.Fprintf(v.out, "\x1b[%dA", v.drawnLines)
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	width := screenWidth(v.out)
	for _, line := range lines {
		if r := []rune(line); len(r) >= width {
			line = string(r[:width-1]) // a wrapped line would shift the screen
		}
		fmt.Fprintf(v.out, "\x1b[2K%s\n", line)
	}
	for range max(0, v.drawnLines-len(lines)) {
		fmt.Fprint(v.out, "\x1b[2K\n")
	}
	v.drawnLines = max(v.drawnLines, len(lines))
}

// screenWidth returns the width of a terminal in characters.
func screenWidth(out io.Writer) int {
	if file, ok := out.(*os.File); ok {
		if width, _, err := term.GetSize(int(file.Fd())); err == nil && width > 20 {
			return width
		}
	}
	return defaultWidth
}

// formatLimitCommands formats the number of limit commands, "" if there were none.
func formatLimitCommands(p load.Progress) string {
	if p.Takes == 0 {
		return ""
	}
	return fmt.Sprintf("; %d limit commands, %d granted", p.Takes, p.Granted)
}

func formatStates(gateways []lab.GatewayShot) string {
	var parts []string
	for _, gateway := range gateways {
		parts = append(parts, gateway.Name+" "+string(gateway.State))
	}
	return strings.Join(parts, ", ")
}

func formatFaults(faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	return "; on: " + strings.Join(faults, ", ")
}

// percentOf formats n as a percentage of a total, or as a dash if the total is 0.
func percentOf(n, of int) string {
	if of == 0 {
		return "    -"
	}
	return fmt.Sprintf("%4.0f%%", 100*float64(n)/float64(of))
}

// progressBar returns a progress bar that shows done of a total.
func progressBar(done, of time.Duration) string {
	n := 0
	if of > 0 {
		n = int(float64(barWidth) * done.Seconds() / of.Seconds())
	}
	n = min(max(n, 0), barWidth)
	return "[" + strings.Repeat("=", n) + strings.Repeat(" ", barWidth-n) + "]"
}

// draw returns the text of the screen.
func (v *labView) draw(snapshot lab.Snapshot) string {
	var b strings.Builder
	p := snapshot.Progress
	fmt.Fprintf(&b, "elderyard lab  %s  %s %.0f of %.0f s\n%s\n\n", v.name, progressBar(snapshot.At, snapshot.Of), snapshot.At.Seconds(), snapshot.Of.Seconds(), v.description)
	fmt.Fprintf(&b, "asked %d   served %d   refused %d   failed %d   no answer %d   retries %d   late %d%s\n\n",
		p.First, p.Served, p.Refused, p.Failed, p.Unhandled, p.Retries, snapshot.Late, formatLimitCommands(p))
	w := newTable(&b)
	fmt.Fprint(w, "answered, by class")
	for i, name := range snapshot.Classes {
		if i < len(p.ByClass) {
			fmt.Fprintf(w, "\t%s %s", name, percentOf(p.ByClass[i][1], p.ByClass[i][0]))
		}
	}
	fmt.Fprint(w, "\nby plan")
	for i, name := range snapshot.Plans {
		if i < len(p.ByPlan) {
			fmt.Fprintf(w, "\t%s %s", name, percentOf(p.ByPlan[i][1], p.ByPlan[i][0]))
		}
	}
	fmt.Fprint(w, "\n\ngateway\tstate\ttaken\tCPU\tpeak MB\tdescriptors\n")
	for _, g := range snapshot.Gateways {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f s\t%.0f\t%d\n", g.Name, g.State, g.Taken, g.CPU.Seconds(), g.PeakMB, g.Files)
	}
	w.Flush()
	fmt.Fprint(&b, "\nbackends  ")
	for _, n := range snapshot.Nodes {
		if n.Down {
			fmt.Fprintf(&b, "%s down  ", n.Name)
		} else {
			fmt.Fprintf(&b, "%s %d+%d  ", n.Name, n.Held-n.Waiting, n.Waiting)
		}
	}
	fmt.Fprint(&b, "\nfaults    ")
	if len(snapshot.Faults) == 0 {
		fmt.Fprint(&b, "none")
	}
	fmt.Fprintln(&b, strings.Join(snapshot.Faults, ", "))
	fmt.Fprintln(&b)
	for _, e := range v.events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}
