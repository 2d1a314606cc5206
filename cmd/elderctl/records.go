package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/internal/agentapi"
	"elderyard/records"
)

const (
	// defaultVersions is how many changes 'records versions' lists unless it is told.
	defaultVersions = 20
	lagPollInterval = 200 * time.Millisecond
	// recordsChangeTimeout is for how long a change whose answer is lost is repeated.
	recordsChangeTimeout = 30 * time.Second
	maxNamedAgents       = 5 // of those that lack a change, in an error
)

func recordsCommand() *cobra.Command {
	return commandGroup("records", "Change and read the site's records: routes, tenants, plans and services",
		putRecordsCommand(), deleteRecordsCommand(), getRecordCommand(), listRecordsCommand(), diffRecordsCommand(), recordsVersionsCommand(), recordsLagCommand())
}

// recordsChange is how a change of records is sent.
type recordsChange struct {
	condition uint64
	message   string
	request   string
	wait      time.Duration
}

func (c *recordsChange) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.Uint64Var(&c.condition, "if", 0, "change the record only if it is at this version; 0: only if it does not exist")
	f.StringVar(&c.message, "message", "", "what it is for")
	f.StringVar(&c.request, "request", "", "key of the change: a repeat under the same key is answered as the first was; default: a new one")
	f.DurationVar(&c.wait, "wait", 0, "wait so long until the change is in force at every agent; 0: do not wait")
}

// conditionOf returns the version that the record is expected at; nil: any.
func (c *recordsChange) conditionOf(cmd *cobra.Command) *uint64 {
	if !cmd.Flags().Changed("if") {
		return nil
	}
	return &c.condition
}

// send makes the change and shows what became of it.
func (c *recordsChange) send(cmd *cobra.Command, client *agent.Client, operations []records.Operation) error {
	if c.request == "" {
		var err error
		if c.request, err = newRequestID(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), recordsChangeTimeout)
	defer cancel()
	result, err := client.ChangeRecords(ctx, agentapi.RecordsChange{Request: c.request, Message: c.message, Operations: operations})
	if err != nil {
		return err
	}
	if err := printResult(cmd, result, func(out io.Writer) { printRecordsResult(out, result) }); err != nil {
		return err
	}
	switch result.Status {
	case records.Conflict:
		return &exitError{exitConflict, fmt.Errorf("another change came first, and nothing was changed: %w", result.Problem)}
	case records.Invalid:
		return &exitError{exitRefused, fmt.Errorf("the change is refused, and nothing was changed: %w", result.Problem)}
	}
	return c.await(cmd.Context(), client, result.Version)
}

func printRecordsResult(out io.Writer, result records.Result) {
	switch result.Status {
	case records.Accepted:
		fmt.Fprintf(out, "accepted as version %d\n", result.Version)
	case records.Unchanged:
		fmt.Fprintf(out, "unchanged: the records are so already, at version %d\n", result.Version)
	}
}

// await waits until every agent that keeps records has a version.
func (c *recordsChange) await(ctx context.Context, client *agent.Client, version uint64) error {
	if c.wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	for {
		lag, err := client.RecordsLag(ctx)
		lacking := agentsBehind(lag, version)
		if err == nil && len(lacking) == 0 {
			return nil
		}
		if !pause(ctx, lagPollInterval) {
			if err != nil {
				return err
			}
			return &exitError{exitPartly, fmt.Errorf("version %d is accepted, and not yet in force at %s", version, strings.Join(lacking, ", "))}
		}
	}
}

// agentsBehind names agents that are not known to have a version, the first few.
func agentsBehind(lag agentapi.RecordsLag, version uint64) (names []string) {
	more := 0
	for _, a := range lag.Agents {
		has := a.Status.Version >= version && (a.State == agentapi.RecordsInForce || a.State == agentapi.RecordsBehind)
		switch {
		case has || a.State == agentapi.RecordsNoReports:
		case len(names) < maxNamedAgents:
			names = append(names, fmt.Sprintf("%s (%s, version %d)", a.Agent, a.State, a.Status.Version))
		default:
			more++
		}
	}
	if more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return names
}

func putRecordsCommand() *cobra.Command {
	var change recordsChange
	var value, file, from string
	cmd := withJSON(verb("put [KIND/NAME]", "Write a record, or with --from many in one change that is taken whole or not at all",
		"  elderctl records put tenant/acme --value '{\"plan\":\"gold\"}'\n  elderctl records put route/search --file route.json --if 812\n  elderctl records put --from changes.json --message 'new prices'",
		cobra.MaximumNArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			operations, err := readPut(cmd, args, &change, value, file, from)
			if err != nil {
				return usageError(err)
			}
			return change.send(cmd, client, operations)
		}))
	change.flags(cmd)
	cmd.Flags().StringVar(&value, "value", "", "the record's value as JSON")
	cmd.Flags().StringVar(&file, "file", "", "file with the record's value as JSON")
	cmd.Flags().StringVar(&from, "from", "", `file with a JSON list of operations: {"key":"KIND/NAME","value":{...}} or {"key":"KIND/NAME","delete":true}, each with "if":VERSION where wanted`)
	return cmd
}

// readPut makes the operations of a put out of its arguments.
func readPut(cmd *cobra.Command, args []string, change *recordsChange, value, file, from string) ([]records.Operation, error) {
	if from != "" {
		if len(args) > 0 || value != "" || file != "" || cmd.Flags().Changed("if") {
			return nil, errors.New("put: --from names the records, values and conditions: give nothing else beside it")
		}
		return readOperations(from)
	}
	if len(args) == 0 || (value == "") == (file == "") {
		return nil, errors.New("put: name one record, and its value by --value or --file")
	}
	key, err := records.ParseKey(args[0])
	if err != nil {
		return nil, err
	}
	text, place := []byte(value), "--value"
	if file != "" {
		if text, err = os.ReadFile(file); err != nil {
			return nil, err
		}
		place = file
	}
	if err := checkJSON(text); err != nil {
		return nil, fmt.Errorf("%s: %w", place, err)
	}
	return []records.Operation{{Key: key, Value: text, IfVersion: change.conditionOf(cmd)}}, nil
}

// checkJSON finds what keeps a text from being one JSON value.
func checkJSON(text []byte) error {
	var value json.RawMessage
	return json.Unmarshal(text, &value)
}

// readOperations reads a file of operations, and names the one that makes no sense.
func readOperations(path string) ([]records.Operation, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, fmt.Errorf("%s: want a JSON list of operations: %w", path, err)
	}
	operations := make([]records.Operation, len(parts))
	for i, part := range parts {
		decoder := json.NewDecoder(bytes.NewReader(part))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&operations[i]); err != nil {
			return nil, fmt.Errorf("%s: operation %d: %w", path, i+1, err)
		}
	}
	return operations, nil
}

func deleteRecordsCommand() *cobra.Command {
	var change recordsChange
	cmd := withJSON(verb("delete KIND/NAME...", "Delete records in one change that is taken whole or not at all", "  elderctl records delete tenant/acme", cobra.MinimumNArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			if len(args) > 1 && cmd.Flags().Changed("if") {
				return usageError(errors.New("delete: --if is of one record: name one, or use put --from"))
			}
			var operations []records.Operation
			for _, text := range args {
				key, err := records.ParseKey(text)
				if err != nil {
					return usageError(err)
				}
				operations = append(operations, records.Operation{Key: key, Delete: true, IfVersion: change.conditionOf(cmd)})
			}
			return change.send(cmd, client, operations)
		}))
	change.flags(cmd)
	return cmd
}

func getRecordCommand() *cobra.Command {
	return withJSON(verb("get KIND/NAME", "Print a record with its version", "  elderctl records get tenant/acme", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
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
	cmd := withJSON(verb("list KIND [PREFIX]", "List the records of a kind, by name", "  elderctl records list tenant ac", cobra.RangeArgs(1, 2),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
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
			list, err := client.RecordsOf(cmd.Context(), kind, prefix, limit)
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
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "record\tversion\tvalue")
		for _, r := range list {
			fmt.Fprintf(w, "%s\t%d\t%s\n", r.Key, r.Version, r.Value)
		}
	})
}

// parseRecordsVersion reads a version's number; 0 is that before the first change.
func parseRecordsVersion(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usageError(fmt.Errorf("%q is no version of the records", text))
	}
	return n, nil
}

func diffRecordsCommand() *cobra.Command {
	return withJSON(verb("diff VERSION [VERSION]", "Show which records changed since a version, or between two", "  elderctl records diff 812\n  elderctl records diff 812 830", cobra.RangeArgs(1, 2),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			var versions [2]uint64
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

func printRecordsDiff(out io.Writer, diff agentapi.RecordsDiff) {
	for _, c := range diff.Changes {
		switch {
		case c.Record != nil:
			fmt.Fprintf(out, "%s\n", paint(out, green, fmt.Sprintf("+ %d %s %s", c.Version, c.Key, c.Record.Value)))
		case c.SupersededBy > 0:
			fmt.Fprintf(out, "~ %d %s (written anew at version %d)\n", c.Version, c.Key, c.SupersededBy)
		default:
			fmt.Fprintf(out, "%s\n", paint(out, red, fmt.Sprintf("- %d %s", c.Version, c.Key)))
		}
	}
	fmt.Fprintf(out, "%d records changed from version %d to %d\n", len(diff.Changes), diff.From, diff.To)
}

func recordsVersionsCommand() *cobra.Command {
	var limit int
	cmd := withJSON(verb("versions", "List the newest changes of the records, the newest first", "  elderctl records versions --limit 5", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			if limit < 0 {
				return usageError(errors.New("versions: --limit is below 0"))
			}
			versions, err := client.RecordsVersions(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return printResult(cmd, versions, func(out io.Writer) {
				table(out, func(w io.Writer) {
					fmt.Fprintln(w, "version\tat\tauthor\trecords\tmessage")
					for _, v := range versions.Changes {
						fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", v.Version, v.At.Local().Format(time.DateTime), v.Author, v.Operations, v.Message)
					}
				})
			})
		}))
	cmd.Flags().IntVar(&limit, "limit", defaultVersions, "at most so many; 0: all that are kept")
	return cmd
}

func recordsLagCommand() *cobra.Command {
	return withJSON(verb("lag", "Tell at which agents the newest records are in force, and who is behind, since when and why; exit status 7 if any is",
		"  elderctl records lag", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			lag, err := client.RecordsLag(cmd.Context())
			if err != nil {
				return err
			}
			if err := printResult(cmd, lag, func(out io.Writer) { printRecordsLag(out, lag, time.Now()) }); err != nil {
				return err
			}
			if lag.Stale != "" {
				return &exitError{exitUnreachable, fmt.Errorf("no leader answers: %s", lag.Stale)}
			}
			if !lag.Everywhere() {
				return &exitError{exitPartly, fmt.Errorf("version %d is not in force everywhere", lag.Version)}
			}
			return nil
		}))
}

func printRecordsLag(out io.Writer, lag agentapi.RecordsLag, now time.Time) {
	printStale(out, lag.Stale)
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "agent\tstate\tversion\tbehind for\tconfirmed\twhy")
		for _, a := range lag.Agents {
			behind := ""
			if a.Since != nil {
				behind = now.Sub(*a.Since).Round(time.Second).String()
			}
			confirmed := ""
			if a.ReportedAt != nil && a.Status.AgeSeconds != nil {
				age := now.Sub(*a.ReportedAt) + time.Duration(*a.Status.AgeSeconds*float64(time.Second))
				confirmed = max(0, age).Round(time.Second).String() + " ago"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", a.Agent, a.State, a.Status.Version, dashIfEmpty(behind), dashIfEmpty(confirmed), dashIfEmpty(a.Status.Why))
		}
	})
	fmt.Fprintf(out, "version %d, digest %s: in force at %d of %d agents\n", lag.Version, lag.Digest, lag.InForce, len(lag.Agents))
}
