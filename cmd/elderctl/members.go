package main

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
)

func membersCommand() *cobra.Command {
	return commandGroup("members", "List, add and remove voters and agents", listMembersCommand(), addMemberCommand(), removeMemberCommand())
}

func listMembersCommand() *cobra.Command {
	return agentQuery("list", "List the voters and the agents", "  elderctl members list", (*agentapi.Client).Members, printMembers)
}

// printMembers prints the agents, then the voters without a report from their agent.
func printMembers(out io.Writer, members agentapi.Members) {
	printStale(out, members.Stale)
	unlisted := map[string]string{}
	for _, voter := range members.Voters {
		unlisted[voter.Name] = voterRole(voter)
	}
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "agent\taddress\tvoter\tinstances")
		for _, a := range members.Agents {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", a.Name, orDash(a.Address), orDash(unlisted[a.Name]), len(a.Instances))
			delete(unlisted, a.Name)
		}
		for _, voter := range members.Voters {
			if unlisted[voter.Name] != "" {
				fmt.Fprintf(w, "%s\t%s\t%s\tnot heard of\n", voter.Name, voter.Address, unlisted[voter.Name])
			}
		}
	})
}

func voterRole(voter agentapi.Member) string {
	switch {
	case voter.Leader:
		return "voter, leads"
	case voter.NonVoter:
		return "replica"
	}
	return "voter"
}

func addMemberCommand() *cobra.Command {
	var nonVoter bool
	cmd := agentVerb("add NAME ADDRESS", "Make an agent a voter; with --non-voter, a replica that answers reads and has no vote",
		"  elderctl members add a2 10.0.0.2:7946\n  elderctl members add a6 10.0.0.6:7946 --non-voter", cobra.ExactArgs(2),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			add := client.AddMember
			if nonVoter {
				add = client.AddNonVoter
			}
			change, err := add(cmd.Context(), agentapi.ChangeRequest{Name: args[0], Address: args[1]})
			if err != nil {
				return err
			}
			return reportMemberChange(cmd, change)
		})
	cmd.Flags().BoolVar(&nonVoter, "non-voter", false, "the agent follows the log and counts for no majority")
	return cmd
}

func removeMemberCommand() *cobra.Command {
	var removeAgent bool
	cmd := agentVerb("remove NAME", "Take a voter out; with --agent-too, forget the agent and its instances", "  elderctl members remove a2", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			members, err := client.Members(cmd.Context())
			if err != nil {
				return err
			}
			request := agentapi.ChangeRequest{Name: args[0]}
			isVoter := slices.ContainsFunc(members.Voters, func(voter agentapi.Member) bool { return voter.Name == request.Name })
			var change agentapi.MemberChange
			if isVoter || !removeAgent { // otherwise only the agent is removed, which is no voter
				if change, err = client.RemoveMember(cmd.Context(), request); err != nil {
					return err
				}
			}
			if removeAgent {
				if err := client.Do(cmd.Context(), "agents/remove", request); err != nil {
					return err
				}
			}
			return reportMemberChange(cmd, change)
		})
	cmd.Flags().BoolVar(&removeAgent, "agent-too", false, "forget the agent with its instances as well; one that still runs joins again")
	return cmd
}

// reportMemberChange prints that a majority has committed a change of the voters. It is an error if some voters have
// not confirmed the change: until they do, the site tolerates the loss of one voter fewer.
func reportMemberChange(cmd *cobra.Command, change agentapi.MemberChange) error {
	fmt.Fprintln(cmd.OutOrStdout(), "done")
	if len(change.Behind) == 0 {
		return nil
	}
	return &exitError{exitPartial, fmt.Errorf("%s: not heard to have noted it; until then the site bears the loss of one voter fewer, so let no other voter end (see %q on the operators' page)",
		strings.Join(change.Behind, ", "), "Voters come and go")}
}
