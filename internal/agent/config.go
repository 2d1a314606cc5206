// Package agent combines the parts of one agent: the processes of the machine's gateways
// (internal/process), the reports to the leader and its orders, the agents' HTTP
// interface, the copy of the records (internal/recordsync), limit commands and, in a
// voter, the replicated desired state (internal/replica) with the leader that drives
// rollouts (internal/leader).
//
// An agent keeps each gateway at the revision that the leader orders, and at the last
// committed one while no leader can be reached. It does not decide what a gateway runs.
// Run owns all goroutines, the goroutine of runReports owns the roster file, and a mutex
// guards the state that calls and reports share. Two agents must not share a directory: Run
// locks it.
package agent

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"elderyard/fleet"
	"elderyard/internal/pki"
	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/members"
	"elderyard/records"
	"elderyard/supervise"
)

// Config is an agent's configuration file, agent.toml. ReadConfig returns it with defaults
// set and validated.
type Config struct {
	Name        string          `toml:"name" doc:"the agent's name, one in the site"`
	Dir         string          `toml:"dir" doc:"folder of all that the agent keeps"`
	Listen      string          `toml:"listen" doc:"address for tool, agents and voters; none: the local socket alone"`
	Advertise   string          `toml:"advertise" doc:"address at which others reach it; default listen"`
	Socket      string          `toml:"socket" doc:"local socket of the tool; default agent.sock in dir"`
	Plain       bool            `toml:"plain" doc:"listen without TLS; on loopback only, and whoever reaches it is an operator"`
	Voter       bool            `toml:"voter" doc:"keep the site's desired state; at least one agent must"`
	Voters      []string        `toml:"voters" doc:"addresses of the site's voters; none: this agent, a voter, founds a site"`
	Roster      bool            `toml:"roster" doc:"have the voters agree on who belongs to the site, and keep that for gateways that know each other (elderyard-peers); the same at all agents; default false"`
	Records     bool            `toml:"records" doc:"keep a copy of the site's records (routes, tenants, plans, services) and report its version; a voter also answers others' copies; the same at all agents; default false"`
	RecordBytes int             `toml:"records_bytes" doc:"bytes a second that the copy of the records may take over the network; default 6000"`
	Gateway     string          `toml:"gateway" doc:"the gateway's program; default elderyard beside this one"`
	ServiceFrom string          `toml:"service_from" doc:"URL that answers the site's level of service, a number from 0 to 1, for the rollouts' service_fall; voters read it while they lead"`
	TLS         TLS             `toml:"tls" doc:"certificates"`
	Timing      Timing          `toml:"timing" doc:"what a site may want shorter or longer"`
	RESP        site.RESP       `toml:"resp" doc:"limit commands over RESP, with the plans and the counter of this machine's first instance by name; each such front is counted in the revision's site.quotas.fronts"`
	Instances   []InstanceEntry `toml:"instance" doc:"the gateways of this machine"`
}

// TLS has the paths of an agent's certificate. It is required if Listen is set and Plain is
// not.
type TLS struct {
	CA   string `toml:"ca" doc:"certificate of the site's authority"`
	Cert string `toml:"cert" doc:"this agent's certificate"`
	Key  string `toml:"key" doc:"its key"`
}

// Timing has the agent's intervals and timeouts.
type Timing struct {
	Report            strict.Duration `toml:"report" doc:"between two reports to the leader; default 2s"`
	FetchTimeout      strict.Duration `toml:"fetch_within" doc:"a start waits so long for the committed revision before it takes the last one known; default 15s"`
	Heartbeat         strict.Duration `toml:"heartbeat" doc:"a leader that is not heard of for so long is replaced; default 1s"`
	Settle            strict.Duration `toml:"settle" doc:"a new leader hears reports for so long before it goes on; default 10s"`
	InitialBackoff    strict.Duration `toml:"first_pause" doc:"before a start after a crash; it doubles; default 500ms"`
	MaxBackoff        strict.Duration `toml:"most_pause" doc:"the longest such pause; default 30s"`
	BackoffResetAfter strict.Duration `toml:"calm_after" doc:"a gateway that ran for so long begins with the first pause again; default 1m"`
	KillMargin        strict.Duration `toml:"kill_margin" doc:"a gateway that was asked to end has its longest deadline and so long; default 2s"`
}

// InstanceEntry configures one gateway of the agent's machine.
type InstanceEntry struct {
	Name   string   `toml:"name" doc:"the instance's name, one in the site"`
	Listen string   `toml:"listen" doc:"address for clients"`
	Env    []string `toml:"env" doc:"further KEY=VALUE of its environment"`
}

// minRecordBytes is the minimum rate for the copy of the records, in bytes a second: enough
// for one poll a second and its response.
const minRecordBytes = 1000

// Keys returns the keys of the configuration file with their descriptions.
func Keys() [][2]string { return strict.Keys(Config{}) }

// defaults returns the default configuration.
func defaults() Config {
	d := func(d time.Duration) strict.Duration { return strict.Duration(d) }
	return Config{RecordBytes: records.DefaultBytesPerSecond, RESP: site.Defaults().RESP, Timing: Timing{Report: d(2 * time.Second), FetchTimeout: d(15 * time.Second), Heartbeat: d(time.Second), Settle: d(10 * time.Second),
		InitialBackoff: d(500 * time.Millisecond), MaxBackoff: d(30 * time.Second), BackoffResetAfter: d(time.Minute), KillMargin: d(2 * time.Second)}}
}

// ReadConfig reads an agent's configuration file, sets defaults and validates it. Relative
// paths are resolved against the file's directory. An error names the file and, if possible,
// the line and the key.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("agent's file: %w", err)
	}
	return parseConfig(path, text)
}

// parseConfig does the same for the content of a file.
func parseConfig(path string, text []byte) (Config, error) {
	c := defaults()
	if err := strict.Decode(path, text, &c); err != nil {
		return Config{}, err
	}
	if key, err := c.check(); err != nil {
		return Config{}, strict.ErrorAt(path, text, key, "%v", err)
	}
	configDir, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return Config{}, err
	}
	for _, p := range []*string{&c.Dir, &c.Socket, &c.Gateway, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key, &c.RESP.CA, &c.RESP.Cert, &c.RESP.Key} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(configDir, *p)
		}
	}
	if c.Socket == "" {
		c.Socket = filepath.Join(c.Dir, "agent.sock")
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if c.Gateway == "" {
		self, err := os.Executable()
		if err != nil {
			return Config{}, err
		}
		c.Gateway = filepath.Join(filepath.Dir(self), "elderyard")
	}
	slices.SortFunc(c.Instances, func(a, b InstanceEntry) int { return strings.Compare(a.Name, b.Name) })
	return c, nil
}

// splitHost returns the host of an address, which must have a port.
func splitHost(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return "", fmt.Errorf("%q is not an address with a port", address)
	}
	return host, nil
}

// check returns the first invalid key and what is wrong with it.
func (c *Config) check() (key string, err error) {
	for _, check := range []func() (string, error){c.checkFolder, c.checkListen, c.checkSettings, c.checkVoters, c.checkInstances, c.checkRESP, c.checkTiming} {
		if key, err := check(); err != nil {
			return key, err
		}
	}
	return "", nil
}

func (c *Config) checkFolder() (key string, err error) {
	if err := fleet.CheckName("agent", c.Name); err != nil {
		return "name", err
	}
	if c.Dir == "" {
		return "dir", errors.New("is missing")
	}
	return "", nil
}

func (c *Config) checkListen() (key string, err error) {
	if c.Listen == "" {
		return "", nil
	}
	host, err := splitHost(c.Listen)
	if err != nil {
		return "listen", err
	}
	ip := net.ParseIP(host)
	if c.Plain && (ip == nil || !ip.IsLoopback()) {
		return "plain", fmt.Errorf("without TLS the agent listens on a loopback address only, such as 127.0.0.1, and %q is none", host)
	}
	if !c.Plain && (c.TLS.CA == "" || c.TLS.Cert == "" || c.TLS.Key == "") {
		return "tls", errors.New("ca, cert and key are needed where listen is set (elderctl ca makes them)")
	}
	if c.Advertise == "" && (host == "" || ip != nil && ip.IsUnspecified()) {
		return "listen", fmt.Errorf("%q is no address for others: set advertise as well", c.Listen)
	}
	return "", nil
}

func (c *Config) checkSettings() (key string, err error) {
	if c.Advertise != "" {
		if _, err := splitHost(c.Advertise); err != nil {
			return "advertise", err
		}
	}
	if u, err := url.Parse(c.ServiceFrom); c.ServiceFrom != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		return "service_from", fmt.Errorf("%q is no URL", c.ServiceFrom)
	}
	if c.RecordBytes < minRecordBytes {
		return "records_bytes", fmt.Errorf("%d is below %d", c.RecordBytes, minRecordBytes)
	}
	return "", nil
}

func (c *Config) checkVoters() (key string, err error) {
	for i, address := range c.Voters {
		if _, err := splitHost(address); err != nil {
			return "voters", fmt.Errorf("number %d, %q, is not an address with a port", i+1, address)
		}
	}
	if !c.Voter && len(c.Voters) == 0 {
		return "voters", errors.New("an agent that is no voter needs the address of one")
	}
	if len(c.Voters) > 0 && c.Listen == "" {
		return "listen", errors.New("an agent of a site with others needs an address")
	}
	return "", nil
}

func (c *Config) checkInstances() (key string, err error) {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, e := range c.Instances {
		baseKey := fmt.Sprintf("instance[%d]", i)
		if err := fleet.CheckName("instance", e.Name); err != nil {
			return baseKey + ".name", err
		}
		if _, err := splitHost(e.Listen); err != nil {
			return baseKey + ".listen", err
		}
		if err := members.CheckName(e.Name); c.Roster && err != nil {
			return baseKey + ".name", fmt.Errorf("with roster: %w", err)
		}
		if names[e.Name] || addresses[e.Listen] {
			return baseKey, fmt.Errorf("%s or %s stands twice", e.Name, e.Listen)
		}
		names[e.Name], addresses[e.Listen] = true, true
		for _, v := range e.Env {
			if !strings.Contains(v, "=") {
				return baseKey + ".env", fmt.Errorf("%q is not KEY=VALUE", v)
			}
		}
	}
	return "", nil
}

func (c *Config) checkRESP() (key string, err error) {
	if key, err := c.RESP.Validate(); err != nil {
		return key, err
	}
	if c.RESP.Listen != "" && len(c.Instances) == 0 {
		return "resp.listen", errors.New("limit commands need an instance on this machine, whose plans and counter they go by")
	}
	return "", nil
}

func (c *Config) checkTiming() (key string, err error) {
	policy := c.supervision()
	if err := policy.Validate(); err != nil {
		return "timing", err
	}
	if t := c.Timing; t.Report <= 0 || t.FetchTimeout <= 0 || time.Duration(t.Heartbeat) < 50*time.Millisecond || t.Settle <= 0 {
		return "timing", errors.New("report, fetch_within and settle must be above 0, heartbeat at least 50ms")
	}
	return "", nil
}

// supervision returns the restart policy of the instances' processes.
func (c *Config) supervision() supervise.Policy {
	t := &c.Timing
	return supervise.Policy{InitialBackoff: time.Duration(t.InitialBackoff), MaxBackoff: time.Duration(t.MaxBackoff),
		BackoffResetUptime: time.Duration(t.BackoffResetAfter), KillDelay: time.Duration(t.KillMargin)}
}

// files returns the paths of the agent's certificate.
func (c *Config) files() pki.Files { return pki.Files{CA: c.TLS.CA, Cert: c.TLS.Cert, Key: c.TLS.Key} }
