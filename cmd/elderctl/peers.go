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
	"elderyard/members"
)

const (
	peersVariable = "ELDERCTL_PEERS"
	watchEvery    = 500 * time.Millisecond
	roundAges     = 100 * time.Millisecond
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
	cmd := group("peers", "Show what gateways know of each other, and where their pictures differ")
	cmd.Long = cmd.Short + ".\n" + peersHelp
	cmd.PersistentFlags().StringSliceVar(&at, "at", nil, "operators' address of a gateway")
	addresses := func() ([]string, error) {
		list := at
		if len(list) == 0 && os.Getenv(peersVariable) != "" {
			list = strings.Split(os.Getenv(peersVariable), ",")
		}
		if len(list) == 0 {
			return nil, usage(fmt.Errorf("name a gateway's operators' address with --at, or in %s", peersVariable))
		}
		for _, a := range list {
			if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
				return nil, usage(fmt.Errorf("--at: %q is not an address with a port", a))
			}
		}
		return list, nil
	}
	ask := func(use, short string, args cobra.PositionalArgs, do func(*cobra.Command, []string, []string) error) {
		cmd.AddCommand(withJSON(&cobra.Command{Use: use, Short: short, Long: short + ".\n" + peersHelp,
			Args: func(cmd *cobra.Command, list []string) error { return usage(args(cmd, list)) },
			RunE: func(cmd *cobra.Command, args []string) error {
				list, err := addresses()
				if err != nil {
					return err
				}
				return do(cmd, list, args)
			}}))
	}
	ask("list", "List the members by each gateway's picture", cobra.NoArgs, listPeers)
	ask("view [NAME]", "Show each gateway's whole picture, or that of one", cobra.MaximumNArgs(1), viewPeers)
	ask("diff", "Show where pictures differ", cobra.NoArgs, diffPeers)
	ask("why NAME", "Show what all gateways learned of a member, newest first", cobra.ExactArgs(1), whyPeer)
	ask("watch", "Print what changes in the pictures, until interrupted", cobra.NoArgs, watchPeers)
	return cmd
}

// judgePeers is the exit status that what was gathered deserves.
func judgePeers(all []peers.Asked) error {
	pictures, silent := picturesOf(all)
	switch {
	case len(pictures) == 0:
		return &exitError{exitUnreachable, fmt.Errorf("nobody answered: %s", all[0].Trouble)}
	case len(silent) > 0:
		return &exitError{exitDiffer, fmt.Errorf("no answer from %s", strings.Join(silent, "; "))}
	case len(members.Differences(pictures)) > 0:
		return &exitError{exitDiffer, errors.New("the pictures differ; see elderctl peers diff")}
	}
	return nil
}

func picturesOf(all []peers.Asked) (pictures []members.Picture, silent []string) {
	for _, a := range all {
		if a.Answer != nil {
			pictures = append(pictures, a.Answer.Picture)
		} else {
			silent = append(silent, cmp.Or(a.Name, a.At)+" ("+a.Trouble+")")
		}
	}
	return pictures, silent
}

func ago(now, then members.Time) string {
	if then == 0 {
		return "never"
	}
	return (now - then).Round(roundAges).String() + " ago"
}

func listPeers(cmd *cobra.Command, at, _ []string) error {
	all := peers.Gather(cmd.Context(), at)
	err := show(cmd, all, func(out io.Writer) {
		pictures, _ := picturesOf(all)
		table(out, func(w io.Writer) {
			fmt.Fprintln(w, "gateway\tverdict\tfor\tepoch\tsafe\tlikely\tdivides by\tlast answer\tnot there")
			for _, p := range pictures {
				var gone []string
				for _, v := range p.Members {
					if !v.State.There() {
						gone = append(gone, v.Name+" "+v.State.String())
					}
				}
				by := fmt.Sprint(p.Share)
				if p.Share == members.NoShare {
					by = "no share"
				}
				fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%d\t%d\t%s\t%s\t%s\n", p.Self, p.Verdict, (p.At - p.Since).Round(roundAges), p.Epoch, p.Safe, p.Likely, by, ago(p.At, p.Heard), dash(strings.Join(gone, ", ")))
			}
		})
	})
	return cmp.Or(err, judgePeers(all))
}

func viewPeers(cmd *cobra.Command, at, args []string) error {
	all := peers.Gather(cmd.Context(), at)
	if len(args) == 1 {
		if all = slices.DeleteFunc(all, func(a peers.Asked) bool { return a.Name != args[0] }); len(all) == 0 {
			return &exitError{exitUnreachable, fmt.Errorf("no gateway %s is known to those that were asked", args[0])}
		}
	}
	err := show(cmd, all, func(out io.Writer) {
		for i, a := range all {
			if i > 0 {
				fmt.Fprintln(out)
			}
			if a.Answer == nil {
				fmt.Fprintf(out, "%s: no answer: %s\n", cmp.Or(a.Name, a.At), a.Trouble)
				continue
			}
			printPicture(out, a.Answer)
		}
	})
	return cmp.Or(err, judgePeers(all))
}

func printPicture(out io.Writer, a *peers.Answer) {
	p := &a.Picture
	fmt.Fprintf(out, "%s of site %s, life %d: %v for %v: %s\n", p.Self, a.Site, p.Life, p.Verdict, (p.At - p.Since).Round(roundAges), p.Why)
	fmt.Fprintf(out, "  roster of epoch %d, %d members; safe count %d, likely %d\n", p.Epoch, p.Belong, p.Safe, p.Likely)
	switch {
	case p.Superseded != 0:
		fmt.Fprintf(out, "  life %d of its name has taken its place\n", p.Superseded)
	case p.Joining != "":
		fmt.Fprintf(out, "  it has no share of quotas until %s knows of it\n", p.Joining)
	}
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "  member\tstate\tfor\tlast answer to it\tepoch\tlife\treached at")
		for _, v := range p.Members {
			heard, state := ago(p.At, v.Heard), v.State.String()
			if v.Self {
				heard, state = "-", "itself"
			}
			if !v.Belongs {
				state += ", not in the roster"
			}
			if v.Older > 0 {
				state += fmt.Sprintf(", beside %d earlier", v.Older)
			}
			fmt.Fprintf(w, "  %s\t%s\t%v\t%s\t%d\t%d\t%s\n", v.Name, state, (p.At - v.Since).Round(roundAges), heard, v.Epoch, v.Life, dash(v.Address))
		}
	})
	for _, m := range a.May {
		if !m.May {
			fmt.Fprintf(out, "  may not %s: %s\n", m.Use, m.Why)
		}
	}
	t := a.Traffic
	fmt.Fprintf(out, "  sent %d datagrams, %d bytes; got %d, %d bytes; dropped: %d foreign, %d not opened, %d too long, %d crowded, %d over the rate\n",
		t.PacketsOut, t.BytesOut, t.PacketsIn, t.BytesIn, t.Foreign, t.Unsealed, t.Oversized, t.Crowded, t.Over)
}

// differences is what diff writes as JSON.
type differences struct {
	Asked       int                  `json:"asked"`
	Silent      []string             `json:"silent"`
	Differences []members.Difference `json:"differences"`
}

func diffPeers(cmd *cobra.Command, at, _ []string) error {
	all := peers.Gather(cmd.Context(), at)
	pictures, silent := picturesOf(all)
	d := differences{len(all), silent, members.Differences(pictures)}
	err := show(cmd, d, func(out io.Writer) {
		for _, s := range silent {
			fmt.Fprintf(out, "no answer: %s\n", s)
		}
		for _, diff := range d.Differences {
			fmt.Fprintf(out, "%s: %s\n", diff.What, diff.Belief)
			for _, g := range diff.Groups {
				fmt.Fprintf(out, "  %s: %s\n", strings.Join(g.By, " "), g.Says)
			}
		}
		if len(d.Differences) == 0 && len(pictures) > 0 {
			fmt.Fprintf(out, "the pictures of %d gateways are one\n", len(pictures))
		}
	})
	return cmp.Or(err, judgePeers(all))
}

// clue is one thing that some gateway learned of a member.
type clue struct {
	Ago  time.Duration `json:"ago_ns"`
	Of   string        `json:"learned_by"`
	Name string        `json:"name"`
	Life members.Life  `json:"life,omitempty"`
	What string        `json:"what"`
	By   string        `json:"by,omitempty"`
}

func whyPeer(cmd *cobra.Command, at, args []string) error {
	if err := members.CheckName(args[0]); err != nil {
		return usage(err)
	}
	all := peers.GatherWhy(cmd.Context(), at, args[0])
	clues := []clue{}
	for _, a := range all {
		if a.Why == nil {
			continue
		}
		for _, e := range a.Why.Evidence {
			clues = append(clues, clue{a.Why.At - e.At, a.Why.Self, e.Name, e.Life, e.What, e.By})
		}
	}
	slices.SortStableFunc(clues, func(a, b clue) int { return cmp.Compare(a.Ago, b.Ago) })
	err := show(cmd, clues, func(out io.Writer) {
		table(out, func(w io.Writer) {
			fmt.Fprintln(w, "ago\tlearned by\twhat of "+args[0]+"\tfrom\tlife")
			for _, c := range clues {
				fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%d\n", c.Ago.Round(roundAges), c.Of, c.What, dash(c.By), c.Life)
			}
		})
	})
	return cmp.Or(err, judgePeers(all))
}

// peerChange is one line of watch.
type peerChange struct {
	At   time.Time       `json:"at"`
	Name string          `json:"name"`
	What string          `json:"what"`
	Now  members.Verdict `json:"verdict"`
}

func watchPeers(cmd *cobra.Command, at, _ []string) error {
	asJSON, err := cmd.Flags().GetBool("json")
	if err != nil {
		return err
	}
	last := map[string]string{}
	for {
		for _, a := range peers.Gather(cmd.Context(), at) {
			name, text := cmp.Or(a.Name, a.At), "no answer"
			verdict := members.Unsure
			if a.Answer != nil {
				p := &a.Answer.Picture
				verdict = p.Verdict
				text = fmt.Sprintf("%v: %s; epoch %d, safe %d, likely %d", p.Verdict, p.Why, p.Epoch, p.Safe, p.Likely)
			}
			if cmd.Context().Err() != nil || last[name] == text {
				continue
			}
			last[name] = text
			if c := (peerChange{time.Now(), name, text, verdict}); asJSON {
				if err := writeJSON(cmd.OutOrStdout(), "-", c); err != nil {
					return began(err)
				}
			} else {
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %s  %s\n", c.At.Format(time.TimeOnly), name, text)
			}
		}
		if !pause(cmd.Context(), watchEvery) {
			return context.Cause(cmd.Context())
		}
	}
}
