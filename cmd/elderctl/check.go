package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/revisions"
)

func checkCommand() *cobra.Command {
	var all bool
	var overlays []string
	var c connection
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Read a revision's file and say what is wrong with it; nothing is taken",
		Long:    "Read a revision's file with the gateway's own parsers, here, or with --all on every agent. Nothing is taken.\n" + fleetHelp,
		Example: "  elderctl check site.toml\n  elderctl check site.toml --all",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !all {
				if _, err := readContent(args[0], overlays, revisions.Content{}); err != nil {
					return err
				}
				return printResult(cmd, map[string]string{"file": args[0], "state": "good"}, func(w io.Writer) { fmt.Fprintf(w, "%s: good\n", args[0]) })
			}
			client, err := c.open()
			if err != nil {
				return err
			}
			defer client.Close()
			return callError(dryRunContent(cmd, client, args[0], overlays, false))
		},
	}
	cmd.Flags().BoolVar(&all, "all", false, "have every agent check it")
	cmd.Flags().StringArrayVar(&overlays, "overlay", nil, "an instance's overlay as NAME=FILE")
	c.flags(cmd)
	return withJSON(cmd)
}

func planCommand() *cobra.Command {
	var overlays []string
	cmd := withJSON(agentVerb("plan FILE", "Show what would change, and what each instance would have to do; nothing is taken",
		"  elderctl plan site.toml\n  elderctl plan site.toml --overlay g1=g1.toml", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			return dryRunContent(cmd, client, args[0], overlays, true)
		}))
	addOverlayFlag(cmd, &overlays)
	return cmd
}

// dryRunContent does a dry run of a content on all agents and prints what each instance would do. No agent stores the
// content. It is an error if an instance would reject it or an agent did not respond.
func dryRunContent(cmd *cobra.Command, client *agentapi.Client, path string, overlays []string, withDiff bool) error {
	ctx := cmd.Context()
	newest, status, err := newestRevision(ctx, client)
	if err != nil {
		return err
	}
	content, err := readContent(path, overlays, newest.Content)
	if err != nil {
		return err
	}
	probes, err := client.DryRun(ctx, content)
	if err != nil {
		return err
	}
	diff := diffContents(fmt.Sprintf("revision %d", newest.Number), path, newest.Content, content)
	err = printResult(cmd, map[string]any{"parent": newest.Number, "wanted": status.Desired, "diff": diff, "instances": probes}, func(out io.Writer) {
		if withDiff {
			printDiff(out, diff)
			fmt.Fprintln(out)
		}
		printDryRun(out, probes)
	})
	if err != nil {
		return err
	}
	return dryRunError(probes)
}

func printDryRun(out io.Writer, probes []agentapi.DryRunResult) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "instance\tagent\twould")
		for _, probe := range probes {
			step := string(probe.Step)
			if probe.Silent {
				step = "silent: " + probe.Error
			} else if probe.Error != "" {
				step = "refuse: " + probe.Error
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", orDash(probe.Instance), probe.Agent, step)
		}
	})
}

// dryRunError returns the exit status of a dry run. A rejection takes precedence over a silent agent.
func dryRunError(probes []agentapi.DryRunResult) error {
	rejected, silent := 0, 0
	for _, probe := range probes {
		switch {
		case probe.Silent:
			silent++
		case probe.Error != "":
			rejected++
		}
	}
	switch {
	case rejected > 0:
		return &exitError{exitRefused, fmt.Errorf("%d of %d would refuse it", rejected, len(probes))}
	case silent > 0:
		return &exitError{exitPartial, fmt.Errorf("%d agents are silent", silent)}
	}
	return nil
}
