package document

import (
	"strings"
	"testing"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/site"
	"elderyard/revisions"
	"elderyard/supervise"
)

const good = `
[gateway]
discovery = "127.0.0.1:7001"
counter = "127.0.0.1:7002"
limits = { cores = 1.0, memory_mb = 64, sockets = 512 }

[gateway.settings]
fleetSize = 2
rank = 0
tickS = 0.002
localities = ["block-a"]
kinds = ["std-2core"]
discovery = "push"
weights = "rough"
allowed = { connectTimeoutS = 0.2, keepaliveS = 10.0, mostTries = 3 }
familyInfo = { hasCounter = true, counterTimeoutS = 0.05 }
obligations = { answerSlackS = 0.01 }

[[gateway.settings.classes]]
name = "lookup"
deadlineS = 1.0
objectiveS = 0.4
points = 1.0

[[gateway.settings.packages]]
name = "basic"
unitsPerS = 10.0
depth = 20.0

[site.clients]
socket_share = 0.6

[rollout]
canaries = 2
soak_for = "3s"
`

func content(file string) revisions.Content { return revisions.Content{File: file} }

func render(t *testing.T, c revisions.Content, name string) *Rendered {
	t.Helper()
	d, err := Parse("site.toml", c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := d.Render(1, Instance{name, "127.0.0.1:8080"})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRenderedFilesAreParsedByGateway(t *testing.T) {
	c := content(good)
	c.Overlays = map[string]string{"g1": "[gateway.settings]\nrank = 1\n[site.clients]\nmemory_share = 0.1\n"}
	r := render(t, c, "g1")
	config, err := config.Parse(r.Config)
	if err != nil || config.Name != "g1" || config.Listen != "127.0.0.1:8080" || config.Rank != 1 || config.FleetSize != 2 || config.Discovery != "127.0.0.1:7001" {
		t.Fatalf("%v %+v", err, config)
	}
	s, err := site.Parse("x", r.Site)
	if err != nil || s.Clients.SocketShare != 0.6 || s.Clients.MemoryShare != 0.1 {
		t.Fatalf("%v %+v", err, s)
	}
	if r.Spec.MaxRequestDuration != 1010*time.Millisecond || r.Spec.Revision != 1 {
		t.Fatalf("%+v", r)
	}
	if other := render(t, c, "g0"); other.Spec.FilesChecksum == r.Spec.FilesChecksum {
		t.Fatal("two instances have the same checksum")
	}
	d, _ := Parse("site.toml", c)
	if p := d.Policy(); p.Canaries != 2 || p.SoakDuration != 3*time.Second || p.MaxUnavailable != 1 {
		t.Fatalf("%+v", p)
	}
	if again := render(t, c, "g1"); again.Spec != r.Spec || r.Spec.ContentChecksum != c.Checksum() {
		t.Fatal("rendering the same content again gives another checksum")
	}
}

func TestStepOfChange(t *testing.T) {
	from := render(t, content(good), "g0").Spec
	again := content(good)
	again.RestartGeneration = 1
	for name, c := range map[string]struct {
		content revisions.Content
		step    supervise.Step
	}{
		"rollout policy":     {content(strings.Replace(good, "canaries = 2", "canaries = 3", 1)), supervise.StepNone},
		"comment":            {content("# new\n" + good), supervise.StepNone},
		"discovery":          {content(strings.Replace(good, "7001", "7003", 1)), supervise.StepReload},
		"counter":            {content(strings.Replace(good, "7002", "7003", 1)), supervise.StepReload},
		"plan":               {content(strings.Replace(good, "depth = 20.0", "depth = 30.0", 1)), supervise.StepRestart},
		"operator's file":    {content(strings.Replace(good, "0.6", "0.5", 1)), supervise.StepRestart},
		"restart generation": {again, supervise.StepRestart},
		"reload and restart": {content(strings.Replace(strings.Replace(good, "7001", "7003", 1), "0.6", "0.5", 1)), supervise.StepRestart},
	} {
		to := render(t, c.content, "g0").Spec
		if step := supervise.StepBetween(&from, &to); step != c.step {
			t.Errorf("change of %s: step %s, want %s", name, step, c.step)
		}
	}
}

func TestErrorsHaveLine(t *testing.T) {
	replace := func(a, b string) string { return strings.Replace(good, a, b, 1) }
	for text, want := range map[string]string{
		replace("[rollout]", "[roll]"):                              `site.toml:33: roll: there is no such key`,
		replace("canaries = 2", "canary = 2"):                       `did you mean "canaries"?`,
		replace("canaries = 2", "canaries = 0"):                     "site.toml:33: rollout: canaries: 0 is below 1",
		replace("counter = ", "countre = "):                         `site.toml:4: gateway.countre: there is no such key; did you mean "counter"?`,
		replace("deadlineS", "deadlinS"):                            `site.toml:21: deadlinS: settings: unknown field "deadlinS"`,
		replace("unitsPerS = 10.0", "unitsPerS = 'ten'"):            "site.toml:27: unitsPerS: settings: cannot unmarshal string",
		replace("socket_share = 0.6", "socket_share = 6.0"):         "site.toml:31: site.clients.socket_share: 6 is not between 0.1 and 0.9",
		replace("socket_share = 0.6", "socket_shaer = 0.6"):         "site.toml:31: site.clients.socket_shaer: there is no such key",
		replace("rank = 0", "rank = 5"):                             "settings: rank 5 is not among 2 gateways",
		replace("memory_mb = 64", "memory_mb = 1"):                  "are too little",
		replace(`"127.0.0.1:7001"`, `"nowhere"`):                    `discovery: "nowhere" is not an address with a port`,
		"":                                                          "gateway.settings: is missing",
		replace(`effect`, `x`) + "\n[gateway.settings.classes2]\n":  `unknown field "classes2"`,
		replace("objectiveS = 0.4", "objectiveS = 0.4\neffect='x'"): `effect "x" is not known`,
		good + "\nx=": "site.toml:37",
	} {
		err := Check("site.toml", content(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	c := content(good)
	for text, want := range map[string]string{
		"[rollout]\ncanaries = 3":                  "overlay g1:1: rollout: there is no such key",
		"[gateway.settings]\nrnak = 3":             `overlay g1:2: rnak: settings: unknown field "rnak"`,
		"\n[site.memory]\nheap_grow = 1":           "overlay g1:3: site.memory.heap_grow: 1 is not between 50 and 1000",
		"[gateway]\nsettings = 7":                  "settings",
		"[gateway.settings]\nrank = 9223372036854": "rank",
	} {
		c.Overlays = map[string]string{"g1": text}
		if err := Check("site.toml", c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}

func FuzzCheck(f *testing.F) {
	f.Add(good, "[gateway.settings]\nrank = 1")
	f.Add("[gateway]\nsettings = [1, {a = nan}]", "gateway = 1")
	f.Fuzz(func(t *testing.T, file, overlay string) {
		_ = Check("f", revisions.Content{File: file, Overlays: map[string]string{"g0": overlay}})
	})
}
