package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyWithin = 20 * time.Second
	endWithin   = 6 * time.Second // of a gateway after SIGTERM, before it is killed
)

// rig is one run of a case: its record, its folder and what it has started.
type rig struct {
	trouble bool // false: the same without the disruption
	dir     string
	start   time.Time
	gateway string // the command of the deploy file

	mu      sync.Mutex
	record  *os.File
	closers []func()
	closing sync.Once
}

// newRig opens the record and a temporary folder. The working directory must be the root.
func newRig(path string) (*rig, error) {
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = "); found {
			r.gateway = strings.Trim(rest, `"`)
		}
	}
	if r.gateway == "" {
		return nil, errors.New("deploy/balancer.toml names no run")
	}
	if r.dir, err = os.MkdirTemp("", "second"); err != nil {
		return nil, err
	}
	if r.record, err = os.Create(path); err != nil {
		return nil, err
	}
	r.say("trouble: %t", r.trouble)
	return r, nil
}

// say writes a line to the record, with the seconds since the start.
func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers what close does, last first.
func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all that was started. Only the first call does anything, and a later one waits for it.
func (r *rig) close() {
	r.closing.Do(func() {
		r.mu.Lock()
		closers := slices.Clone(r.closers)
		r.mu.Unlock()
		for _, closer := range slices.Backward(closers) {
			closer()
		}
		r.record.Close()
		os.RemoveAll(r.dir)
	})
}

// listen opens a listener on a free loopback port.
func (r *rig) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		r.onClose(func() { l.Close() })
	}
	return l, err
}

// serve serves HTTP on a free loopback port and returns the address.
func (r *rig) serve(handler http.HandlerFunc) (string, error) {
	l, err := r.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	r.onClose(func() { server.Close() })
	go server.Serve(l)
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// instance is one entry of discovery.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Type      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// discovery is the agent on the gateway's machine. It answers at once with what it has, and is silent while discovery is
// down.
type discovery struct {
	rig     *rig
	address string

	mu         sync.Mutex
	list       []instance
	changed    []int // generation in which each entry changed last
	generation int
	down       bool
	news       chan struct{} // closed at the next change
}

// serveDiscovery starts discovery with this list.
func (r *rig) serveDiscovery(list []instance) (*discovery, error) {
	d := &discovery{rig: r, list: slices.Clone(list), changed: make([]int, len(list)), generation: 1, news: make(chan struct{})}
	var err error
	d.address, err = r.serve(d.handle)
	return d, err
}

// change wakes those that wait, after a change of the state.
func (d *discovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	close(d.news)
	d.news = make(chan struct{})
}

// drain has one backend drain. It returns when the agent has the change.
func (d *discovery) drain(n int) {
	d.change(func() {
		d.generation++
		d.list[n].Lifecycle, d.changed[n] = "Terminating", d.generation
		d.rig.say("discovery: the agent has it that %s drains (generation %d)", d.list[n].ID, d.generation)
	})
}

// setDown has discovery go down, or come back.
func (d *discovery) setDown(down bool) {
	d.change(func() {
		d.down = down
		d.rig.say("discovery: down: %t", down)
	})
}

// answer returns what there is to answer to a call, nil if it has to wait until the returned channel is closed.
func (d *discovery) answer(since int, watch, last bool) (answer map[string]any, news chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down:
		return nil, d.news
	case !watch:
		return map[string]any{"generation": d.generation, "reset": true, "instances": slices.Clone(d.list)}, nil
	case d.generation <= since && !last:
		return nil, d.news
	}
	changes := []instance{}
	for n, at := range d.changed {
		if at > since {
			changes = append(changes, d.list[n])
		}
	}
	return map[string]any{"generation": d.generation, "reset": false, "instances": changes}, nil
}

// handle answers one call.
func (d *discovery) handle(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))
	millis, _ := strconv.Atoi(query.Get("timeout_ms"))
	end := time.After(time.Duration(millis) * time.Millisecond)
	for last := false; ; {
		answer, news := d.answer(since, query.Has("since"), last)
		if answer != nil {
			json.NewEncoder(w).Encode(answer)
			d.rig.say("discovery: %q is answered with generation %v, reset %v", request.URL.RawQuery, answer["generation"], answer["reset"])
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-news:
		case <-end:
			last = true
		}
	}
}

// plan is a package of the settings.
type plan map[string]any

// settings returns a gateway's settings: the classes, clients and limits of the operators' example, with these packages.
func settings(rank, fleet int, plans ...plan) map[string]any {
	return map[string]any{
		"fleetSize": fleet, "rank": rank, "tier": 0, "tickS": 0.002, "family": "gate", "layers": []string{"calendar-fleet"},
		"localities": []string{"block-a"}, "locality": 0, "kinds": []string{"std-2core"}, "discovery": "push", "weights": "rough",
		"allowed": map[string]any{"cancel": true, "connectTimeoutS": 0.25, "keepaliveS": 15.0, "maxOpen": 20000, "maxRetryAfterS": 0.5,
			"mayDuplicate": true, "mostTries": 4, "retryAfter": true},
		"classes": []map[string]any{
			{"name": "lookup", "deadlineS": 2.0, "objectiveS": 0.8, "points": 1.0, "effect": "repeatable", "keyScope": "all", "windowS": 5.0},
			{"name": "booking", "deadlineS": 3.0, "objectiveS": 1.0, "points": 3.0, "effect": "by_key", "keyScope": "cell", "windowS": 2.0}},
		"familyInfo":  map[string]any{"hasCounter": true, "counterTimeoutS": 0.05, "counterPrice": 0.02, "mostUnits": 1},
		"loadReport":  map[string]any{"how": "inline", "fields": []string{"busy_reqs", "pending"}},
		"obligations": map[string]any{"answerSlackS": 0.008, "coldFrom": 0.15, "coldS": 17.0, "drainGraceS": 2.0, "fallMultiple": 2.0, "overloadForS": 2.0},
		"prices":      map[string]any{"crossZone": 0.005, "lateFail": 0.03, "waste": 0.08},
		"packages":    plans,
	}
}

// process is one gateway.
type process struct {
	rig     *rig
	name    string
	address string
	command *exec.Cmd
	ended   chan struct{}
}

// startGateway starts a gateway with the command of the deploy file and waits until it is ready. site is the operator's
// file, which may be empty.
func (r *rig) startGateway(name, discovery, counter, site string, settings map[string]any) (*process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return r.startGatewayAt(address, name, discovery, counter, site, settings, nil)
}

// startGatewayAt is startGateway at a given address, with the list of backends as the gateway last had it.
func (r *rig) startGatewayAt(address, name, discovery, counter, site string, settings map[string]any, known []instance) (*process, error) {
	config, err := json.Marshal(map[string]any{"name": name, "listen": address, "discovery": discovery, "counter": counter,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"generation": 0, "reset": true, "instances": append([]instance{}, known...)}, "settings": settings})
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(r.dir, name)
	if err := os.MkdirAll(filepath.Join(folder, "tmp"), 0o700); err != nil {
		return nil, err
	}
	configFile, siteFile := filepath.Join(folder, "config.json"), filepath.Join(folder, "site.toml")
	if err := errors.Join(os.WriteFile(configFile, config, 0o600), os.WriteFile(siteFile, []byte(site), 0o600)); err != nil {
		return nil, err
	}
	p := &process{rig: r, name: name, address: address, command: exec.Command("/bin/sh", "-c", r.gateway), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+address, "EDGE_DISCOVERY="+discovery, "EDGE_CONFIG="+configFile,
		"ELDERYARD_SITE="+siteFile, "TMPDIR="+filepath.Join(folder, "tmp"))
	log := &lineWriter{say: func(line string) { r.say("%s says: %s", name, line) }}
	p.command.Stdout, p.command.Stderr = log, log
	r.say("%s is started", name)
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { p.command.Wait(); close(p.ended) }()
	r.onClose(p.end)
	for deadline := time.Now().Add(readyWithin); ; time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + address + "/health/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.say("%s is ready", name)
				return p, nil
			}
		}
		if time.Now().After(deadline) || p.hasEnded() {
			return nil, fmt.Errorf("%s does not become ready", name)
		}
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.rig.say("SIGTERM to %s", p.name)
	p.command.Process.Signal(syscall.SIGTERM)
}

// end ends the process.
func (p *process) end() {
	if p.hasEnded() {
		return
	}
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(endWithin):
		p.command.Process.Kill()
		<-p.ended
	}
}

// lineWriter passes on what is written to it, line by line.
type lineWriter struct {
	say  func(string)
	rest string
}

// Write passes on the complete lines.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest += string(p)
	for {
		line, rest, found := strings.Cut(w.rest, "\n")
		if !found {
			return len(p), nil
		}
		w.say(line)
		w.rest = rest
	}
}

// sleep waits, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
