package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/raft"
)

// Errors of changes of the members, to be told apart by errors.Is. Nothing was changed.
var (
	// ErrNotMember reports that a store to be removed is not a member.
	ErrNotMember = errors.New("is no voter")
	// ErrIsVoter reports that a store to be added without a vote is a voter.
	ErrIsVoter = errors.New("is a voter: remove it before it is added without a vote")
	// ErrOnlyVoter reports that a store to be removed is the only voter.
	ErrOnlyVoter = errors.New("is the only voter: a site needs one")
)

// Member is one store of the site: a voter, or a replica that follows the log without a vote.
type Member struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Leader   bool   `json:"leader"`
	NonVoter bool   `json:"non_voter,omitempty"`
}

// Members returns the voters and the replicas without a vote, by name, in the latest configuration that this store has.
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

// ConfigurationChange identifies a change of the members that is committed.
type ConfigurationChange struct{ at position }

// AddVoter makes an agent's store a voter. The leader alone can, else the error matches ErrNotLeader or ErrOutcomeUnknown. The
// change is committed when it returns; see LaggingVoters for the voters that don't have it yet.
func (s *Store) AddVoter(name, address string) (ConfigurationChange, error) {
	return s.awaitChange(s.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, s.callTimeout))
}

// AddNonVoter makes an agent's store a replica that follows the log and answers reads, and counts for no majority. The
// leader alone can. A voter is not demoted: the error matches ErrIsVoter.
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

// Remove removes a voter or a replica without a vote. The leader alone can. The error may match ErrNotMember or
// ErrOnlyVoter.
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

// awaitChange waits until a change is committed.
func (s *Store) awaitChange(change raft.IndexFuture) (ConfigurationChange, error) {
	if err := change.Error(); err != nil {
		return ConfigurationChange{}, s.classifyError(err)
	}
	return ConfigurationChange{position{s.raft.CurrentTerm(), change.Index()}}, nil
}

// LaggingVoters waits until every voter is known to have a change in its log, for at most the time of one call to a voter,
// and returns the names of those that are not. A leader that has removed itself learns nothing more, so it returns what it
// knows at once.
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
		if m.Name != s.id && !m.NonVoter { // one without a vote counts for no majority
			others = append(others, raft.ServerID(m.Name))
		}
	}
	return s.transport.awaitPosition(ctx, others, change.at), nil
}
