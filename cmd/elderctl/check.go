package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
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
			return callError(probeContent(cmd, client, args[0], overlays, false))
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
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			return probeContent(cmd, client, args[0], overlays, true)
		}))
	cmd.Flags().StringArrayVar(&overlays, "overlay", nil, "an instance's overlay as NAME=FILE; NAME= takes it away, and others stay as they are")
	return cmd
}

// probeContent has all agents look at a content.
func probeContent(cmd *cobra.Command, client *agent.Client, path string, overlays []string, withDiff bool) error {
	ctx := cmd.Context()
	newest, s, err := newestRevision(ctx, client)
	if err != nil {
		return err
	}
	content, err := readContent(path, overlays, newest.Content)
	if err != nil {
		return err
	}
	list, err := client.Probe(ctx, content)
	if err != nil {
		return err
	}
	difference := diffContents(fmt.Sprintf("revision %d", newest.Number), path, newest.Content, content)
	bad, silent := 0, 0
	for _, p := range list {
		switch {
		case p.Silent:
			silent++
		case p.Error != "":
			bad++
		}
	}
	err = printResult(cmd, map[string]any{"parent": newest.Number, "wanted": s.Wanted, "diff": difference, "instances": list}, func(out io.Writer) {
		if withDiff {
			printDiff(out, difference)
			fmt.Fprintln(out)
		}
		printTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "instance\tagent\twould")
			for _, p := range list {
				step := string(p.Step)
				if p.Silent {
					step = "silent: " + p.Error
				} else if p.Error != "" {
					step = "refuse: " + p.Error
				}
				fmt.Fprintf(w, "%s\t%s\t%s\n", orDash(p.Instance), p.Agent, step)
			}
		})
	})
	switch {
	case err != nil:
		return err
	case bad > 0:
		return &exitError{exitRefused, fmt.Errorf("%d of %d would refuse it", bad, len(list))}
	case silent > 0:
		return &exitError{exitPartly, fmt.Errorf("%d agents are silent", silent)}
	}
	return nil
}
