package peers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"elderyard/internal/site"
	"elderyard/members"
)

// Settings are those of one process.
type Settings struct {
	Self              string
	Site              string
	Listen            string
	Advertise         string
	AdminAddress      string // where this process's operators call; "": nowhere
	Dir               string
	KeyFile           string
	RosterFile        string // the file
	Seeds             []string
	AddressOverrides  map[string]string // by name: at which address a member is reached from here
	ProbeInterval     time.Duration     // between probes
	MaxBytesPerSecond float64           // bytes a second that may be sent
	WaitForAddress    bool              // another process may have the address for a while, as in an upgrade
	Log               func(format string, a ...any)

	protocolVersion int // version; 0: this program's
}

// RosterVariable names the roster's file in the environment, where an agent keeps
// it; it goes before the operator's file.
const RosterVariable = "ELDERYARD_ROSTER"

// The detector's times, in intervals between probes.
const (
	suspicionMult         = 4 // a suspicion lasts so many intervals, times log10 of the members, where others confirm it
	suspicionMaxMult      = 3 // so many times as long where nobody does
	pushPullIntervals     = 20
	gossipToDeadIntervals = 60 // who has gone is still told so, and may deny it
)

// FromSite reads the operator's settings. It returns nil where the process is to
// take no part. Desk is its operators' address.
func FromSite(p site.Peers, self, adminAddress string, env func(string) string, log func(string, ...any)) (*Settings, error) {
	if p.Listen == "" {
		return nil, nil
	}
	s := &Settings{Self: self, Site: p.Site, Listen: p.Listen, Advertise: p.Advertise, AdminAddress: adminAddress, Dir: p.Dir, KeyFile: p.KeyFile,
		RosterFile: p.Roster, Seeds: p.Seeds, AddressOverrides: map[string]string{}, ProbeInterval: time.Duration(p.Every), MaxBytesPerSecond: float64(p.MostKB) * 1024, Log: log}
	if file := env(RosterVariable); file != "" {
		s.RosterFile = file
	}
	if s.RosterFile == "" {
		return nil, errors.New("peers.roster: it is missing, and no agent keeps one")
	}
	for _, r := range p.Reach {
		s.AddressOverrides[r.Name] = r.Address
	}
	if s.Advertise == "" {
		s.Advertise = p.Listen
	}
	return s, nil
}

// machineSettings are the settings of the pure half. The detector's own times are beside
// them, so that all of them rest on Every.
func (s *Settings) machineSettings(incarnation members.Incarnation) members.Settings {
	return members.Settings{Self: s.Self, Incarnation: incarnation, TickInterval: s.ProbeInterval / 4, StallThreshold: 3 * s.ProbeInterval / 2, MinSettleTime: 2 * s.ProbeInterval,
		MaxSettleTime: 60 * s.ProbeInterval, SilenceTimeout: suspicionMult * suspicionMaxMult * s.ProbeInterval}
}

// check finds what is wrong before any socket is opened.
func (s *Settings) check() error {
	if err := members.CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	for what, address := range map[string]string{"peers.listen": s.Listen, "peers.advertise": s.Advertise} {
		if err := site.IPPort(address); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	if info, err := os.Stat(s.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("peers.dir: %q is not a folder", s.Dir)
	}
	return nil
}

func (s *Settings) path(what string) string { return filepath.Join(s.Dir, s.Self+"."+what) }
