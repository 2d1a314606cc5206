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
	Listen            string            // IP address and port, UDP and TCP
	Advertise         string            // IP address and port at which members reach this process
	AdminAddress      string            // of this process's admin interface; "": none
	Dir               string            // existing folder of the saved state
	KeyFile           string            // see readKeys
	RosterFile        string            // TOML
	Seeds             []string          // addresses of members to join first
	AddressOverrides  map[string]string // by name: address at which this process reaches that member
	ProbeInterval     time.Duration     // all other times are multiples of it
	MaxBytesPerSecond float64           // sent, over both protocols
	WaitForAddress    bool              // Run opens the sockets, once a previous process has closed its own
	Log               *slog.Logger      // not nil

	protocolVersion int // 0: that of this program
}

// RosterVariable is the environment variable with the path of the roster's file, set by an agent that maintains the file.
// It takes precedence over the operator's setting.
const RosterVariable = "ELDERYARD_ROSTER"

// The failure detector's times, in units of Settings.ProbeInterval.
const (
	suspicionMult         = 4  // duration of a suspicion that others confirm, times log10 of the number of members
	suspicionMaxMult      = 3  // factor for a suspicion that nobody confirms
	pushPullIntervals     = 20 // between exchanges of complete state with a random member
	gossipToDeadIntervals = 60 // failed members still receive gossip, so that they can refute
)

// FromSite returns the settings of the process self from the operator's file and the environment, nil if membership is off.
// It returns an error if no roster file is set.
func FromSite(table site.Peers, self, adminAddress string, env func(string) string, log *slog.Logger) (*Settings, error) {
	if table.Listen == "" {
		return nil, nil
	}
	settings := &Settings{Self: self, Site: table.Site, Listen: table.Listen, Advertise: table.Advertise, AdminAddress: adminAddress, Dir: table.Dir, KeyFile: table.KeyFile,
		RosterFile: table.Roster, Seeds: table.Seeds, AddressOverrides: map[string]string{}, ProbeInterval: time.Duration(table.Every), MaxBytesPerSecond: float64(table.MostKB) * 1024, Log: log}
	if file := env(RosterVariable); file != "" {
		settings.RosterFile = file
	}
	if settings.RosterFile == "" {
		return nil, errors.New("peers.roster: it is missing, and no agent keeps one")
	}
	for _, r := range table.Reach {
		settings.AddressOverrides[r.Name] = r.Address
	}
	if settings.Advertise == "" {
		settings.Advertise = table.Listen
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
	for what, address := range map[string]string{"peers.listen": s.Listen, "peers.advertise": s.Advertise} {
		if err := site.CheckIPPort(address); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	if info, err := os.Stat(s.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("peers.dir: %q is not a folder", s.Dir)
	}
	return nil
}

// path returns the path of a file of this process in the folder of the saved state.
func (s *Settings) path(what string) string { return filepath.Join(s.Dir, s.Self+"."+what) }
