package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"elderyard/internal/site"
)

// keyLine is one key of a file, as `elderctl site keys` lists them.
type keyLine struct {
	Key   string `json:"key"`
	About string `json:"about"`
}

func siteCommand() *cobra.Command {
	keys := keysCommand("List every key of the operator's file and what it means", site.Keys)
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Read an operator's file and say what is wrong with it",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err) // here, unlike for a gateway, the file must be there
			}
			if _, err := site.Parse(args[0], text); err != nil {
				return usageError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", args[0])
			return nil
		},
	}
	return commandGroup("site", "Read the operator's file and its keys", keys, check)
}

// keysCommand lists the keys of a file.
func keysCommand(short string, keys func() [][2]string) *cobra.Command {
	return listCommand("keys", short,
		func() (lines []keyLine, err error) {
			for _, k := range keys() {
				lines = append(lines, keyLine{k[0], k[1]})
			}
			return lines, nil
		},
		func(out io.Writer, lines []keyLine) error {
			table(out, func(w io.Writer) {
				for _, k := range lines {
					fmt.Fprintf(w, "%s\t%s\n", k.Key, k.About)
				}
			})
			return nil
		})
}
