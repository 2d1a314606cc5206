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

// savedState is what must outlive a start: without the life, one that starts again with
// its clock set back could take itself for an earlier one; without the roster, it
// could go back to who belonged long ago; without the addresses, one whose seeds
// are all dead would find nobody.
type savedState struct {
	Incarnation members.Incarnation `json:"life"`
	Roster      members.Roster      `json:"roster"`
	Addresses   map[string]string   `json:"addresses"` // of members, as last heard
}

func (s *Settings) load() (k savedState, err error) {
	text, err := readFile(s.path("peers.json"))
	if errors.Is(err, os.ErrNotExist) {
		return savedState{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		return savedState{}, fmt.Errorf("%s: %w; what it knew is lost if it is removed: the life goes on by the clock, the roster comes from its file or from the others", s.path("peers.json"), err)
	}
	return k, nil
}

// store writes it down. Danger: in an upgrade two processes share the folder, and
// the one that ends must not put its lower number in the place of the other's.
func (s *Settings) store(k savedState) error {
	if previous, err := s.load(); err == nil {
		k.Incarnation = max(k.Incarnation, previous.Incarnation)
	}
	text, err := json.Marshal(k)
	if err != nil {
		return fmt.Errorf("what is kept of peers: %w", err)
	}
	return files.Replace(s.path("peers.json"), text, 0o600)
}

// persist writes down what must outlive a start, where it has changed.
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
		p.settings.Log("peers: %v", err)
	}
}
