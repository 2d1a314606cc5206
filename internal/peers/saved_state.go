package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"

	"elderyard/internal/files"
	"elderyard/members"
)

// savedState is the state that must survive a restart. Without the incarnation, a process that restarts with its clock
// set back could use a lower one than before. Without the roster, it could return to an outdated one. Without the
// addresses, it would find no other member if all seeds are down.
type savedState struct {
	Incarnation members.Incarnation `json:"life"`
	Roster      members.Roster      `json:"roster"`
	Addresses   map[string]string   `json:"addresses"` // last announced address of each member, by name
}

// load reads the saved state. It returns the zero value if the file does not exist.
func (s *Settings) load() (state savedState, err error) {
	text, err := readFile(s.path("peers.json"))
	if errors.Is(err, os.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w; removing the file discards the saved state: the incarnation then comes from the clock, the roster from its file or from other members", s.path("peers.json"), err)
	}
	return state, nil
}

// store replaces the saved state. It never lowers the saved incarnation: during an upgrade two processes share the
// directory, and the one that ends must not replace the higher incarnation of the other.
func (s *Settings) store(state savedState) error {
	if previous, err := s.load(); err == nil {
		state.Incarnation = max(state.Incarnation, previous.Incarnation)
	}
	text, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode the saved state of peers: %w", err)
	}
	return files.Replace(s.path("peers.json"), text, 0o600)
}

// persist saves the roster and the addresses of members if they have changed. If that fails, it logs the error, and the
// next change saves them.
func (p *Peers) persist() {
	addresses, changed := maps.Clone(p.saved.Addresses), false
	roster := p.machine.Roster()
	for _, v := range p.published.Load().view.Members {
		if !v.Self && v.IsMember && v.State.Alive() && v.Address != "" && addresses[v.Name] != v.Address {
			addresses[v.Name], changed = v.Address, true
		}
	}
	for name := range addresses {
		if !roster.Has(name) {
			delete(addresses, name)
			changed = true
		}
	}
	if roster.Epoch == p.saved.Roster.Epoch && !changed {
		return
	}
	p.saved.Roster, p.saved.Addresses = roster, addresses
	if err := p.settings.store(p.saved); err != nil {
		p.settings.Log.Error("peers: saving the state failed", "error", err)
	}
}
