package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/records"
)

// defaultVersions is the number of changes that 'records versions' lists without --limit.
const defaultVersions = 20

func recordsCommand() *cobra.Command {
	return commandGroup("records", "Change and read the site's records: routes, tenants, plans and services",
		putRecordsCommand(), deleteRecordsCommand(), getRecordCommand(), listRecordsCommand(), diffRecordsCommand(), recordsVersionsCommand(), recordsLagCommand())
}

func getRecordCommand() *cobra.Command {
	return withJSON(agentVerb("get KIND/NAME", "Print a record with its version", "  elderctl records get tenant/acme", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			key, err := records.ParseKey(args[0])
			if err != nil {
				return usageError(err)
			}
			list, err := client.Record(cmd.Context(), key)
			if err != nil {
				return err
			}
			if len(list.Records) == 0 {
				return &exitError{exitRefused, fmt.Errorf("there is no record %s at version %d", key, list.Version)}
			}
			return printResult(cmd, list.Records[0], func(out io.Writer) { printRecords(out, list.Records) })
		}))
}

func listRecordsCommand() *cobra.Command {
	var limit int
	cmd := withJSON(agentVerb("list KIND [PREFIX]", "List the records of a kind, by name", "  elderctl records list tenant ac", cobra.RangeArgs(1, 2),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			kind, err := records.ParseKind(args[0])
			if err != nil {
				return usageError(err)
			}
			if limit < 0 {
				return usageError(errors.New("list: --limit is below 0"))
			}
			prefix := ""
			if len(args) == 2 {
				prefix = args[1]
			}
			list, err := client.ListRecords(cmd.Context(), kind, prefix, limit)
			if err != nil {
				return err
			}
			return printResult(cmd, list, func(out io.Writer) {
				printRecords(out, list.Records)
				fmt.Fprintf(out, "%d shown; version %d has %d records of all kinds\n", len(list.Records), list.Version, list.Total)
			})
		}))
	cmd.Flags().IntVar(&limit, "limit", 0, "at most so many; 0: as many as are given at once")
	return cmd
}

func printRecords(out io.Writer, list []records.Record) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "record\tversion\tvalue")
		for _, record := range list {
			fmt.Fprintf(w, "%s\t%d\t%s\n", record.Key, record.Version, record.Value)
		}
	})
}

func diffRecordsCommand() *cobra.Command {
	return withJSON(agentVerb("diff VERSION [VERSION]", "Show which records changed since a version, or between two", "  elderctl records diff 812\n  elderctl records diff 812 830", cobra.RangeArgs(1, 2),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			var versions [2]uint64 // a second version of 0 means the newest
			for i, text := range args {
				var err error
				if versions[i], err = parseRecordsVersion(text); err != nil {
					return err
				}
			}
			diff, err := client.RecordsDiff(cmd.Context(), versions[0], versions[1])
			if err != nil {
				return err
			}
			return printResult(cmd, diff, func(out io.Writer) { printRecordsDiff(out, diff) })
		}))
}

// parseRecordsVersion parses a version number. 0 is the version before the first change.
func parseRecordsVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usageError(fmt.Errorf("%q is no version of the records", text))
	}
	return version, nil
}

func printRecordsDiff(out io.Writer, diff agentapi.RecordsDiff) {
	for _, change := range diff.Changes {
		switch {
		case change.Record != nil:
			fmt.Fprintf(out, "%s\n", paint(out, green, fmt.Sprintf("+ %d %s %s", change.Version, change.Key, change.Record.Value)))
		case change.SupersededBy > 0:
			fmt.Fprintf(out, "~ %d %s (written anew at version %d)\n", change.Version, change.Key, change.SupersededBy)
		default:
			fmt.Fprintf(out, "%s\n", paint(out, red, fmt.Sprintf("- %d %s", change.Version, change.Key)))
		}
	}
	fmt.Fprintf(out, "%d records changed from version %d to %d\n", len(diff.Changes), diff.From, diff.To)
}

func recordsVersionsCommand() *cobra.Command {
	var limit int
	cmd := withJSON(agentVerb("versions", "List the newest changes of the records, the newest first", "  elderctl records versions --limit 5", cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			if limit < 0 {
				return usageError(errors.New("versions: --limit is below 0"))
			}
			versions, err := client.RecordsVersions(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return printResult(cmd, versions, func(out io.Writer) { printRecordsVersions(out, versions) })
		}))
	cmd.Flags().IntVar(&limit, "limit", defaultVersions, "at most so many; 0: all that are kept")
	return cmd
}

func printRecordsVersions(out io.Writer, versions agentapi.RecordsVersions) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "version\tat\tauthor\trecords\tmessage")
		for _, v := range versions.Changes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", v.Version, v.At.Local().Format(time.DateTime), v.Author, v.Operations, v.Message)
		}
	})
}
