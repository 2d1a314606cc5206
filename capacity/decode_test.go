package capacity

import (
	"errors"
	"os"
	"strings"
	"testing"

	"elderyard/internal/strict"
)

const (
	sizeFile   = "../docs/capacity/size.toml"
	slopesFile = "../docs/capacity/slopes.json"
)

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// repositorySize returns the size file in docs/capacity.
func repositorySize(t testing.TB) Size {
	t.Helper()
	size, err := DecodeSize("size.toml", readFile(t, sizeFile))
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// The files in docs/capacity must stay valid, since elderctl capacity reads them by default.
func TestDecodeRepositorySize(t *testing.T) {
	size := repositorySize(t)
	if size.Site.Gateways != 610 || size.Entries() != 26_000 || size.Budget.GatewayBytesPerSecond != 6000 || size.Machines() != 9416 {
		t.Errorf("decoded %+v", size)
	}
}

func TestDecodeSizeErrorsNameLineAndKey(t *testing.T) {
	valid := string(readFile(t, sizeFile))
	for _, c := range []struct{ old, new, want string }{
		{"gateways = 610", "gatways = 610", `f.toml:5: site.gatways: there is no such key; did you mean "gateways"?`},
		{"gateways = 610", "gateways = -1", `f.toml:5: site.gateways: -1 is not between 0 and 1e+12`},
		{"gateways = 610", "", `f.toml:4: site.gateways: it must be given, and above 0: gateways, one a machine, each with its agent`},
		{"gateways = 610", "gateways = 'many'", `f.toml:5: `},
		{"gateways = 610", "gateways = 6.5", `f.toml:5: `},
		{"gateways = 610", "gateways = 609", `f.toml:37: assumptions.gateways_per_tenant: 610, and there are 609 gateways`},
		{"zones = 4", "zones = 1", `f.toml:12: site.zones: 1 zones can't make up 2 regions`},
		{"regions = 2", "regions = 1000000000000", `f.toml:11: site.regions: 1e+12 is not between 1 and 1000`},
		{"services = 410", "services = 8801", `f.toml:7: site.services: 8801 services of 8800 backends`},
		{"restart_burst_share = 0.333", "restart_burst_share = 1.5", `f.toml:34: assumptions.restart_burst_share: 1.5 is not between 0 and 1`},
		{"largest_service_share = 1.0", "largest_service_share = 0", `f.toml:36: assumptions.largest_service_share: it must be given, and above 0`},
		{"machines_per_day = 38.0", "machines_per_day = nan", `failures.machines_per_day: NaN is not between`},
		{"in_force_seconds = 19.0", "in_force_seconds = inf", `budget.in_force_seconds: +Inf is not between`},
		{"[failures]", "[failure]", `there is no such key; did you mean "failures"?`},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		if text == valid {
			t.Fatalf("%q is not in the file", c.old)
		}
		_, err := DecodeSize("f.toml", []byte(text))
		var located *strict.Error
		if !errors.As(err, &located) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v; want %s", c.new, c.old, err, c.want)
		}
	}
}

func TestDecodeRepositorySlopes(t *testing.T) {
	slopes, err := DecodeSlopes("slopes.json", readFile(t, slopesFile))
	if err != nil {
		t.Fatal(err)
	}
	if len(slopes) == 0 {
		t.Error("no slopes")
	}
}

const validSlopes = `[
  {
    "measure": "agent.bytes_per_second",
    "unit": "B/s",
    "command": "go test",
    "measured": "2026-12-02",
    "beside": "nothing",
    "trial": false,
    "points": [
      {"size": 76, "value": 1.5},
      {"size": 610, "value": 2.5}
    ]
  },
  {
    "measure": "agent.cpu_cores", "unit": "cores", "command": "go test", "measured": "2026-12-02",
    "beside": "nothing", "trial": true, "points": [{"size": 76, "value": 1.5}]
  }
]
`

func TestDecodeSlopesErrorsNameLineAndKey(t *testing.T) {
	if slopes, err := DecodeSlopes("s.json", []byte(validSlopes)); err != nil || len(slopes) != 2 || slopes[0].Points[1] != (Point{610, 2.5}) || !slopes[1].Trial {
		t.Fatalf("%+v, %v", slopes, err)
	}
	if slopes, err := DecodeSlopes("s.json", []byte(" [ ] \n")); err != nil || len(slopes) != 0 {
		t.Fatalf("%+v, %v", slopes, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"agent.bytes_per_second", "agent.byte_per_second", `s.json:3: [0].measure: there is no measure "agent.byte_per_second"; did you mean "agent.bytes_per_second"?`},
		{"agent.bytes_per_second", "", `s.json:3: [0].measure: it must be named`},
		{`"B/s"`, `"kB/s"`, `s.json:4: [0].unit: "kB/s"; agent.bytes_per_second is measured in "B/s"`},
		{`"go test"`, `" "`, `s.json:5: [0].command: it must say what measured the points`},
		{`2026-12-02`, `2 December`, `s.json:6: [0].measured: "2 December" is not a day such as "2026-12-02"`},
		{`"size": 610`, `"size": 0`, `s.json:11: [0].points[1].size: 0 is not between 1 and 1e+12`},
		{`"value": 2.5`, `"value": -2.5`, `s.json:11: [0].points[1].value: -2.5 is not between 0 and 1e+15`},
		{`"value": 2.5`, `"value": "much"`, `s.json:11: [0].`},
		{`"value": 2.5`, `"valeu": 2.5`, `s.json:11: [0].valeu: there is no such key; did you mean "value"?`},
		{`"value": 2.5`, `"value": 1e999`, `s.json:11: [0].`},
		{`"trial": false`, `"trail": false`, `s.json:8: [0].trail: there is no such key; did you mean "trial"?`},
		{`[{"size": 76, "value": 1.5}]`, `[]`, `s.json:16: [1].points: there must be one at least`},
		{`agent.cpu_cores", "unit": "cores"`, `agent.bytes_per_second", "unit": "B/s"`, `s.json:15: [1].measure: "agent.bytes_per_second" stands in [0] already`},
		{"},\n  {", "}\n  {", `s.json:14: `},
		{"  }\n]\n", "  }\n", `the file ends in the midst of it`},
		{"  }\n]\n", "  }\n] 5\n", `s.json:18: there is more behind the list`},
		{"[\n  {", "{\n  {", `s.json:1: a list of slopes is expected`},
	} {
		text := strings.Replace(validSlopes, c.old, c.new, 1)
		if text == validSlopes {
			t.Fatalf("%q is not in the text", c.old)
		}
		_, err := DecodeSlopes("s.json", []byte(text))
		var located *strict.Error
		if !errors.As(err, &located) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v; want %s", c.new, c.old, err, c.want)
		}
	}
}

func FuzzDecodeSlopes(f *testing.F) {
	f.Add([]byte(validSlopes))
	f.Add([]byte("[{}]"))
	f.Add([]byte(`[{"points":[{"size":1e400}]}]`))
	size := repositorySize(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		slopes, err := DecodeSlopes("f", text)
		if err != nil {
			var located *strict.Error
			if !errors.As(err, &located) || located.Text == "" || located.Line < 1 {
				t.Fatalf("error without text or line: %v", err)
			}
			return
		}
		plan := Compute(size, slopes)
		if len(plan.Requirements) == 0 || len(plan.Slopes) != len(slopes) {
			t.Fatalf("%d lines, %d slopes of %d", len(plan.Requirements), len(plan.Slopes), len(slopes))
		}
		for _, table := range plan.Tables() {
			table.Markdown()
		}
		if svg := plan.CurvesSVG(); strings.Contains(svg, "NaN") || strings.Contains(svg, "Inf") {
			t.Fatal("a coordinate in the SVG is not a finite number")
		}
	})
}

func FuzzDecodeSize(f *testing.F) {
	f.Add(readFile(f, sizeFile))
	f.Add([]byte("[site]\ngateways = 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		size, err := DecodeSize("f", text)
		if err == nil {
			Compute(size, nil)
		} else if err.Error() == "" {
			t.Fatal("error with an empty message")
		}
	})
}
