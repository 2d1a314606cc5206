package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/pki"
)

// authorityName is the file name of the authority's own certificate. No other certificate may have it.
const authorityName = "ca"

func caCommand() *cobra.Command {
	var dir string
	cmd := commandGroup("ca", "Found the site's authority, issue and renew its certificates", initAuthorityCommand(&dir), issueCommand(&dir), renewCommand(&dir))
	cmd.PersistentFlags().StringVar(&dir, "dir", "ca", "the authority's folder")
	return cmd
}

func initAuthorityCommand(dir *string) *cobra.Command {
	return &cobra.Command{Use: "init", Short: "Found an authority in a folder that has none", Args: noArgs, Example: "  elderctl ca init --dir ca",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := pki.Init(*dir); err != nil {
				return usageError(err)
			}
			printCertificateFiles(cmd, *dir, authorityName)
			return nil
		}}
}

func issueCommand(dir *string) *cobra.Command {
	var role string
	cmd := certificateCommand("issue NAME", "Issue a certificate", "  elderctl ca issue ann --role operator --days 90", dir,
		func(name string, days int) error { return pki.Issue(*dir, name, pki.Role(role), days) })
	cmd.Flags().StringVar(&role, "role", "", "viewer, operator or agent")
	return cmd
}

func renewCommand(dir *string) *cobra.Command {
	return certificateCommand("renew NAME", "Make a new key and certificate for a name; running agents read it by themselves", "  elderctl ca renew a1 --days 90", dir,
		func(name string, days int) error { return pki.Renew(*dir, name, days) })
}

// certificateCommand returns a command that writes the certificate and the key for one name.
func certificateCommand(use, short, example string, dir *string, write func(name string, days int) error) *cobra.Command {
	var days int
	cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(1), Example: example,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkCertificateName(args[0]); err != nil {
				return usageError(err)
			}
			if err := write(args[0], days); err != nil {
				return usageError(err)
			}
			printCertificateFiles(cmd, *dir, args[0])
			return nil
		}}
	cmd.Flags().IntVar(&days, "days", 90, "so long it is valid")
	return cmd
}

func printCertificateFiles(cmd *cobra.Command, dir, name string) {
	fmt.Fprintf(cmd.OutOrStdout(), "wrote %s and %s\n", filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"))
}

func checkCertificateName(name string) error {
	if name == authorityName {
		return errors.New(`"ca" is the authority's own name`)
	}
	return fleet.CheckName("certificate", name)
}
