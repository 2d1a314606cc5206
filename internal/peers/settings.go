package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"elderyard/internal/site"
	"elderyard/members"
)

// Settings are the parameters of one process's membership.
type Settings struct {
	Self              string            // name of this process
	Site              string            // members of different sites ignore each other
	Listen            string            // IP address and port, for UDP and TCP
	Advertise         string            // IP address and port at which members reach this process
	AdminAddress      string            // of this process's admin interface; "" if it has none
	Dir               string            // existing directory for the saved state
	KeyFile           string            // see readKeys
	RosterFile        string            // TOML
	Seeds             []string          // addresses of members to join first, or their names in AddressOverrides
	AddressOverrides  map[string]string // addresses at which this process reaches members, by name
	ProbeInterval     time.Duration     // all other times are multiples of it
	MaxBytesPerSecond float64           // limit of sent bytes, over UDP and TCP together
	WaitForAddress    bool              // Run opens the sockets, when a previous process has closed its own
	Log               *slog.Logger      // must not be nil

	protocolVersion int // 0 means that of this program
}

// RosterVariable is the environment variable with the path of the roster file, set by an agent that maintains the file.
// It takes precedence over the operator's setting.
const RosterVariable = "ELDERYARD_ROSTER"

// The failure detector's times, in units of Settings.ProbeInterval.
const (
	suspicionMult         = 4  // timeout of a suspicion that others confirm, times log10 of the number of members
	suspicionMaxMult      = 3  // factor for the timeout of a suspicion that nobody confirms
	pushPullIntervals     = 20 // between push/pull exchanges with a random member
	gossipToDeadIntervals = 60 // for which failed members still receive gossip, so that they can refute the failure
)

// FromSite returns the settings of the process self from the site file and the environment, or nil if membership
// is disabled. It returns an error if no roster file is set.
func FromSite(config site.Peers, self, adminAddress string, env func(string) string, log *slog.Logger) (*Settings, error) {
	if config.Listen == "" {
		return nil, nil
	}
	settings := &Settings{Self: self, Site: config.Site, Listen: config.Listen, Advertise: config.Advertise, AdminAddress: adminAddress, Dir: config.Dir, KeyFile: config.KeyFile,
		RosterFile: config.Roster, Seeds: config.Seeds, AddressOverrides: map[string]string{}, ProbeInterval: time.Duration(config.Every), MaxBytesPerSecond: float64(config.MostKB) * 1024, Log: log}
	if file := env(RosterVariable); file != "" {
		settings.RosterFile = file
	}
	if settings.RosterFile == "" {
		return nil, errors.New("peers.roster: no roster file is set, and no agent maintains one")
	}
	for _, r := range config.Reach {
		settings.AddressOverrides[r.Name] = r.Address
	}
	if settings.Advertise == "" {
		settings.Advertise = config.Listen
	}
	return settings, nil
}

// machineSettings returns the settings of the state machine. All of its times and those of the failure detector are
// multiples of ProbeInterval.
func (s *Settings) machineSettings(incarnation members.Incarnation) members.Settings {
	return members.Settings{Self: s.Self, Incarnation: incarnation, TickInterval: s.ProbeInterval / ticksPerInterval, StallThreshold: 3 * s.ProbeInterval / 2, MinSettleTime: 2 * s.ProbeInterval,
		MaxSettleTime: 60 * s.ProbeInterval, SilenceTimeout: suspicionMult * suspicionMaxMult * s.ProbeInterval}
}

// check returns an error that names the first invalid setting. It opens no socket.
func (s *Settings) check() error {
	if err := members.CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	for setting, address := range map[string]string{"peers.listen": s.Listen, "peers.advertise": s.Advertise} {
		if err := site.CheckIPPort(address); err != nil {
			return fmt.Errorf("%s: %w", setting, err)
		}
	}
	if info, err := os.Stat(s.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("peers.dir: %q is not a directory", s.Dir)
	}
	return nil
}

// path returns the path of a file of this process in Dir.
func (s *Settings) path(suffix string) string { return filepath.Join(s.Dir, s.Self+"."+suffix) }
