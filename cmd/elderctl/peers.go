package main

import (
	"cmp"
	"context"
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
	"elderyard/internal/wait"
	"elderyard/members"
)

const (
	peersVariable = "ELDERCTL_PEERS"
	watchInterval = 500 * time.Millisecond
	ageResolution = 100 * time.Millisecond
)

const peersHelp = `
Each gateway of elderyard-peers is asked at its operators' address (--at, as often
as wanted, or ELDERCTL_PEERS with commas between); the others are found by what it
knows. Ages are by each gateway's own clock, so clocks that differ do no harm.

Exit status: 0 all that were asked agree, 2 wrong usage, 8 nobody answered, 9 the
pictures differ or some gateways did not answer.`

// peersCommand shows what gateways believe of each other.
func peersCommand() *cobra.Command {
	var at []string
	cmd := commandGroup("peers", "Show what gateways know of each other, and where their pictures differ")
	cmd.Long = cmd.Short + ".\n" + peersHelp
	cmd.PersistentFlags().StringSliceVar(&at, "at", nil, "operators' address of a gateway")
	addresses := func() ([]string, error) {
		list := at
		if len(list) == 0 && os.Getenv(peersVariable) != "" {
			list = strings.Split(os.Getenv(peersVariable), ",")
		}
		if len(list) == 0 {
			return nil, usageError(fmt.Errorf("name a gateway's operators' address with --at, or in %s", peersVariable))
		}
		for _, a := range list {
			if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
				return nil, usageError(fmt.Errorf("--at: %q is not an address with a port", a))
			}
		}
		return list, nil
	}
	addVerb := func(use, short string, args cobra.PositionalArgs, do func(*cobra.Command, []string, []string) error) {
		cmd.AddCommand(withJSON(&cobra.Command{Use: use, Short: short, Long: short + ".\n" + peersHelp,
			Args: func(cmd *cobra.Command, list []string) error { return usageError(args(cmd, list)) },
			RunE: func(cmd *cobra.Command, args []string) error {
				list, err := addresses()
				if err != nil {
					return err
				}
				return do(cmd, list, args)
			}}))
	}
	addVerb("list", "List the members by each gateway's picture", cobra.NoArgs, listPeers)
	addVerb("view [NAME]", "Show each gateway's whole picture, or that of one", cobra.MaximumNArgs(1), viewPeers)
	addVerb("diff", "Show where pictures differ", cobra.NoArgs, diffPeers)
	addVerb("why NAME", "Show what all gateways learned of a member, newest first", cobra.ExactArgs(1), whyPeer)
	addVerb("watch", "Print what changes in the pictures, until interrupted", cobra.NoArgs, watchPeers)
	return cmd
}

// peersExitError is the exit status that what was gathered deserves.
func peersExitError(all []peers.QueryResult) error {
	views, silent := splitAnswers(all)
	switch {
	case len(views) == 0:
		return &exitError{exitUnreachable, fmt.Errorf("nobody answered: %s", all[0].Error)}
	case len(silent) > 0:
		return &exitError{exitDiffer, fmt.Errorf("no answer from %s", strings.Join(silent, "; "))}
	case len(members.Differences(views)) > 0:
		return &exitError{exitDiffer, errors.New("the pictures differ; see elderctl peers diff")}
	}
	return nil
}

func splitAnswers(all []peers.QueryResult) (views []members.View, silent []string) {
	for _, a := range all {
		if a.Status != nil {
			views = append(views, a.Status.View)
		} else {
			silent = append(silent, cmp.Or(a.Name, a.Address)+" ("+a.Error+")")
		}
	}
	return views, silent
}

func formatAge(now, then members.Time) string {
	if then == 0 {
		return "never"
	}
	return (now - then).Round(ageResolution).String() + " ago"
}

func listPeers(cmd *cobra.Command, at, _ []string) error {
	all := peers.QueryAllStatus(cmd.Context(), at)
	err := printResult(cmd, all, func(out io.Writer) {
		views, _ := splitAnswers(all)
		printTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "gateway\tverdict\tfor\tepoch\tsafe\tlikely\tdivides by\tlast answer\tnot there")
			for _, p := range views {
				var absent []string
				for _, v := range p.Members {
					if !v.State.Alive() {
						absent = append(absent, v.Name+" "+v.State.String())
					}
				}
				by := fmt.Sprint(p.QuotaDivisor)
				if p.QuotaDivisor == members.NoQuota {
					by = "no share"
				}
				fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%d\t%d\t%s\t%s\t%s\n", p.Self, p.Verdict, (p.At - p.Since).Round(ageResolution), p.Epoch, p.SafeCount, p.LikelyCount, by, formatAge(p.At, p.LastAnswer), orDash(strings.Join(absent, ", ")))
			}
		})
	})
	return cmp.Or(err, peersExitError(all))
}

func viewPeers(cmd *cobra.Command, at, args []string) error {
	all := peers.QueryAllStatus(cmd.Context(), at)
	if len(args) == 1 {
		if all = slices.DeleteFunc(all, func(a peers.QueryResult) bool { return a.Name != args[0] }); len(all) == 0 {
			return &exitError{exitUnreachable, fmt.Errorf("no gateway %s is known to those that were asked", args[0])}
		}
	}
	err := printResult(cmd, all, func(out io.Writer) {
		for i, a := range all {
			if i > 0 {
				fmt.Fprintln(out)
			}
			if a.Status == nil {
				fmt.Fprintf(out, "%s: no answer: %s\n", cmp.Or(a.Name, a.Address), a.Error)
				continue
			}
			printPeerView(out, a.Status)
		}
	})
	return cmp.Or(err, peersExitError(all))
}

func printPeerView(out io.Writer, a *peers.Status) {
	p := &a.View
	fmt.Fprintf(out, "%s of site %s, life %d: %v for %v: %s\n", p.Self, a.Site, p.Incarnation, p.Verdict, (p.At - p.Since).Round(ageResolution), p.Reason)
	fmt.Fprintf(out, "  roster of epoch %d, %d members; safe count %d, likely %d\n", p.Epoch, p.RosterSize, p.SafeCount, p.LikelyCount)
	switch {
	case p.SupersededBy != 0:
		fmt.Fprintf(out, "  life %d of its name has taken its place\n", p.SupersededBy)
	case p.UnawareMember != "":
		fmt.Fprintf(out, "  it has no share of quotas until %s knows of it\n", p.UnawareMember)
	}
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "  member\tstate\tfor\tlast answer to it\tepoch\tlife\treached at")
		for _, v := range p.Members {
			lastReply, state := formatAge(p.At, v.LastAnswer), v.State.String()
			if v.Self {
				lastReply, state = "-", "itself"
			}
			if !v.IsMember {
				state += ", not in the roster"
			}
			if v.EarlierIncarnations > 0 {
				state += fmt.Sprintf(", beside %d earlier", v.EarlierIncarnations)
			}
			fmt.Fprintf(w, "  %s\t%s\t%v\t%s\t%d\t%d\t%s\n", v.Name, state, (p.At - v.Since).Round(ageResolution), lastReply, v.Epoch, v.Incarnation, orDash(v.Address))
		}
	})
	for _, m := range a.Permissions {
		if !m.Allowed {
			fmt.Fprintf(out, "  may not %s: %s\n", m.Operation, m.Reason)
		}
	}
	t := a.Traffic
	fmt.Fprintf(out, "  sent %d datagrams, %d bytes; got %d, %d bytes; dropped: %d foreign, %d not opened, %d too long, %d crowded, %d over the rate\n",
		t.PacketsOut, t.BytesOut, t.PacketsIn, t.BytesIn, t.Foreign, t.Unsealed, t.Oversized, t.QueueFull, t.RateLimited)
}

// differences is what diff writes as JSON.
type differences struct {
	Queried     int                  `json:"asked"`
	Silent      []string             `json:"silent"`
	Differences []members.Difference `json:"differences"`
}

func diffPeers(cmd *cobra.Command, at, _ []string) error {
	all := peers.QueryAllStatus(cmd.Context(), at)
	views, silent := splitAnswers(all)
	d := differences{len(all), silent, members.Differences(views)}
	err := printResult(cmd, d, func(out io.Writer) {
		for _, s := range silent {
			fmt.Fprintf(out, "no answer: %s\n", s)
		}
		for _, diff := range d.Differences {
			fmt.Fprintf(out, "%s: %s\n", diff.What, diff.LikelyCause)
			for _, g := range diff.Groups {
				fmt.Fprintf(out, "  %s: %s\n", strings.Join(g.By, " "), g.Value)
			}
		}
		if len(d.Differences) == 0 && len(views) > 0 {
			fmt.Fprintf(out, "the pictures of %d gateways are one\n", len(views))
		}
	})
	return cmp.Or(err, peersExitError(all))
}

// evidenceLine is one thing that some gateway learned of a member.
type evidenceLine struct {
	Ago         time.Duration       `json:"ago_ns"`
	LearnedBy   string              `json:"learned_by"`
	Name        string              `json:"name"`
	Incarnation members.Incarnation `json:"life,omitempty"`
	What        string              `json:"what"`
	Source      string              `json:"by,omitempty"`
}

func whyPeer(cmd *cobra.Command, at, args []string) error {
	if err := members.CheckName(args[0]); err != nil {
		return usageError(err)
	}
	all := peers.QueryAllEvidence(cmd.Context(), at, args[0])
	lines := []evidenceLine{}
	for _, a := range all {
		if a.Evidence == nil {
			continue
		}
		for _, e := range a.Evidence.Evidence {
			lines = append(lines, evidenceLine{a.Evidence.At - e.At, a.Evidence.Self, e.Name, e.Incarnation, e.What, e.By})
		}
	}
	slices.SortStableFunc(lines, func(a, b evidenceLine) int { return cmp.Compare(a.Ago, b.Ago) })
	err := printResult(cmd, lines, func(out io.Writer) {
		printTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "ago\tlearned by\twhat of "+args[0]+"\tfrom\tlife")
			for _, c := range lines {
				fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%d\n", c.Ago.Round(ageResolution), c.LearnedBy, c.What, orDash(c.Source), c.Incarnation)
			}
		})
	})
	return cmp.Or(err, peersExitError(all))
}

// peerChange is one line of watch.
type peerChange struct {
	At      time.Time       `json:"at"`
	Name    string          `json:"name"`
	What    string          `json:"what"`
	Verdict members.Verdict `json:"verdict"`
}

func watchPeers(cmd *cobra.Command, at, _ []string) error {
	asJSON, err := cmd.Flags().GetBool("json")
	if err != nil {
		return err
	}
	last := map[string]string{}
	for {
		for _, a := range peers.QueryAllStatus(cmd.Context(), at) {
			name, text := cmp.Or(a.Name, a.Address), "no answer"
			verdict := members.Unsure
			if a.Status != nil {
				p := &a.Status.View
				verdict = p.Verdict
				text = fmt.Sprintf("%v: %s; epoch %d, safe %d, likely %d", p.Verdict, p.Reason, p.Epoch, p.SafeCount, p.LikelyCount)
			}
			if cmd.Context().Err() != nil || last[name] == text {
				continue
			}
			last[name] = text
			if c := (peerChange{time.Now(), name, text, verdict}); asJSON {
				if err := writeJSON(cmd.OutOrStdout(), "-", c); err != nil {
					return operationError(err)
				}
			} else {
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s  %s\n", c.At.Format(time.TimeOnly), name, text)
			}
		}
		if !wait.For(cmd.Context(), watchInterval) {
			return context.Cause(cmd.Context())
		}
	}
}
