// Package document reads what a revision says: one file for all gateways of a
// site, with overlays for single ones. From it come the two files that a gateway
// reads, checked by the gateway's own parsers, and the policy by which a change
// goes out.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/config"
	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/internal/wire"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

// file is the form of a revision's file. An overlay has the first two tables.
type file struct {
	Gateway map[string]any `toml:"gateway" doc:"what a gateway is told of its site; keys as in its own configuration, less name and listen, which are the instance's"`
	Site    map[string]any `toml:"site" doc:"the operator's settings; see elderctl site keys"`
	Rollout Rollout        `toml:"rollout" doc:"how a change of this file goes out"`
}

type overlay struct {
	Gateway map[string]any `toml:"gateway"`
	Site    map[string]any `toml:"site"`
}

// Rollout is the part of the file that says how a change goes out.
type Rollout struct {
	Canaries       int             `toml:"canaries" doc:"instances of the first wave; default 1"`
	Waves          []float64       `toml:"waves" doc:"shares of all instances that have been told by the end of each further wave, rising to 1; default 0.25, 1"`
	MostAway       int             `toml:"most_away" doc:"instances that may be unavailable at once; default 1"`
	ReadyWithin    strict.Duration `toml:"ready_within" doc:"an instance that was told has so long to be ready again; default 30s"`
	SoakFor        strict.Duration `toml:"soak_for" doc:"and must then stay ready for so long without a crash; default 20s"`
	SilentAfter    strict.Duration `toml:"silent_after" doc:"one that is not heard of for so long is silent; default 10s"`
	MostSilent     int             `toml:"most_silent" doc:"so many that were told may be silent in the end; default 1"`
	ServiceFall    float64         `toml:"service_fall" doc:"the service may be below its level before by this share; 0, the default: not looked at"`
	ServiceFor     strict.Duration `toml:"service_for" doc:"for so long; default 30s"`
	Deadline       strict.Duration `toml:"deadline" doc:"for the whole way forward; default 1h"`
	RollbackWithin strict.Duration `toml:"rollback_within" doc:"for the way back; default 10m"`
}

func defaults() Rollout {
	s := func(n int) strict.Duration { return strict.Duration(time.Duration(n) * time.Second) }
	return Rollout{Canaries: 1, Waves: []float64{0.25, 1}, MostAway: 1, ReadyWithin: s(30), SoakFor: s(20), SilentAfter: s(10),
		MostSilent: 1, ServiceFor: s(30), Deadline: s(3600), RollbackWithin: s(600)}
}

func (r *Rollout) policy() rollout.Policy {
	d := func(d strict.Duration) time.Duration { return time.Duration(d) }
	return rollout.Policy{Canaries: r.Canaries, Waves: r.Waves, MaxUnavailable: r.MostAway, ReadyTimeout: d(r.ReadyWithin), SoakDuration: d(r.SoakFor),
		SilenceTimeout: d(r.SilentAfter), MaxSilent: r.MostSilent, MaxServiceDrop: r.ServiceFall, LowServiceWindow: d(r.ServiceFor),
		Deadline: d(r.Deadline), RollbackTimeout: d(r.RollbackWithin)}
}

// Keys lists the keys of the file that this package gives a meaning.
func Keys() [][2]string { return strict.Keys(file{}) }

// Document is the content of a revision, read.
type Document struct {
	base     file
	overlays map[string]overlay
	turn     uint64
	sum      string
	names    func(instance string) (string, []byte) // of the text to blame
}

// Instance is one gateway of an agent.
type Instance struct {
	Name   string
	Listen string // host and port for clients
}

// Rendered is what one instance reads, and what it takes to get there.
type Rendered struct {
	Config []byte // JSON, for EDGE_CONFIG
	Site   []byte // TOML, for ELDERYARD_SITE
	Spec   supervise.Spec
}

// Parse reads a content. Name is that of the file in errors; an overlay goes by
// its instance's name. What an instance would make of it is told by Render.
func Parse(name string, c revisions.Content) (*Document, error) {
	d := &Document{overlays: map[string]overlay{}, turn: c.RestartGeneration, sum: c.Sum()}
	d.names = func(instance string) (string, []byte) {
		if text, found := c.Overlays[instance]; found {
			return "overlay " + instance, []byte(text)
		}
		return name, []byte(c.File)
	}
	d.base.Rollout = defaults()
	if err := strict.Decode(name, []byte(c.File), &d.base); err != nil {
		return nil, err
	}
	p := d.base.Rollout.policy()
	if err := p.Validate(); err != nil {
		return nil, strict.ErrorAt(name, []byte(c.File), "rollout", "%v", err)
	}
	for _, instance := range slices.Sorted(maps.Keys(c.Overlays)) {
		var o overlay
		if err := strict.Decode("overlay "+instance, []byte(c.Overlays[instance]), &o); err != nil {
			return nil, err
		}
		d.overlays[instance] = o
	}
	return d, nil
}

// Check reads a content and renders it for an instance of no overlay, and for
// each that has one.
func Check(name string, c revisions.Content) error {
	d, err := Parse(name, c)
	if err != nil {
		return err
	}
	// The instances of the site may all have overlays that the base does not go
	// without; who has none is found by the agents.
	names := slices.Sorted(maps.Keys(c.Overlays))
	if len(names) == 0 {
		names = []string{"any"}
	}
	for _, n := range names {
		if _, err := d.Render(0, Instance{Name: n, Listen: "127.0.0.1:1"}); err != nil {
			return err
		}
	}
	return nil
}

// Policy is how this document goes out.
func (d *Document) Policy() rollout.Policy { return d.base.Rollout.policy() }

// DefaultPolicy is that of a document that says nothing of it.
func DefaultPolicy() rollout.Policy {
	r := defaults()
	return r.policy()
}

// own are the keys of a gateway's configuration that a file may set.
var own = []string{"discovery", "counter", "seed", "limits", "known", "settings"}

// reloads are those that a running gateway reads again.
var reloads = []string{"discovery", "counter"}

// Render makes the files of one instance. An error names file, line and key as
// far as they can be told.
func (d *Document) Render(revision uint64, i Instance) (*Rendered, error) {
	whole := merge(d.base.Gateway, d.overlays[i.Name].Gateway)
	for _, key := range slices.Sorted(maps.Keys(whole)) {
		if !slices.Contains(own, key) {
			text := "there is no such key"
			if near := strict.Closest(key, own); near != "" {
				text += fmt.Sprintf("; did you mean %q?", near)
			}
			return nil, d.blame(i.Name, "gateway."+key, text)
		}
	}
	settings, err := json.Marshal(whole["settings"])
	if err != nil {
		return nil, d.blame(i.Name, "gateway.settings", err.Error())
	}
	if whole["settings"] == nil {
		return nil, d.blame(i.Name, "gateway.settings", "is missing")
	}
	if err := wire.CheckKeys(settings); err != nil {
		return nil, d.blameKey(i.Name, err)
	}
	seed := sha256.Sum256([]byte(i.Name))
	whole["name"], whole["listen"] = i.Name, i.Listen
	for key, value := range map[string]any{"seed": hex.EncodeToString(seed[:8]), "counter": "",
		"known": map[string]any{"generation": 0, "reset": true, "instances": []any{}}} {
		if whole[key] == nil {
			whole[key] = value
		}
	}
	r := &Rendered{}
	if r.Config, err = json.MarshalIndent(whole, "", " "); err != nil {
		return nil, d.blame(i.Name, "gateway", err.Error())
	}
	parsed, err := config.Parse(r.Config)
	if err != nil {
		return nil, d.blameKey(i.Name, err)
	}
	longest := time.Duration(0)
	for _, class := range parsed.Classes {
		longest = max(longest, time.Duration((class.Timeout+parsed.AnswerSlack)*float64(time.Second)))
	}
	if r.Site, err = toml.Marshal(merge(d.base.Site, d.overlays[i.Name].Site)); err != nil {
		return nil, d.blame(i.Name, "site", err.Error())
	}
	if _, err := site.Parse("site", r.Site); err != nil {
		var at *strict.Error
		if errors.As(err, &at) && at.Key != "" {
			return nil, d.blame(i.Name, "site."+at.Key, at.Text)
		}
		return nil, d.blame(i.Name, "site", err.Error())
	}
	for _, key := range reloads {
		delete(whole, key)
	}
	fixed, err := json.Marshal(whole)
	if err != nil {
		return nil, d.blame(i.Name, "gateway", err.Error())
	}
	turn := fmt.Appendf(nil, "%d", d.turn)
	r.Spec = supervise.Spec{Revision: revision, Content: d.sum, Files: sum(r.Config, r.Site, turn), Fixed: sum(fixed, r.Site, turn), MaxRequestDuration: longest}
	return r, nil
}

func sum(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// blame makes an error about a key of what an instance is told, with the line
// of the overlay if that sets it, else of the file.
func (d *Document) blame(instance, key, text string) error {
	name, source := d.names(instance)
	var at *strict.Error
	if err := strict.ErrorAt(name, source, key, "%s", text); errors.As(err, &at) && at.Line > 0 {
		return err
	}
	name, source = d.names("")
	return strict.ErrorAt(name, source, key, "%s", text)
}

var quoted = regexp.MustCompile(`unknown field "([^"]+)"|field [A-Za-z.]*\.([A-Za-z_]+) of type`)

// blameKey makes an error of a parser of JSON, which knows no lines, into one of
// the line that sets the key it speaks of.
func (d *Document) blameKey(instance string, err error) error {
	text := strings.ReplaceAll(err.Error(), "json: ", "")
	if found := quoted.FindStringSubmatch(text); found != nil {
		key := found[1] + found[2]
		for _, whose := range []string{instance, ""} {
			name, source := d.names(whose)
			for n, line := range bytes.Split(source, []byte("\n")) {
				before, _, set := bytes.Cut(line, []byte("="))
				if set && regexp.MustCompile(`(^|[\s{,.])"?`+regexp.QuoteMeta(key)+`"?\s*$`).Match(before) {
					return &strict.Error{File: name, Line: n + 1, Key: key, Text: text}
				}
			}
		}
	}
	return d.blame(instance, "gateway", text)
}

// merge lays one tree over another. Lists are replaced whole. Neither is changed.
func merge(under, over map[string]any) map[string]any {
	out := map[string]any{}
	for key, value := range under {
		if table, is := value.(map[string]any); is {
			value = merge(table, nil)
		}
		out[key] = value
	}
	for key, value := range over {
		table, is := value.(map[string]any)
		below, was := out[key].(map[string]any)
		switch {
		case is && was:
			out[key] = merge(below, table)
		case is:
			out[key] = merge(table, nil)
		default:
			out[key] = value
		}
	}
	return out
}
