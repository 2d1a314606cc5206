package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// labSweepCommand returns the hidden command that a lab starts for its cleanup in case it is killed. It reads standard
// input, a pipe that closes when the lab's process ends, and then kills the processes that the lab's agents left
// running in DIR.
func labSweepCommand() *cobra.Command {
	return &cobra.Command{Use: "lab-keeper DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
				return operationError(err)
			}
			return operationError(lab.Sweep(args[0]))
		}}
}
