// Package site reads the site file: the settings of a gateway that the platform's
// configuration doesn't have and that an operator chooses. A missing file is the same as
// an empty one.
package site

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"elderyard/internal/strict"
)

// Settings are the content of the site file. The doc tags are the only descriptions
// of the keys; `elderctl site keys` prints them.
//
// An error about a value of a wrong type has the names of the Go type and field in its
// text, which agents report as the reason why they rejected a revision. So the names of
// these types and their fields are part of the interface.
type Settings struct {
	Clients Clients `toml:"clients" doc:"connections of clients"`
	Memory  Memory  `toml:"memory" doc:"how the memory limit is used"`
	Quotas  Quotas  `toml:"quotas" doc:"who draws on the quotas"`
	Counter Counter `toml:"counter" doc:"the shared counter"`
	RESP    RESP    `toml:"resp" doc:"limit commands over RESP"`

	Telemetry Telemetry `toml:"telemetry" doc:"traces and metrics, to a collector by OTLP"`
	Rollup    Rollup    `toml:"moments" doc:"counts by tenths of a second, to a file"`
	Peers     Peers     `toml:"peers" doc:"the other gateways of the site; needs the program elderyard-peers"`
}

// Peers configures membership among the gateways of a site.
type Peers struct {
	Listen    string          `toml:"listen" doc:"IP address and port for the others, UDP and TCP; default none, and the gateway knows nobody"`
	Advertise string          `toml:"advertise" doc:"IP address and port that the others are told; default listen"`
	Site      string          `toml:"site" doc:"name of the site; sites of different names never mix (needed with listen)"`
	KeyFile   string          `toml:"key_file" doc:"file of keys, one a line, base64 of 16, 24 or 32 bytes; the first seals, all open; read again when it changes (needed with listen)"`
	Roster    string          `toml:"roster" doc:"file that says who belongs; read again when it changes; default what the agent keeps"`
	Dir       string          `toml:"dir" doc:"folder that keeps the number of the last start, roster and addresses, under the gateway's name (needed with listen)"`
	Seeds     []string        `toml:"seeds" doc:"addresses, or names that reach has, that are asked first; default none: the gateway waits to be asked"`
	Every     strict.Duration `toml:"every" doc:"between probes of others; all other times follow from it; 100ms to 10s, default 1s"`
	MostKB    int             `toml:"most_kb" doc:"KiB a second that are sent at most; 8 to 65536, default 256"`
	Reach     []PeerReach     `toml:"reach" doc:"members that are reached from here at another address than they say"`
}

// PeerReach is the address of one member as seen from this machine, if that differs from
// the one that the member advertises.
type PeerReach struct {
	Name    string `toml:"name" doc:"its name"`
	Address string `toml:"address" doc:"IP address and port"`
}

// Rollup configures the file of the gateway's counts per short interval.
type Rollup struct {
	Dir   string          `toml:"dir" doc:"folder for the file, NAME.moments by the gateway's name; default none, nothing is counted"`
	Every strict.Duration `toml:"every" doc:"length of a span; 10ms to 1m, default 100ms"`
	MB    int             `toml:"most_mb" doc:"the file grows no further than this; 1 to 1024, default 16"`
}

// Telemetry configures the export to an OpenTelemetry collector.
type Telemetry struct {
	Endpoint string            `toml:"endpoint" doc:"URL of a collector, such as http://127.0.0.1:4318; default what OTEL_EXPORTER_OTLP_ENDPOINT says, else none, and nothing is exported"`
	Protocol string            `toml:"protocol" doc:"http, protobuf over HTTP, or grpc; default http"`
	Headers  map[string]string `toml:"headers" doc:"headers of each call, such as one with a token; default none"`
	Service  string            `toml:"service" doc:"service.name; default what OTEL_SERVICE_NAME says, else elderyard"`
	Traces   bool              `toml:"traces" doc:"whether traces are exported; default true"`
	Metrics  bool              `toml:"metrics" doc:"whether metrics are exported; default true"`
	Share    float64           `toml:"share" doc:"share of the requests whose story is kept whatever became of them; 0 to 1, default 0.01"`
	Keep     []string          `toml:"keep" doc:"stories that are kept beside the share: failed, refused, late, repeated; default failed, late and repeated"`
	Interval strict.Duration   `toml:"interval" doc:"between metrics; 100ms to 1h, default 10s"`
	Timeout  strict.Duration   `toml:"timeout" doc:"of a call to the collector; 100ms to 1m, default 10s"`
	Flush    strict.Duration   `toml:"flush" doc:"for what has not left when the process ends, after the last answer; 0s to 10s, default 500ms"`
	QueueKB  int               `toml:"queue_kb" doc:"what may wait for the collector, of traces and of metrics each; 64 to 65536, default 1024"`
}

// Quotas configures how many other processes grant units of the same quotas.
type Quotas struct {
	Fronts int `toml:"fronts" doc:"processes beside the gateways that grant units of any account, such as agents with a RESP front; local shares are divided among them too, so it is the same in all of them; 0 to 64, default 0"`
}

// Counter configures the shared counter.
type Counter struct {
	Kind     string `toml:"kind" doc:"http, the platform's counter, or resp, a store that speaks RESP; default http"`
	User     string `toml:"user" doc:"user of the RESP store; default none"`
	Password string `toml:"password" doc:"its password; default none, and no AUTH is sent"`
	CA       string `toml:"ca" doc:"certificate of the authority that the RESP store's is checked against; default none, a plain connection"`
	Name     string `toml:"name" doc:"name in the RESP store's certificate; default the host of its address"`
	Prefix   string `toml:"prefix" doc:"what its names begin with in the RESP store; default elderyard:"`
}

// RESP configures the server for limit commands.
type RESP struct {
	Listen  string          `toml:"listen" doc:"address for limit commands; default none, no front"`
	Most    int             `toml:"most_clients" doc:"connections at most, of a gateway no more than a quarter of its descriptors; 1 to 100000, default 64"`
	Idle    strict.Duration `toml:"idle" doc:"a connection without a command for so long is closed; 1s to 24h, default 5m"`
	Cert    string          `toml:"cert" doc:"certificate of the front; default none, a plain connection"`
	Key     string          `toml:"key" doc:"its key"`
	CA      string          `toml:"ca" doc:"authority that clients' certificates must come from; default none, they need none"`
	Plan    string          `toml:"plan" doc:"plan of accounts that are not named here; default none: they say it with PLAN"`
	Account []RESPAccount   `toml:"account" doc:"the plans of accounts"`
	User    []RESPUser      `toml:"user" doc:"who may connect; none: whoever reaches the address, for all accounts"`
}

// RESPAccount is the plan of one account.
type RESPAccount struct {
	ID   string `toml:"id" doc:"the account, 16 hexadecimal digits"`
	Plan string `toml:"plan" doc:"its plan"`
}

// RESPUser is a user that may connect to the server for limit commands.
type RESPUser struct {
	Name     string   `toml:"name" doc:"its name"`
	Password string   `toml:"password_sha256" doc:"SHA-256 of its password, 64 hexadecimal digits"`
	Accounts []string `toml:"accounts" doc:"accounts that it may ask for, or * for all"`
	Commands []string `toml:"commands" doc:"limit commands that it may run, or * for all"`
}

// Clients limits what client connections may use.
type Clients struct {
	SocketShare float64 `toml:"socket_share" doc:"share of the descriptors, less 64 of the gateway's own (76 with an operator's address) and those of limit commands' clients, for clients; backends get the rest; 0.1 to 0.9, default 0.75"`
	MemoryShare float64 `toml:"memory_share" doc:"share of the memory limit for clients that stand idle; 0.05 to 0.5, default 0.25"`
}

// Memory configures the garbage collector.
type Memory struct {
	HeapShare float64 `toml:"heap_share" doc:"share of the memory limit that the heap is held to; stacks, sockets and the program have the rest; 0.3 to 0.9, default 0.7"`
	HeapGrow  int     `toml:"heap_grow" doc:"percent by which the heap may grow between collections; 50 to 1000, default 400"`
}

// Defaults returns the settings of a gateway without the file.
func Defaults() Settings {
	return Settings{Clients: Clients{SocketShare: 0.75, MemoryShare: 0.25}, Memory: Memory{HeapShare: 0.7, HeapGrow: 400},
		Counter: Counter{Kind: "http", Prefix: "elderyard:"}, RESP: RESP{Most: 64, Idle: strict.Duration(5 * time.Minute)},
		Peers:  Peers{Every: strict.Duration(time.Second), MostKB: 256},
		Rollup: Rollup{Every: strict.Duration(100 * time.Millisecond), MB: 16},
		Telemetry: Telemetry{Protocol: "http", Traces: true, Metrics: true, Share: 0.01, Keep: []string{"failed", "late", "repeated"}, Interval: strict.Duration(10 * time.Second),
			Timeout: strict.Duration(10 * time.Second), Flush: strict.Duration(500 * time.Millisecond), QueueKB: 1024}}
}

// Read reads the file at path. If there is none, it returns the defaults.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return Defaults(), nil
	}
	if err != nil {
		return Settings{}, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a file. Errors have the given name of the file.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	if err := strict.Decode(file, text, &s); err != nil {
		return Settings{}, err
	}
	for _, r := range []struct {
		key      string
		value    float64
		min, max float64
	}{
		{"clients.socket_share", s.Clients.SocketShare, 0.1, 0.9},
		{"clients.memory_share", s.Clients.MemoryShare, 0.05, 0.5},
		{"memory.heap_share", s.Memory.HeapShare, 0.3, 0.9},
		{"memory.heap_grow", float64(s.Memory.HeapGrow), 50, 1000},
		{"quotas.fronts", float64(s.Quotas.Fronts), 0, 64},
		{"telemetry.share", s.Telemetry.Share, 0, 1},
		{"telemetry.queue_kb", float64(s.Telemetry.QueueKB), 64, 65536},
		{"moments.most_mb", float64(s.Rollup.MB), 1, 1024},
		{"peers.most_kb", float64(s.Peers.MostKB), 8, 65536},
	} {
		if !(r.value >= r.min && r.value <= r.max) {
			return Settings{}, strict.ErrorAt(file, text, r.key, "%g is not between %g and %g", r.value, r.min, r.max)
		}
	}
	if key, err := s.validate(); err != nil {
		return Settings{}, strict.ErrorAt(file, text, key, "%v", err)
	}
	return s, nil
}

// validate checks the settings that aren't plain numbers with a range. It returns the
// first error and the key that it is about.
func (s *Settings) validate() (key string, err error) {
	counter := &s.Counter
	switch {
	case counter.Kind != "http" && counter.Kind != "resp":
		return "counter.kind", fmt.Errorf("%q is neither http nor resp", counter.Kind)
	case counter.User != "" && counter.Password == "":
		return "counter.user", errors.New("a user needs a password")
	case len(counter.Prefix) > 64:
		return "counter.prefix", errors.New("it is longer than 64 bytes")
	}
	if every := time.Duration(s.Rollup.Every); every < 10*time.Millisecond || every > time.Minute {
		return "moments.every", fmt.Errorf("%v is not between 10ms and 1m", every)
	}
	if key, err := s.Telemetry.validate(); err != nil {
		return key, err
	}
	if key, err := s.Peers.validate(); err != nil {
		return key, err
	}
	return s.RESP.Validate()
}

func (p *Peers) validate() (key string, err error) {
	if every := time.Duration(p.Every); every < 100*time.Millisecond || every > 10*time.Second {
		return "peers.every", fmt.Errorf("%v is not between 100ms and 10s", every)
	}
	if p.Listen == "" {
		return "", nil
	}
	for _, required := range [][2]string{{"site", p.Site}, {"key_file", p.KeyFile}, {"dir", p.Dir}} {
		if required[1] == "" {
			return "peers." + required[0], errors.New("it is needed with listen")
		}
	}
	if len(p.Site) > 64 {
		return "peers.site", errors.New("it is longer than 64 bytes")
	}
	for key, address := range map[string]string{"peers.listen": p.Listen, "peers.advertise": p.Advertise} {
		if err := CheckIPPort(address); address != "" && err != nil {
			return key, err
		}
	}
	names := map[string]bool{}
	for i, r := range p.Reach {
		if r.Name == "" || names[r.Name] {
			return fmt.Sprintf("peers.reach[%d].name", i), fmt.Errorf("%q is empty or stands twice", r.Name)
		}
		names[r.Name] = true
		if err := CheckIPPort(r.Address); err != nil {
			return fmt.Sprintf("peers.reach[%d].address", i), err
		}
	}
	for _, seed := range p.Seeds {
		if err := CheckIPPort(seed); err != nil && !names[seed] {
			return "peers.seeds", fmt.Errorf("%q is neither an IP address with a port nor a name that reach has", seed)
		}
	}
	return "", nil
}

// CheckIPPort returns an error unless an address is an IP address with a port. Host names
// aren't allowed: members must find each other while DNS doesn't work.
func CheckIPPort(address string) error {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil || portErr != nil || n == 0 {
		return fmt.Errorf("%q is not an IP address with a port", address)
	}
	return nil
}

func (t *Telemetry) validate() (key string, err error) {
	for _, d := range []struct {
		key      string
		value    strict.Duration
		min, max time.Duration
	}{{"interval", t.Interval, 100 * time.Millisecond, time.Hour}, {"timeout", t.Timeout, 100 * time.Millisecond, time.Minute}, {"flush", t.Flush, 0, 10 * time.Second}} {
		if v := time.Duration(d.value); v < d.min || v > d.max {
			return "telemetry." + d.key, fmt.Errorf("%v is not between %v and %v", v, d.min, d.max)
		}
	}
	if t.Endpoint != "" {
		if u, err := url.Parse(t.Endpoint); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return "telemetry.endpoint", fmt.Errorf("%q is not a URL of http or https", t.Endpoint)
		}
	}
	if t.Protocol != "http" && t.Protocol != "grpc" {
		return "telemetry.protocol", fmt.Errorf("%q is neither http nor grpc", t.Protocol)
	}
	for i, outcome := range t.Keep {
		if !slices.Contains([]string{"failed", "refused", "late", "repeated"}, outcome) {
			return fmt.Sprintf("telemetry.keep[%d]", i), fmt.Errorf("%q is none of failed, refused, late, repeated", outcome)
		}
	}
	return "", nil
}

// Validate returns the first error of the settings and the key that it is about, which
// begins with "resp".
func (r *RESP) Validate() (key string, err error) {
	switch {
	case r.Most < 1 || r.Most > 100000:
		return "resp.most_clients", fmt.Errorf("%d is not between 1 and 100000", r.Most)
	case time.Duration(r.Idle) < time.Second || time.Duration(r.Idle) > 24*time.Hour:
		return "resp.idle", fmt.Errorf("%v is not between 1s and 24h", time.Duration(r.Idle))
	case (r.Cert == "") != (r.Key == ""):
		return "resp.cert", errors.New("cert and key go together")
	case r.CA != "" && r.Cert == "":
		return "resp.ca", errors.New("it needs cert and key")
	}
	if r.Listen != "" {
		if _, _, err := net.SplitHostPort(r.Listen); err != nil {
			return "resp.listen", fmt.Errorf("%q is not an address with a port", r.Listen)
		}
	}
	used := map[string]bool{}
	for i, a := range r.Account {
		if _, err := ParseAccountID(a.ID); err != nil || used[a.ID] {
			return fmt.Sprintf("resp.account[%d].id", i), fmt.Errorf("%q is not 16 hexadecimal digits below 0000000200000000, or stands twice", a.ID)
		}
		used[a.ID] = true
	}
	clear(used)
	for i, u := range r.User {
		if u.Name == "" || used[u.Name] {
			return fmt.Sprintf("resp.user[%d].name", i), fmt.Errorf("%q is empty or stands twice", u.Name)
		}
		used[u.Name] = true
		for _, id := range u.Accounts {
			if _, err := ParseAccountID(id); err != nil && id != "*" {
				return fmt.Sprintf("resp.user[%d].accounts", i), fmt.Errorf("%q is neither an account nor *", id)
			}
		}
	}
	return "", nil
}

// accountIDLimit is above all numbers of accounts.
const accountIDLimit = 1 << 33

// ParseAccountID parses the number of an account: 16 hexadecimal digits.
func ParseAccountID(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || n >= accountIDLimit {
		return 0, fmt.Errorf("%q is not an account", text)
	}
	return n, nil
}

// Keys returns the keys of the file with their descriptions.
func Keys() [][2]string { return strict.Keys(Settings{}) }
