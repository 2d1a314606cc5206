package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/raft"
)

// Errors of configuration changes that were rejected, to be matched with errors.Is.
var (
	// ErrNotMember reports that a store to be removed is not a member.
	ErrNotMember = errors.New("is no voter")
	// ErrIsVoter reports that a store to be added as non-voter is a voter.
	ErrIsVoter = errors.New("is a voter: remove it before it is added without a vote")
	// ErrOnlyVoter reports that a store to be removed is the only voter.
	ErrOnlyVoter = errors.New("is the only voter: a site needs one")
)

// Member is one store of the site: a voter, or a non-voter, which replicates the log without a vote.
type Member struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Leader   bool   `json:"leader"`
	NonVoter bool   `json:"non_voter,omitempty"`
}

// Members returns the voters and non-voters in the latest configuration of this store, sorted by name.
func (s *Store) Members() ([]Member, error) {
	future := s.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, fmt.Errorf("voters: %w", err)
	}
	leader, _ := s.Leader()
	var list []Member
	for _, server := range future.Configuration().Servers {
		list = append(list, Member{Name: string(server.ID), Address: string(server.Address),
			Leader: string(server.ID) == leader, NonVoter: server.Suffrage == raft.Nonvoter})
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// ConfigurationChange identifies a committed change of the members.
type ConfigurationChange struct{ at position }

// AddVoter makes an agent's store a voter. Only the leader can; on other voters, the error matches ErrNotLeader or
// ErrOutcomeUnknown. The change is committed when AddVoter returns; see LaggingVoters for voters that don't have it
// yet.
func (s *Store) AddVoter(name, address string) (ConfigurationChange, error) {
	return s.awaitChange(s.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, s.callTimeout))
}

// AddNonVoter makes an agent's store a non-voter, which replicates the log and serves reads, but does not count towards
// a majority. Only the leader can. A voter is not demoted: the error matches ErrIsVoter.
func (s *Store) AddNonVoter(name, address string) (ConfigurationChange, error) {
	list, err := s.Members()
	if err != nil {
		return ConfigurationChange{}, err
	}
	if slices.ContainsFunc(list, func(m Member) bool { return m.Name == name && !m.NonVoter }) {
		return ConfigurationChange{}, fmt.Errorf("%s %w", name, ErrIsVoter)
	}
	return s.awaitChange(s.raft.AddNonvoter(raft.ServerID(name), raft.ServerAddress(address), 0, s.callTimeout))
}

// Remove removes a voter or non-voter. Only the leader can. The error may match ErrNotMember or ErrOnlyVoter.
func (s *Store) Remove(name string) (ConfigurationChange, error) {
	list, err := s.Members()
	if err != nil {
		return ConfigurationChange{}, err
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.Name == name }) {
		return ConfigurationChange{}, fmt.Errorf("%s %w", name, ErrNotMember)
	}
	if !slices.ContainsFunc(list, func(m Member) bool { return m.Name != name && !m.NonVoter }) {
		return ConfigurationChange{}, fmt.Errorf("%s %w", name, ErrOnlyVoter)
	}
	return s.awaitChange(s.raft.RemoveServer(raft.ServerID(name), 0, s.callTimeout))
}

// awaitChange waits until a configuration change is committed.
func (s *Store) awaitChange(change raft.IndexFuture) (ConfigurationChange, error) {
	if err := change.Error(); err != nil {
		return ConfigurationChange{}, s.classifyError(err)
	}
	return ConfigurationChange{position{s.raft.CurrentTerm(), change.Index()}}, nil
}

// LaggingVoters waits until every voter has acknowledged a change, for at most the timeout of an RPC, and returns the
// names of those that have not. A leader that has removed itself receives no further acknowledgements, so the call does
// not wait.
func (s *Store) LaggingVoters(ctx context.Context, change ConfigurationChange) ([]string, error) {
	members, err := s.Members()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == s.id }) {
		cancel()
	}
	var others []raft.ServerID
	for _, m := range members {
		if m.Name != s.id && !m.NonVoter { // non-voters don't count towards a majority
			others = append(others, raft.ServerID(m.Name))
		}
	}
	return s.transport.awaitPosition(ctx, others, change.at), nil
}
