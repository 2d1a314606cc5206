package agent

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/files"
	"elderyard/internal/peers"
	"elderyard/members"
)

// rosterFile is the file from which the gateways of this machine read the roster.
const rosterFile = "roster.toml"

// rosterPath returns the path of the roster file.
func (c *Config) rosterPath() string { return filepath.Join(c.Dir, rosterFile) }

// cachedRosterEpoch returns the epoch of the roster file, or 0 if there is none or it can't
// be read.
func (a *Agent) cachedRosterEpoch() uint64 {
	text, err := os.ReadFile(a.config.rosterPath())
	if err != nil {
		return 0
	}
	r, err := peers.ParseRoster(a.config.rosterPath(), text)
	if err != nil {
		a.log.Error("failed to read the cached roster; requesting it again", "error", err)
		return 0
	}
	return r.Epoch
}

// cacheRoster writes the roster file. A failure is only logged, because the leader sends the
// roster again with the next orders.
func (a *Agent) cacheRoster(roster *members.Roster) {
	key, err := roster.Check()
	if err != nil {
		err = fmt.Errorf("%s: %w", key, err)
	}
	var text []byte
	if err == nil {
		text, err = toml.Marshal(roster)
	}
	if err == nil {
		err = files.Replace(a.config.rosterPath(), text, 0o600)
	}
	if err != nil {
		a.log.Error("failed to cache roster", "epoch", roster.Epoch, "error", err)
		return
	}
	a.rosterEpoch = roster.Epoch
	a.log.Info("cached roster", "epoch", roster.Epoch, "members", len(roster.Members))
}

// waitingForRoster reports whether gateways can't start yet because there is no roster.
func (a *Agent) waitingForRoster() bool { return a.config.Roster && a.rosterEpoch == 0 }
