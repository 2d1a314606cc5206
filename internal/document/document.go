// Package document parses the content of a revision: one file for all gateways of a site,
// with overlays for single ones. It renders the two files that each gateway reads,
// validated by the gateway's own parsers, and provides the policy of the rollout.
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

// file is the format of a revision's file. An overlay has the first two tables.
//
// An error about a value of a wrong type has the names of the Go type and field in its
// text, which agents report as the reason why they rejected a revision. So the names of
// these types and their fields are part of the interface.
type file struct {
	Gateway map[string]any `toml:"gateway" doc:"what a gateway is told of its site; keys as in its own configuration, less name and listen, which are the instance's"`
	Site    map[string]any `toml:"site" doc:"the operator's settings; see elderctl site keys"`
	Rollout Rollout        `toml:"rollout" doc:"how a change of this file goes out"`
}

type overlay struct {
	Gateway map[string]any `toml:"gateway"`
	Site    map[string]any `toml:"site"`
}

// Rollout is the part of the file with the policy of the rollout.
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
	seconds := func(n int) strict.Duration { return strict.Duration(time.Duration(n) * time.Second) }
	return Rollout{Canaries: 1, Waves: []float64{0.25, 1}, MostAway: 1, ReadyWithin: seconds(30), SoakFor: seconds(20), SilentAfter: seconds(10),
		MostSilent: 1, ServiceFor: seconds(30), Deadline: seconds(3600), RollbackWithin: seconds(600)}
}

func (r *Rollout) policy() rollout.Policy {
	duration := func(d strict.Duration) time.Duration { return time.Duration(d) }
	return rollout.Policy{Canaries: r.Canaries, Waves: r.Waves, MaxUnavailable: r.MostAway, ReadyTimeout: duration(r.ReadyWithin), SoakDuration: duration(r.SoakFor),
		SilenceTimeout: duration(r.SilentAfter), MaxSilent: r.MostSilent, MaxServiceDrop: r.ServiceFall, LowServiceWindow: duration(r.ServiceFor),
		Timeout: duration(r.Deadline), RollbackTimeout: duration(r.RollbackWithin)}
}

// Keys returns the keys of the file with their descriptions, except those within the
// gateway and site tables.
func Keys() [][2]string { return strict.Keys(file{}) }

// Document is the parsed content of a revision.
type Document struct {
	base              file
	overlays          map[string]overlay // by instance
	restartGeneration uint64
	checksum          string
	source            func(instance string) (string, []byte) // name and text of its overlay, or else of the file
}

// Instance is one gateway of an agent.
type Instance struct {
	Name   string
	Listen string // host and port for clients
}

// Rendered is the files of one instance, and the spec by which an agent decides whether
// they need a reload or a restart.
type Rendered struct {
	Config []byte // JSON, for EDGE_CONFIG
	Site   []byte // TOML, for ELDERYARD_SITE
	Spec   supervise.Spec
}

// Parse parses a content. Errors have the given name for its file, and the name of the
// instance for an overlay. It doesn't validate the settings of the gateways: Render does.
func Parse(name string, content revisions.Content) (*Document, error) {
	d := &Document{overlays: map[string]overlay{}, restartGeneration: content.RestartGeneration, checksum: content.Checksum()}
	d.source = func(instance string) (string, []byte) {
		if text, found := content.Overlays[instance]; found {
			return "overlay " + instance, []byte(text)
		}
		return name, []byte(content.File)
	}
	d.base.Rollout = defaults()
	if err := strict.Decode(name, []byte(content.File), &d.base); err != nil {
		return nil, err
	}
	p := d.base.Rollout.policy()
	if err := p.Validate(); err != nil {
		return nil, strict.ErrorAt(name, []byte(content.File), "rollout", "%v", err)
	}
	for _, instance := range slices.Sorted(maps.Keys(content.Overlays)) {
		var o overlay
		if err := strict.Decode("overlay "+instance, []byte(content.Overlays[instance]), &o); err != nil {
			return nil, err
		}
		d.overlays[instance] = o
	}
	return d, nil
}

// Check parses a content and renders it for each instance that has an overlay, or for one
// without an overlay if there are none.
func Check(name string, content revisions.Content) error {
	d, err := Parse(name, content)
	if err != nil {
		return err
	}
	// The file may be invalid without an overlay if all instances of the site have one.
	// Which instances have none is known only to the agents, which validate them.
	instances := slices.Sorted(maps.Keys(content.Overlays))
	if len(instances) == 0 {
		instances = []string{"any"}
	}
	for _, name := range instances {
		if _, err := d.Render(0, Instance{Name: name, Listen: "127.0.0.1:1"}); err != nil {
			return err
		}
	}
	return nil
}

// Policy returns the rollout policy of the document.
func (d *Document) Policy() rollout.Policy { return d.base.Rollout.policy() }

// DefaultPolicy returns the rollout policy of a document without a rollout table.
func DefaultPolicy() rollout.Policy {
	r := defaults()
	return r.policy()
}

// gatewayKeys are the keys of a gateway's configuration that a file may set.
var gatewayKeys = []string{"discovery", "counter", "seed", "limits", "known", "settings"}

// reloadableKeys are those that a running gateway reads again when it reloads.
var reloadableKeys = []string{"discovery", "counter"}

// Render returns the files of one instance. Errors have the file, line and key if they can
// be determined.
func (d *Document) Render(revision uint64, instance Instance) (*Rendered, error) {
	gateway := merge(d.base.Gateway, d.overlays[instance.Name].Gateway)
	for _, key := range slices.Sorted(maps.Keys(gateway)) {
		if !slices.Contains(gatewayKeys, key) {
			text := "there is no such key"
			if suggestion := strict.Closest(key, gatewayKeys); suggestion != "" {
				text += fmt.Sprintf("; did you mean %q?", suggestion)
			}
			return nil, d.keyError(instance.Name, "gateway."+key, text)
		}
	}
	settings, err := json.Marshal(gateway["settings"])
	if err != nil {
		return nil, d.keyError(instance.Name, "gateway.settings", err.Error())
	}
	if gateway["settings"] == nil {
		return nil, d.keyError(instance.Name, "gateway.settings", "is missing")
	}
	if err := wire.CheckKeys(settings); err != nil {
		return nil, d.parserError(instance.Name, err)
	}
	seed := sha256.Sum256([]byte(instance.Name))
	gateway["name"], gateway["listen"] = instance.Name, instance.Listen
	for key, value := range map[string]any{"seed": hex.EncodeToString(seed[:8]), "counter": "",
		"known": map[string]any{"generation": 0, "reset": true, "instances": []any{}}} {
		if gateway[key] == nil {
			gateway[key] = value
		}
	}
	r := &Rendered{}
	if r.Config, err = json.MarshalIndent(gateway, "", " "); err != nil {
		return nil, d.keyError(instance.Name, "gateway", err.Error())
	}
	parsed, err := config.Parse(r.Config)
	if err != nil {
		return nil, d.parserError(instance.Name, err)
	}
	longest := time.Duration(0)
	for _, class := range parsed.Classes {
		longest = max(longest, time.Duration((class.Timeout+parsed.AnswerSlack)*float64(time.Second)))
	}
	if r.Site, err = toml.Marshal(merge(d.base.Site, d.overlays[instance.Name].Site)); err != nil {
		return nil, d.keyError(instance.Name, "site", err.Error())
	}
	if _, err := site.Parse("site", r.Site); err != nil {
		var siteErr *strict.Error
		if errors.As(err, &siteErr) && siteErr.Key != "" {
			return nil, d.keyError(instance.Name, "site."+siteErr.Key, siteErr.Text)
		}
		return nil, d.keyError(instance.Name, "site", err.Error())
	}
	for _, key := range reloadableKeys {
		delete(gateway, key)
	}
	fixed, err := json.Marshal(gateway)
	if err != nil {
		return nil, d.keyError(instance.Name, "gateway", err.Error())
	}
	generation := fmt.Appendf(nil, "%d", d.restartGeneration)
	r.Spec = supervise.Spec{Revision: revision, ContentChecksum: d.checksum, FilesChecksum: checksum(r.Config, r.Site, generation), StartupChecksum: checksum(fixed, r.Site, generation), MaxRequestDuration: longest}
	return r, nil
}

// checksum returns the SHA-256 of parts, each preceded by its length.
func checksum(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// keyError returns an error about a key of an instance's settings, with the line of its
// overlay if that sets the key, or else of the file.
func (d *Document) keyError(instance, key, text string) error {
	name, source := d.source(instance)
	var overlayErr *strict.Error
	if err := strict.ErrorAt(name, source, key, "%s", text); errors.As(err, &overlayErr) && overlayErr.Line > 0 {
		return err
	}
	name, source = d.source("")
	return strict.ErrorAt(name, source, key, "%s", text)
}

// keyInError matches the key in an error of encoding/json.
var keyInError = regexp.MustCompile(`unknown field "([^"]+)"|field [A-Za-z.]*\.([A-Za-z_]+) of type`)

// parserError returns the error of a JSON parser, which has no line, with the line that
// sets the key in its text.
func (d *Document) parserError(instance string, err error) error {
	text := strings.ReplaceAll(err.Error(), "json: ", "")
	if match := keyInError.FindStringSubmatch(text); match != nil {
		key := match[1] + match[2]
		for _, candidate := range []string{instance, ""} {
			name, source := d.source(candidate)
			for n, line := range bytes.Split(source, []byte("\n")) {
				before, _, assigned := bytes.Cut(line, []byte("="))
				if assigned && regexp.MustCompile(`(^|[\s{,.])"?`+regexp.QuoteMeta(key)+`"?\s*$`).Match(before) {
					return &strict.Error{File: name, Line: n + 1, Key: key, Text: text}
				}
			}
		}
	}
	return d.keyError(instance, "gateway", text)
}

// merge returns a copy of base with the values of override. Tables are merged; lists are
// replaced. Neither argument is changed.
func merge(base, override map[string]any) map[string]any {
	merged := map[string]any{}
	for key, value := range base {
		if table, isTable := value.(map[string]any); isTable {
			value = merge(table, nil)
		}
		merged[key] = value
	}
	for key, value := range override {
		table, isTable := value.(map[string]any)
		baseTable, wasTable := merged[key].(map[string]any)
		switch {
		case isTable && wasTable:
			merged[key] = merge(baseTable, table)
		case isTable:
			merged[key] = merge(table, nil)
		default:
			merged[key] = value
		}
	}
	return merged
}
