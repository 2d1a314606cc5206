// Package rig holds the stand-ins that the scripts of the review use: discovery, a counter, backends, and the platform
// that starts a gateway with the command of the deploy file. All listen on loopback addresses with free ports.
package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Unable = 2
)

// Rig is one run of a case: its record, its temporary folder and the processes that it has started.
type Rig struct {
	Root string // of the repository
	Dir  string // temporary folder, removed by Close
	// Quiet leaves single requests out of the record. It is set before anything starts.
	Quiet bool

	start   time.Time
	mu      sync.Mutex
	record  *os.File
	closers []func()
}

// New begins a run in the folder of a case. The record is written to record.txt there.
func New(folder string) (*Rig, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Root: filepath.Dir(filepath.Dir(folder)), Dir: dir, start: time.Now(), record: record}
	r.OnClose(func() { os.RemoveAll(dir); record.Close() })
	return r, nil
}

// Trouble reports whether the run is to have its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// OnClose registers a function that Close calls, the last one first.
func (r *Rig) OnClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// Close ends what the run has started.
func (r *Rig) Close() {
	r.mu.Lock()
	list := r.closers
	r.closers = nil
	r.mu.Unlock()
	for n := len(list) - 1; n >= 0; n-- {
		list[n]()
	}
}

// Log writes a line to the record, with the time since the start in seconds.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// LogRequest writes a line on a single request, unless Quiet is set.
func (r *Rig) LogRequest(format string, args ...any) {
	if !r.Quiet {
		r.Log(format, args...)
	}
}

// Listen opens a listener on a free port of 127.0.0.1, which Close closes.
func (r *Rig) Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		r.OnClose(func() { l.Close() })
	}
	return l, err
}

// FreeAddress returns an address of 127.0.0.1 with a port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Counter is the shared counter. It adds and answers at once.
type Counter struct {
	Address string

	mu     sync.Mutex
	totals map[string]total
}

// total is one name of the counter.
type total struct {
	value float64
	until time.Time
}

// StartCounter starts a counter.
func (r *Rig) StartCounter() (*Counter, error) {
	l, err := r.Listen()
	if err != nil {
		return nil, err
	}
	c := &Counter{Address: l.Addr().String(), totals: map[string]total{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/count/{name}", c.add)
	go http.Serve(l, mux)
	return c, nil
}

func (c *Counter) add(w http.ResponseWriter, request *http.Request) {
	amount, err := strconv.ParseFloat(request.URL.Query().Get("add"), 64)
	life, lifeErr := strconv.Atoi(request.URL.Query().Get("ttl_ms"))
	if err != nil || lifeErr != nil || life < 1 {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	name, now := request.PathValue("name"), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.totals[name]
	if now.After(entry.until) {
		entry = total{until: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
	}
	entry.value += amount
	c.totals[name] = entry
	fmt.Fprintf(w, "%g", entry.value)
}

// Instance is one backend in discovery's list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listing is an answer of discovery.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery serves the list of backends and its changes.
type Discovery struct {
	Address string

	rig     *Rig
	mu      sync.Mutex
	changes []Instance // generation n is changes[n-1]
	changed chan struct{}
}

// StartDiscovery starts discovery with an empty list.
func (r *Rig) StartDiscovery() (*Discovery, error) {
	l, err := r.Listen()
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), rig: r, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.list)
	go http.Serve(l, mux)
	return d, nil
}

// Set adds an instance to the list, or changes it.
func (d *Discovery) Set(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, i)
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.Log("discovery: %s is %s", i.ID, i.Lifecycle)
}

// after returns the instances that changed after a generation, each as it is now.
func (d *Discovery) after(since int64) (out listing, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out = listing{Generation: int64(len(d.changes)), Instances: []Instance{}}
	at := map[string]int{}
	for n := int(since); n < len(d.changes); n++ {
		i := d.changes[n]
		if place, known := at[i.ID]; known {
			out.Instances[place] = i
			continue
		}
		at[i.ID] = len(out.Instances)
		out.Instances = append(out.Instances, i)
	}
	return out, d.changed
}

func (d *Discovery) list(w http.ResponseWriter, request *http.Request) {
	text := request.URL.Query().Get("since")
	since, err := strconv.ParseInt(text, 10, 64)
	if text == "" || err != nil {
		out, _ := d.after(0)
		out.Reset = true
		kept := []Instance{}
		for _, i := range out.Instances {
			if i.Lifecycle != "Gone" {
				kept = append(kept, i)
			}
		}
		out.Instances = kept
		json.NewEncoder(w).Encode(out)
		return
	}
	wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		out, changed := d.after(since)
		if len(out.Instances) > 0 {
			json.NewEncoder(w).Encode(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			json.NewEncoder(w).Encode(out)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// GatewayOptions are what a gateway is told beside its name and addresses.
type GatewayOptions struct {
	Name      string
	Discovery string
	Counter   string
	Settings  string // JSON
	Listen    string // "": a free port
	Operator  string // "": none
	Program   string // command in place of the deploy file's run; "": that
	MemoryMB  int    // 0: 192
	Sockets   int    // 0: 1024
}

// Gateway is a gateway that runs as a process of its own.
type Gateway struct {
	Address  string
	Operator string
	Process  *exec.Cmd
	Ended    chan struct{} // closed when the process has ended

	config string
	rig    *Rig
	told   GatewayOptions
}

// runCommand returns the run line of the deploy file.
func (r *Rig) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml names no run")
	}
	return string(match[1]), nil
}

// StartGateway starts a gateway with the command of the deploy file, and waits until it is ready.
func (r *Rig) StartGateway(o GatewayOptions) (*Gateway, error) {
	run := o.Program
	var err error
	if run == "" {
		if run, err = r.runCommand(); err != nil {
			return nil, err
		}
	}
	if o.Listen == "" {
		if o.Listen, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	g := &Gateway{Address: o.Listen, Operator: o.Operator, Ended: make(chan struct{}), rig: r, told: o,
		config: filepath.Join(r.Dir, o.Name+".json")}
	if err := g.WriteConfig(o.Discovery, o.Counter); err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp(r.Dir, "tmp-")
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(r.Dir, o.Name+"-"+filepath.Base(temporary)+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	g.Process = exec.Command("/bin/sh", "-c", run)
	g.Process.Dir, g.Process.Stdout, g.Process.Stderr = r.Root, output, output
	g.Process.Env = append(os.Environ(), "EDGE_NAME="+o.Name, "EDGE_LISTEN="+o.Listen, "EDGE_DISCOVERY="+o.Discovery,
		"EDGE_CONFIG="+g.config, "TMPDIR="+temporary)
	if o.Operator != "" {
		g.Process.Env = append(g.Process.Env, "EDGE_OPERATOR="+o.Operator)
	}
	if err := g.Process.Start(); err != nil {
		return nil, err
	}
	r.Log("gateway %s started on %s", o.Name, o.Listen)
	go func() {
		err := g.Process.Wait()
		r.Log("gateway %s ended: %v", o.Name, err)
		text, _ := os.ReadFile(output.Name())
		if len(text) > 0 {
			r.Log("its log:\n%s", text)
		}
		close(g.Ended)
	}()
	r.OnClose(func() {
		g.Process.Process.Signal(syscall.SIGCONT)
		g.Process.Process.Kill()
		<-g.Ended
	})
	return g, g.awaitReady(30 * time.Second)
}

// WriteConfig replaces the gateway's configuration.
func (g *Gateway) WriteConfig(discovery, counter string) error {
	text, err := json.Marshal(map[string]any{"name": g.told.Name, "listen": g.Address, "discovery": discovery, "counter": counter,
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(g.told.MemoryMB, 192), "sockets": cmp.Or(g.told.Sockets, 1024)},
		"known":  listing{Reset: true, Instances: []Instance{}}, "settings": json.RawMessage(g.told.Settings)})
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.config+".new", g.config)
}

// Resident returns the resident memory of the gateway's process in bytes, 0 once it has ended.
func (g *Gateway) Resident() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.Process.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func (g *Gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-g.Ended:
			return fmt.Errorf("gateway %s ended before it was ready", g.told.Name)
		default:
		}
		response, err := client.Get("http://" + g.Address + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.rig.Log("gateway %s is ready", g.told.Name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s was not ready within %v", g.told.Name, limit)
}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(s os.Signal) {
	g.rig.Log("gateway %s gets %v", g.told.Name, s)
	g.Process.Process.Signal(s)
}
