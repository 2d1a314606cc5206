package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/procfs"
)

const (
	heartbeat  = 5 * time.Millisecond
	lateBeat   = 25 * time.Millisecond  // a beat so late makes the machine late
	sampleGap  = 100 * time.Millisecond // between looks at processes
	lateRun    = 25 * time.Millisecond  // so long ready to run and not run, in one gap
	filesEvery = 5                      // samples between counts of descriptors
	mostLate   = 10000                  // windows kept
	clockTick  = 10 * time.Millisecond  // of the CPU times in /proc
)

// usage is what one gateway's processes used.
type usage struct {
	peakMB float64
	files  int
	cpu    time.Duration // of lives that are over
	cpuNow time.Duration // of the present one
	delay  delay
}

// delay is for how long a process was ready to run and did not, at the last look.
type delay struct {
	waited time.Duration
	pid    int // that the look was at
}

// since takes a look, and returns how much that grew since the last; 0 of another process.
func (d *delay) since(pid int, waited time.Duration) (grew time.Duration) {
	if d.pid == pid {
		grew = waited - d.waited
	}
	d.pid, d.waited = pid, waited
	return grew
}

// bank takes the books of a life that is over. The lock on the gateway is held.
func (u *usage) bank(s *os.ProcessState) {
	u.cpu += s.UserTime() + s.SystemTime()
	u.cpuNow = 0
}

// watchClock looks at the lab's own clock until ctx
// ends.
func (l *Lab) watchClock(ctx context.Context) {
	WatchLateness(ctx, func(from, to time.Time, late time.Duration) {
		l.Late(from, to, fmt.Sprintf("the lab's own clock stood still for %v", late.Round(time.Millisecond)))
	})
}

// WatchLateness reports, until ctx ends, each time in which the machine did not wake this process in time. What was
// measured then says nothing of the processes that it measures.
func WatchLateness(ctx context.Context, report func(from, to time.Time, late time.Duration)) {
	last := time.Now()
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			if late := now.Sub(last) - heartbeat; late > lateBeat {
				report(last, now, late)
			}
			last = now
		}
	}
}

func (l *Lab) watchProcesses(ctx context.Context) {
	tick := time.NewTicker(sampleGap)
	defer tick.Stop()
	last := time.Now()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		for _, g := range l.gateways {
			l.look(g, last, now, n%filesEvery == 0)
		}
		for _, a := range l.takingAgents() {
			l.lookAgent(a, last, now)
		}
		last = now
	}
}

// look takes one sample of a gateway's process. What can't be read, as at its
// end, is left out.
func (l *Lab) look(g *gatewayProcess, from, to time.Time, files bool) {
	pid := g.pid()
	if pid == 0 {
		return
	}
	dir := "/proc/" + strconv.Itoa(pid)
	peak, cpu, waited := peakMB(dir), cpuTime(dir), runDelay(dir)
	open := 0
	if files {
		if list, err := os.ReadDir(dir + "/fd"); err == nil {
			open = len(list)
		}
	}
	g.mu.Lock()
	u := &g.usage
	u.peakMB, u.files = max(u.peakMB, peak), max(u.files, open)
	if cpu > 0 && g.state != Dead {
		u.cpuNow = cpu
	}
	late := u.delay.since(pid, waited)
	g.mu.Unlock()
	l.delayed(g.name, late, from, to)
}

// delayed notes that a process had no core for so long, if that was long.
func (l *Lab) delayed(name string, late time.Duration, from, to time.Time) {
	if late > lateRun {
		l.lateFor(name, from, to, late, fmt.Sprintf("%s was ready to run and not run for %v", name, late.Round(time.Millisecond)))
	}
}

// lookAgent notes for how long an agent that takes limit commands was ready to run and
// had no core: its answers came late by as much.
func (l *Lab) lookAgent(a *agentProcess, from, to time.Time) {
	a.mu.Lock()
	pid := 0
	if a.cmd != nil && a.cmd.Process != nil {
		pid = a.cmd.Process.Pid
	}
	late := a.delay.since(pid, runDelay("/proc/"+strconv.Itoa(pid)))
	a.mu.Unlock()
	l.delayed(a.name, late, from, to)
}

// peakMB returns the highest resident memory of a process, 0 if it is not known.
func peakMB(dir string) float64 {
	fields, err := procfs.Fields(dir + "/status")
	if err != nil {
		return 0
	}
	return float64(fields["VmHWM"]) / procfs.Kilobyte
}

func cpuTime(dir string) time.Duration {
	text, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0
	}
	return time.Duration(user+system) * clockTick
}

// runDelay is for how long a process's threads were ready to run and had no core.
func runDelay(dir string) (sum time.Duration) {
	tasks, err := filepath.Glob(dir + "/task/*/schedstat")
	if err != nil {
		return 0
	}
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if f := strings.Fields(string(text)); len(f) >= 2 {
			if ns, err := strconv.ParseInt(f[1], 10, 64); err == nil {
				sum += time.Duration(ns)
			}
		}
	}
	return sum
}

// Late notes a time in which the machine ran late for all.
func (l *Lab) Late(from, to time.Time, what string) { l.lateFor("", from, to, to.Sub(from), what) }

func (l *Lab) lateFor(gateway string, from, to time.Time, by time.Duration, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.late) < mostLate {
		l.late = append(l.late, audit.Window{Gateway: gateway, From: from, To: to, By: by, What: what})
	} else {
		l.dropped++
	}
}

// Cost is what the lab itself, with its stand-ins and clients, used while the
// load was on.
type Cost struct {
	CPU    time.Duration `json:"cpu_ns"`
	Cores  float64       `json:"cores"` // CPU over the time it took
	PeakMB float64       `json:"peak_mb"`
}

// selfCPU is the CPU time of this process, without its children.
func selfCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Cost returns what the lab itself used, once Play has returned.
func (l *Lab) Cost() Cost {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Cost{CPU: l.cpuAtEnd - l.cpuAtStart, PeakMB: peakMB("/proc/self")}
	if took := l.end.Sub(l.start); took > 0 {
		c.Cores = c.CPU.Seconds() / took.Seconds()
	}
	return c
}
