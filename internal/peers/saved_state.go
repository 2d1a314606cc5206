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

// savedState is what must survive a restart. Without the incarnation, a process that restarts with its clock set back could
// start below its previous one; without the roster, it could return to an outdated one; without the addresses, it would
// find no other member if all seeds are down.
type savedState struct {
	Incarnation members.Incarnation `json:"life"`
	Roster      members.Roster      `json:"roster"`
	Addresses   map[string]string   `json:"addresses"` // by name of member, as last announced
}

// load reads the saved state. It returns the zero state if there is no file.
func (s *Settings) load() (state savedState, err error) {
	text, err := readFile(s.path("peers.json"))
	if errors.Is(err, os.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w; what it knew is lost if it is removed: the incarnation then comes from the clock, the roster from its file or from other members", s.path("peers.json"), err)
	}
	return state, nil
}

// store replaces the saved state. It never lowers the saved incarnation: in an upgrade two processes share the folder, and
// the one that ends must not replace the higher incarnation of the other.
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

// persist saves the roster and the addresses of members if they have changed. If that fails, it logs the error and tries
// again with the next change.
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
