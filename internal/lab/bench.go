package lab

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"time"

	"elderyard/internal/lab/load"
	"elderyard/internal/output"
	"elderyard/internal/wait"
)

// Bench states a measurement of the gateway next to another proxy on the same
// backends, taking turns.
type Bench struct {
	Rounds  int           // turns of each
	For     time.Duration // of each turn's two parts
	Clients int           // that ask at once in the first part
	Rate    float64       // requests a second in the second
	Gateway string        // see Site
	// Export measures the gateway that exports next to one that does not, in place of
	// the proxy: "on", metrics and one story in a hundred; "dead", the same with no collector there.
	Export string
	// Proxy returns the command of the other proxy, which listens at an address,
	// passes on to backends and answers 200 at /health/ready.
	Proxy func(listen string, backends []string) *exec.Cmd
	Log   func(format string, a ...any)
}

// Turn is what one turn of one program came to.
type Turn struct {
	Program    string        `json:"program"`
	Round      int           `json:"round"`
	Requests   int           `json:"requests"` // of the first part, answered 200
	PerSecond  float64       `json:"per_second"`
	PerCPU     float64       `json:"per_cpu_second"` // requests in a second of CPU: what one core bears
	CPUFull    time.Duration `json:"cpu_full_ns"`    // a request, in the first part
	CPU        time.Duration `json:"cpu_ns"`         // a request, in the second
	Median     time.Duration `json:"median_ns"`      // in the second, with the backends' own 2 ms
	P99        time.Duration `json:"p99_ns"`
	PeakMB     float64       `json:"peak_mb"` // so far
	Unserved   int           `json:"unserved"`
	LateClient int           `json:"late_clients"` // the lab itself ran late so often
}

// Spread is a figure over all turns of a program.
type Spread struct {
	Least, Middle, Most float64
}

// Ratio is one figure of the gateway over that of the other proxy.
type Ratio struct {
	Figure  string `json:"figure"`
	Unit    string `json:"unit"`
	Gateway Spread `json:"gateway"`
	Proxy   Spread `json:"proxy"`
	Ratio   Spread `json:"ratio"` // of turns next to each other
}

// Result is a whole measurement.
type Result struct {
	Against string  `json:"against"` // what the gateway is next to
	Turns   []Turn  `json:"turns"`
	Ratios  []Ratio `json:"ratios"`
}

const (
	benchWork    = 2 * time.Millisecond
	benchNodes   = 4
	benchRest    = 300 * time.Millisecond // before each part, for what the last one left
	benchWarm    = 500 * time.Millisecond // before the first turn of each program
	proxyName    = "proxy"
	gatewayBench = "gateway"
	exportOn     = "on"
	exportDead   = "dead"
)

// Run measures. An error means that there are no figures.
func (b *Bench) Run(ctx context.Context) (Result, error) {
	var r Result
	if b.Rounds < 1 || b.For < 100*time.Millisecond || b.Clients < 1 || b.Rate <= 0 || b.Proxy == nil {
		return r, errors.New("bench: rounds, clients, rate and a time of 100 ms and more are needed")
	}
	site := Site{Gateways: 1, Nodes: benchNodes, Cells: 1, Rate: b.Rate, For: time.Second, Gateway: b.Gateway, Log: b.Log, bench: true}
	r.Against = proxyName
	switch b.Export {
	case "":
		site.others = []other{{proxyName, b.Proxy}}
	case exportOn, exportDead:
		r.Against = "gateway without export"
		site.Gateways, site.Export = 2, true
	default:
		return r, fmt.Errorf("bench: export %q is neither %s nor %s", b.Export, exportOn, exportDead)
	}
	l, err := Open(ctx, site)
	if err != nil {
		return r, err
	}
	defer l.Close()
	if b.Export == exportDead {
		for _, k := range l.collector.Links() {
			k.Down()
		}
	}
	customers, _, err := load.Timeline(load.Config{Seed: 1, Rate: 50, For: time.Second, Gateways: 1, Plans: l.site.plans(), Classes: l.site.classes()})
	if err != nil {
		return r, err
	}
	for _, g := range l.gateways {
		if _, err := l.clients.Closed(l.ctx, g.rank, customers, b.Clients, benchWarm, 0); err != nil {
			return r, err
		}
	}
	for round := range b.Rounds {
		for i, g := range l.gateways {
			t, err := b.turn(l, g, customers)
			if err != nil {
				return r, err
			}
			t.Program, t.Round = []string{gatewayBench, r.Against}[i], round
			r.Turns = append(r.Turns, t)
			if b.Log != nil {
				b.Log("round %d, %s: %.0f requests a second, %v of CPU each at full load and %v at %g a second, median %v, 99th percentile %v",
					round+1, t.Program, t.PerSecond, t.CPUFull.Round(time.Microsecond), t.CPU.Round(time.Microsecond), b.Rate,
					t.Median.Round(10*time.Microsecond), t.P99.Round(10*time.Microsecond))
			}
		}
	}
	for _, g := range l.gateways {
		if _, err := l.retireGateway(g); err != nil { // not killed: one may be writing a profile
			return r, err
		}
	}
	r.Ratios = ratios(r.Turns)
	return r, nil
}

func (b *Bench) turn(l *Lab, g *gatewayProcess, customers []*load.Customer) (t Turn, err error) {
	late := l.lateSoFar()
	wait.For(l.ctx, benchRest)
	cpu := l.cpuOf(g)
	full, err := l.clients.Closed(l.ctx, g.rank, customers, b.Clients, b.For, 0)
	if err != nil {
		return t, err
	}
	used := l.cpuOf(g) - cpu
	t.Requests, t.Unserved = full.Served, full.Other
	t.PerSecond = float64(full.Served) / full.Took.Seconds()
	if full.Served == 0 || used <= 0 {
		return t, fmt.Errorf("bench: %s served nothing: %s", g.name, output.FailureLine(g.output.String()))
	}
	t.PerCPU = float64(full.Served) / used.Seconds()
	t.CPUFull = used / time.Duration(full.Served)

	wait.For(l.ctx, benchRest)
	cpu = l.cpuOf(g)
	calm, err := l.clients.Closed(l.ctx, g.rank, customers, b.Clients, b.For, b.Rate)
	if err != nil {
		return t, err
	}
	used = l.cpuOf(g) - cpu
	if calm.Served == 0 {
		return t, fmt.Errorf("bench: %s served nothing: %s", g.name, output.FailureLine(g.output.String()))
	}
	t.CPU = used / time.Duration(calm.Served)
	t.Unserved += calm.Other
	slices.Sort(calm.Times)
	t.Median, t.P99 = calm.Times[len(calm.Times)/2], calm.Times[len(calm.Times)*99/100]
	t.PeakMB = g.process().PeakMB
	t.LateClient = l.lateSoFar() - late
	return t, nil
}

func (l *Lab) lateSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.late)
}

// cpuOf is the CPU time that a process has used so far.
func (l *Lab) cpuOf(g *gatewayProcess) time.Duration {
	now := time.Now()
	l.look(g, now, now, false)
	return g.process().CPU
}

func ratios(turns []Turn) (list []Ratio) {
	for _, f := range []struct {
		name, unit string
		of         func(Turn) float64
	}{
		{"CPU a request, full load", "µs", func(t Turn) float64 { return float64(t.CPUFull) / 1000 }},
		{"CPU a request, fixed rate", "µs", func(t Turn) float64 { return float64(t.CPU) / 1000 }},
		{"requests a second on one core", "/s", func(t Turn) float64 { return t.PerCPU }},
		{"median", "ms", func(t Turn) float64 { return t.Median.Seconds() * 1000 }},
		{"99th percentile", "ms", func(t Turn) float64 { return t.P99.Seconds() * 1000 }},
		{"peak memory", "MB", func(t Turn) float64 { return t.PeakMB }},
	} {
		var g, p, r []float64
		for i := 0; i+1 < len(turns); i += 2 {
			a, b := f.of(turns[i]), f.of(turns[i+1])
			g, p = append(g, a), append(p, b)
			if b > 0 {
				r = append(r, a/b)
			}
		}
		list = append(list, Ratio{f.name, f.unit, spread(g), spread(p), spread(r)})
	}
	return list
}

func spread(v []float64) Spread {
	if len(v) == 0 {
		return Spread{}
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return Spread{v[0], v[len(v)/2], v[len(v)-1]}
}
