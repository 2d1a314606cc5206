package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// labSweepCommand is the process that outlives a lab that was killed: when its
// input ends, it ends what the lab's agents have left running.
func labSweepCommand() *cobra.Command {
	return &cobra.Command{Use: "lab-keeper DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
				return operationError(err)
			}
			return operationError(lab.Sweep(args[0]))
		}}
}
