package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/pki"
)

func caCommand() *cobra.Command {
	var dir string
	var role string
	var days int
	done := func(cmd *cobra.Command, name string) {
		fmt.Fprintf(cmd.OutOrStdout(), "wrote %s and %s\n", filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
	}
	init := &cobra.Command{Use: "init", Short: "Found an authority in a folder that has none", Args: noArgs, Example: "  elderctl ca init --dir ca",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := pki.Init(dir); err != nil {
				return usageError(err)
			}
			done(cmd, "ca")
			return nil
		}}
	issue := &cobra.Command{Use: "issue NAME", Short: "Issue a certificate", Args: exactArgs(1), Example: "  elderctl ca issue ann --role operator --days 90",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkCertificateName(args[0]); err != nil {
				return usageError(err)
			}
			if err := pki.Issue(dir, args[0], pki.Role(role), days); err != nil {
				return usageError(err)
			}
			done(cmd, args[0])
			return nil
		}}
	renew := &cobra.Command{Use: "renew NAME", Short: "Make a new key and certificate for a name; running agents read it by themselves", Args: exactArgs(1),
		Example: "  elderctl ca renew a1 --days 90",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkCertificateName(args[0]); err != nil {
				return usageError(err)
			}
			if err := pki.Renew(dir, args[0], days); err != nil {
				return usageError(err)
			}
			done(cmd, args[0])
			return nil
		}}
	issue.Flags().StringVar(&role, "role", "", "viewer, operator or agent")
	for _, c := range []*cobra.Command{issue, renew} {
		c.Flags().IntVar(&days, "days", 90, "so long it is valid")
	}
	cmd := commandGroup("ca", "Found the site's authority, issue and renew its certificates", init, issue, renew)
	cmd.PersistentFlags().StringVar(&dir, "dir", "ca", "the authority's folder")
	return cmd
}

func checkCertificateName(name string) error {
	if name == "ca" {
		return errors.New(`"ca" is the authority's own name`)
	}
	return fleet.CheckName("certificate", name)
}
