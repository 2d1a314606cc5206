package lab

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"elderyard/internal/strict"
)

//go:embed scenarios/*.toml
var shipped embed.FS

// Scenario is a site with what is played on it, as a file states it. Fields that
// are 0 have the defaults of Site.
type Scenario struct {
	Name     string `toml:"-"`
	About    string `toml:"about" doc:"one line for the list of scenarios (needed)"`
	Provokes string `toml:"provokes" doc:"what the gateway has to cope with (needed)"`

	Gateways   int             `toml:"gateways" doc:"gateway processes, 1 to 32; else 3"`
	Nodes      int             `toml:"nodes" doc:"backends, 1 to 200; else 9"`
	Cells      int             `toml:"cells" doc:"groups of backends that drop each other's repeats; else one for each four"`
	Rate       float64         `toml:"rate" doc:"requests a second inside the quotas; else 95"`
	Busy       float64         `toml:"busy" doc:"share of what the backends can do that the rate takes; else 0.65"`
	For        strict.Duration `toml:"for" doc:"length of the load, such as \"20s\"; else 20s"`
	Seed       uint64          `toml:"seed" doc:"draws customers, arrivals and targets; else 1"`
	MemoryMB   int             `toml:"memory_mb" doc:"a gateway's memory limit; else 96"`
	Sockets    int             `toml:"sockets" doc:"a gateway's limit on descriptors; else 1024"`
	Greedy     float64         `toml:"greedy" doc:"an extra account asks for so many times its quota, all the time; else none"`
	GreedyIn   string          `toml:"greedy_in" doc:"the plan of that account; else basic"`
	Takes      float64         `toml:"takes" doc:"share of what accounts ask for that comes as limit commands over RESP, 0 to 1; else none"`
	Store      string          `toml:"store" doc:"the shared counter: http, or resp for a store that speaks RESP; else http"`
	Export     bool            `toml:"export" doc:"a collector takes all stories and metrics of the gateways by OTLP; else none"`
	Peers      bool            `toml:"peers" doc:"the gateways know each other, every pair by a way of its own; else they do not"`
	Every      strict.Duration `toml:"every" doc:"between a gateway's probes of the others; else 500ms"`
	Honour     float64         `toml:"honour" doc:"share of clients that wait as Retry-After says; else 0.7; -1: none"`
	Ceiling    float64         `toml:"ceiling" doc:"hard ceiling of every account, in times its quota; else none"`
	Overshoot  float64         `toml:"overshoot" doc:"so much an account may go over its quota, in percent of its burst; else 200"`
	SpareUnits float64         `toml:"spare_units" doc:"units that it may go over beside that; else 2"`

	Faults []ScenarioFault `toml:"fault" doc:"one thing that goes wrong; as many as wanted"`
}

// ScenarioFault is a Fault as a file states it.
type ScenarioFault struct {
	Kind    string          `toml:"kind" doc:"see the list of faults (needed)"`
	At      strict.Duration `toml:"at" doc:"from the start of the load"`
	For     strict.Duration `toml:"for" doc:"how long; else for good"`
	Targets []string        `toml:"targets" doc:"names such as [\"n3\"] or [\"g0\"]; else a share of all"`
	Share   float64         `toml:"share" doc:"of the possible targets, 0 to 1, at least one; else all"`
	Size    float64         `toml:"size" doc:"what it means stands with the kind"`
	Plan    string          `toml:"plan" doc:"of a surge"`
}

// ParseScenario reads a scenario. File names it in errors.
func ParseScenario(file string, text []byte) (Scenario, error) {
	s := Scenario{Name: strings.TrimSuffix(path.Base(file), ".toml")}
	if err := strict.Decode(file, text, &s); err != nil {
		return s, err
	}
	for key, value := range map[string]string{"about": s.About, "provokes": s.Provokes} {
		if value == "" {
			return s, strict.ErrorAt(file, text, key, "is missing")
		}
	}
	site := s.Site()
	site.defaults()
	if err := site.check(); err != nil {
		return s, strict.ErrorAt(file, text, err.key, "%s", err.text)
	}
	return s, nil
}

// Site is what the scenario asks for.
func (s *Scenario) Site() Site {
	site := Site{Gateways: s.Gateways, Nodes: s.Nodes, Cells: s.Cells, Rate: s.Rate, Busy: s.Busy, For: time.Duration(s.For), Seed: s.Seed,
		MemoryMB: s.MemoryMB, Sockets: s.Sockets, Greedy: s.Greedy, Honour: s.Honour, Ceiling: s.Ceiling, Overshoot: s.Overshoot,
		SpareUnits: s.SpareUnits, GreedyIn: s.GreedyIn, Takes: s.Takes, Store: s.Store, Export: s.Export,
		Peers: s.Peers, Every: time.Duration(s.Every)}
	for _, f := range s.Faults {
		site.Faults = append(site.Faults, Fault{Kind: f.Kind, At: time.Duration(f.At), For: time.Duration(f.For), Targets: f.Targets,
			Share: f.Share, Size: f.Size, Plan: f.Plan})
	}
	return site
}

// Scenarios returns those that ship, by name.
func Scenarios() ([]Scenario, error) {
	files, err := shipped.ReadDir("scenarios")
	if err != nil {
		return nil, fmt.Errorf("scenarios: %w", err)
	}
	var list []Scenario
	for _, f := range files {
		text, err := shipped.ReadFile("scenarios/" + f.Name())
		if err != nil {
			return nil, fmt.Errorf("scenarios: %w", err)
		}
		s, err := ParseScenario("scenarios/"+f.Name(), text)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// FindScenario returns the scenario of a name that ships, or of a file.
func FindScenario(name string) (Scenario, error) {
	list, err := Scenarios()
	if err != nil {
		return Scenario{}, err
	}
	if i := slices.IndexFunc(list, func(s Scenario) bool { return s.Name == name }); i >= 0 {
		return list[i], nil
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		var names []string
		for _, s := range list {
			names = append(names, s.Name)
		}
		hint := "the names are " + strings.Join(names, ", ")
		if near := strict.Closest(name, names); near != "" {
			hint = fmt.Sprintf("did you mean %q?", near)
		}
		return Scenario{}, fmt.Errorf("scenario %q: neither a scenario nor a file; %s", name, hint)
	} else if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return ParseScenario(name, text)
}

// ScenarioKeys lists the keys of a scenario's file, each with what it means.
func ScenarioKeys() [][2]string { return strict.Keys(Scenario{}) }
