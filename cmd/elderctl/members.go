package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

// reportMemberChange says that a change of the voters is done, or which of them have yet to note it and what that risks.
func reportMemberChange(cmd *cobra.Command, change agent.MemberChange) error {
	fmt.Fprintln(cmd.OutOrStdout(), "done")
	if len(change.Behind) == 0 {
		return nil
	}
	return &exitError{exitPartly, fmt.Errorf("%s: not heard to have noted it; until then the site bears the loss of one voter fewer, so let no other voter end (see %q on the operators' page)",
		strings.Join(change.Behind, ", "), "Voters come and go")}
}

func membersCommand() *cobra.Command {

	list := withJSON(verb("list", "List the voters and the agents", "  elderctl members list", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			m, err := client.Members(cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, m, func(out io.Writer) {
				printStale(out, m.Stale)
				voters := map[string]string{}
				for _, v := range m.Voters {
					voters[v.Name] = "voter"
					switch {
					case v.Leader:
						voters[v.Name] = "voter, leads"
					case v.NonVoter:
						voters[v.Name] = "replica"
					}
				}
				table(out, func(w io.Writer) {
					fmt.Fprintln(w, "agent\taddress\tvoter\tinstances")
					for _, a := range m.Agents {
						fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", a.Name, dashIfEmpty(a.Address), dashIfEmpty(voters[a.Name]), len(a.Instances))
						delete(voters, a.Name)
					}
					for _, v := range m.Voters {
						if voters[v.Name] != "" {
							fmt.Fprintf(w, "%s\t%s\t%s\tnot heard of\n", v.Name, v.Address, voters[v.Name])
						}
					}
				})
			})
		}))
	var nonVoter bool
	add := verb("add NAME ADDRESS", "Make an agent a voter; with --non-voter, a replica that answers reads and has no vote",
		"  elderctl members add a2 10.0.0.2:7946\n  elderctl members add a6 10.0.0.6:7946 --non-voter", cobra.ExactArgs(2),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			call := client.AddMember
			if nonVoter {
				call = client.AddNonVoter
			}
			change, err := call(cmd.Context(), agent.ChangeRequest{Name: args[0], Address: args[1]})
			if err != nil {
				return err
			}
			return reportMemberChange(cmd, change)
		})
	add.Flags().BoolVar(&nonVoter, "non-voter", false, "the agent follows the log and counts for no majority")
	var forgetAgent bool
	remove := verb("remove NAME", "Take a voter out; with --agent-too, forget the agent and its instances", "  elderctl members remove a2", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			m, err := client.Members(cmd.Context())
			if err != nil {
				return err
			}
			voter := false
			for _, v := range m.Voters {
				voter = voter || v.Name == args[0]
			}
			v := agent.ChangeRequest{Name: args[0]}
			var change agent.MemberChange
			if voter || !forgetAgent {
				if change, err = client.RemoveMember(cmd.Context(), v); err != nil {
					return err
				}
			}
			if forgetAgent {
				if err := client.Do(cmd.Context(), "agents/remove", v); err != nil {
					return err
				}
			}
			return reportMemberChange(cmd, change)
		})
	remove.Flags().BoolVar(&forgetAgent, "agent-too", false, "forget the agent with its instances as well; one that still runs joins again")
	return commandGroup("members", "List, add and remove voters and agents", list, add, remove)
}
