package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/peers"
	"elderyard/members"
)

const (
	peersVariable = "ELDERCTL_PEERS"       // default for --at, comma-separated
	ageResolution = 100 * time.Millisecond // of printed ages
)

const peersHelp = `
Each gateway of elderyard-peers is asked at its operators' address (--at, as often
as wanted, or ELDERCTL_PEERS with commas between); the others are found by what it
knows. Ages are by each gateway's own clock, so clocks that differ do no harm.

Exit status: 0 all that were asked agree, 2 wrong usage, 8 nobody answered, 9 the
pictures differ or some gateways did not answer.`

// peersCommand returns the commands that query gateways of elderyard-peers. They call no agent.
func peersCommand() *cobra.Command {
	var at []string
	cmd := commandGroup("peers", "Show what gateways know of each other, and where their pictures differ")
	cmd.Long = cmd.Short + ".\n" + peersHelp
	cmd.PersistentFlags().StringSliceVar(&at, "at", nil, "operators' address of a gateway")
	addVerb := func(use, short string, args cobra.PositionalArgs, do func(cmd *cobra.Command, addresses, args []string) error) {
		cmd.AddCommand(withJSON(&cobra.Command{Use: use, Short: short, Long: short + ".\n" + peersHelp,
			Args: checkArgs(args),
			RunE: func(cmd *cobra.Command, args []string) error {
				addresses, err := peerAddresses(at)
				if err != nil {
					return err
				}
				return do(cmd, addresses, args)
			}}))
	}
	addVerb("list", "List the members by each gateway's picture", cobra.NoArgs, listPeers)
	addVerb("view [NAME]", "Show each gateway's whole picture, or that of one", cobra.MaximumNArgs(1), viewPeers)
	addVerb("diff", "Show where pictures differ", cobra.NoArgs, diffPeers)
	addVerb("why NAME", "Show what all gateways learned of a member, newest first", cobra.ExactArgs(1), whyPeer)
	addVerb("watch", "Print what changes in the pictures, until interrupted", cobra.NoArgs, watchPeers)
	return cmd
}

// peerAddresses returns the addresses of the flag, or by default those of the environment variable.
func peerAddresses(flag []string) ([]string, error) {
	addresses := flag
	if len(addresses) == 0 && os.Getenv(peersVariable) != "" {
		addresses = strings.Split(os.Getenv(peersVariable), ",")
	}
	if len(addresses) == 0 {
		return nil, usageError(fmt.Errorf("name a gateway's operators' address with --at, or in %s", peersVariable))
	}
	for _, address := range addresses {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, usageError(fmt.Errorf("--at: %q is not an address with a port", address))
		}
	}
	return addresses, nil
}

// peersExitError returns the exit status for the results, nil if all gateways responded and their views agree.
func peersExitError(all []peers.QueryResult) error {
	views, silent := splitResults(all)
	switch {
	case len(views) == 0:
		return &exitError{exitUnreachable, fmt.Errorf("nobody answered: %s", all[0].Error)}
	case len(silent) > 0:
		return &exitError{exitViewsDiffer, fmt.Errorf("no answer from %s", strings.Join(silent, "; "))}
	case len(members.Differences(views)) > 0:
		return &exitError{exitViewsDiffer, errors.New("the pictures differ; see elderctl peers diff")}
	}
	return nil
}

// splitResults returns the views of the gateways that responded, and the other gateways with the reasons.
func splitResults(all []peers.QueryResult) (views []members.View, silent []string) {
	for _, result := range all {
		if result.Status != nil {
			views = append(views, result.Status.View)
		} else {
			silent = append(silent, nameOrAddress(result)+" ("+result.Error+")")
		}
	}
	return views, silent
}

// nameOrAddress returns the gateway's name, or the queried address if the name is unknown.
func nameOrAddress(result peers.QueryResult) string { return cmp.Or(result.Name, result.Address) }

// formatAge formats the age of a time on the gateway's clock. The zero time means never.
func formatAge(now, then members.Time) string {
	if then == 0 {
		return "never"
	}
	return (now - then).Round(ageResolution).String() + " ago"
}

func listPeers(cmd *cobra.Command, addresses, _ []string) error {
	all := peers.QueryAllStatus(cmd.Context(), addresses)
	err := printResult(cmd, all, func(out io.Writer) {
		views, _ := splitResults(all)
		printPeerList(out, views)
	})
	return cmp.Or(err, peersExitError(all))
}

func printPeerList(out io.Writer, views []members.View) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "gateway\tverdict\tfor\tepoch\tsafe\tlikely\tdivides by\tlast answer\tnot there")
		for _, view := range views {
			var absent []string
			for _, member := range view.Members {
				if !member.State.Alive() {
					absent = append(absent, member.Name+" "+member.State.String())
				}
			}
			divisor := fmt.Sprint(view.QuotaDivisor)
			if view.QuotaDivisor == members.NoQuota {
				divisor = "no share"
			}
			fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%d\t%d\t%s\t%s\t%s\n", view.Self, view.Verdict, (view.At - view.Since).Round(ageResolution), view.Epoch,
				view.SafeCount, view.LikelyCount, divisor, formatAge(view.At, view.LastAnswer), orDash(strings.Join(absent, ", ")))
		}
	})
}

func viewPeers(cmd *cobra.Command, addresses, args []string) error {
	all := peers.QueryAllStatus(cmd.Context(), addresses)
	if len(args) == 1 {
		if all = slices.DeleteFunc(all, func(result peers.QueryResult) bool { return result.Name != args[0] }); len(all) == 0 {
			return &exitError{exitUnreachable, fmt.Errorf("no gateway %s is known to those that were asked", args[0])}
		}
	}
	err := printResult(cmd, all, func(out io.Writer) {
		for i, result := range all {
			if i > 0 {
				fmt.Fprintln(out)
			}
			if result.Status == nil {
				fmt.Fprintf(out, "%s: no answer: %s\n", nameOrAddress(result), result.Error)
				continue
			}
			printPeerStatus(out, result.Status)
		}
	})
	return cmp.Or(err, peersExitError(all))
}

func printPeerStatus(out io.Writer, status *peers.Status) {
	view := &status.View
	fmt.Fprintf(out, "%s of site %s, life %d: %v for %v: %s\n", view.Self, status.Site, view.Incarnation, view.Verdict, (view.At - view.Since).Round(ageResolution), view.Reason)
	fmt.Fprintf(out, "  roster of epoch %d, %d members; safe count %d, likely %d\n", view.Epoch, view.RosterSize, view.SafeCount, view.LikelyCount)
	switch {
	case view.SupersededBy != 0:
		fmt.Fprintf(out, "  life %d of its name has taken its place\n", view.SupersededBy)
	case view.UnawareMember != "":
		fmt.Fprintf(out, "  it has no share of quotas until %s knows of it\n", view.UnawareMember)
	}
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "  member\tstate\tfor\tlast answer to it\tepoch\tlife\treached at")
		for _, member := range view.Members {
			lastAnswer, state := formatAge(view.At, member.LastAnswer), member.State.String()
			if member.Self {
				lastAnswer, state = "-", "itself"
			}
			if !member.IsMember {
				state += ", not in the roster"
			}
			if member.EarlierIncarnations > 0 {
				state += fmt.Sprintf(", beside %d earlier", member.EarlierIncarnations)
			}
			fmt.Fprintf(w, "  %s\t%s\t%v\t%s\t%d\t%d\t%s\n", member.Name, state, (view.At - member.Since).Round(ageResolution), lastAnswer, member.Epoch,
				member.Incarnation, orDash(member.Address))
		}
	})
	for _, permission := range status.Permissions {
		if !permission.Allowed {
			fmt.Fprintf(out, "  may not %s: %s\n", permission.Operation, permission.Reason)
		}
	}
	traffic := status.Traffic
	fmt.Fprintf(out, "  sent %d datagrams, %d bytes; got %d, %d bytes; dropped: %d foreign, %d not opened, %d too long, %d crowded, %d over the rate\n",
		traffic.PacketsOut, traffic.BytesOut, traffic.PacketsIn, traffic.BytesIn, traffic.Foreign, traffic.Undecryptable, traffic.Oversized, traffic.QueueFull, traffic.RateLimited)
}

// viewDifferences is the JSON output of 'elderctl peers diff'.
type viewDifferences struct {
	Queried     int                  `json:"asked"`
	Silent      []string             `json:"silent"`
	Differences []members.Difference `json:"differences"`
}

func diffPeers(cmd *cobra.Command, addresses, _ []string) error {
	all := peers.QueryAllStatus(cmd.Context(), addresses)
	views, silent := splitResults(all)
	result := viewDifferences{len(all), silent, members.Differences(views)}
	err := printResult(cmd, result, func(out io.Writer) {
		for _, gateway := range silent {
			fmt.Fprintf(out, "no answer: %s\n", gateway)
		}
		for _, difference := range result.Differences {
			fmt.Fprintf(out, "%s: %s\n", difference.What, difference.LikelyCause)
			for _, group := range difference.Groups {
				fmt.Fprintf(out, "  %s: %s\n", strings.Join(group.By, " "), group.Value)
			}
		}
		if len(result.Differences) == 0 && len(views) > 0 {
			fmt.Fprintf(out, "the pictures of %d gateways are one\n", len(views))
		}
	})
	return cmp.Or(err, peersExitError(all))
}
