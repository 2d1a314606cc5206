package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// labSweepCommand returns the hidden verb that a lab starts to clean up after itself if it is killed. It reads its input,
// a pipe that ends with the lab's process, and then kills the processes that the lab's agents left running in DIR.
func labSweepCommand() *cobra.Command {
	return &cobra.Command{Use: "lab-keeper DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
				return operationError(err)
			}
			return operationError(lab.Sweep(args[0]))
		}}
}
