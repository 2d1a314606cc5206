package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/records"
)

// recordsChangeTimeout limits the call of a change, which is retried after a lost response.
const recordsChangeTimeout = 30 * time.Second

// recordsChange holds the flags of the commands that change records.
type recordsChange struct {
	condition uint64
	message   string
	request   string
	wait      time.Duration
}

// flags adds the flags that set the change.
func (c *recordsChange) flags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Uint64Var(&c.condition, "if", 0, "change the record only if it is at this version; 0: only if it does not exist")
	flags.StringVar(&c.message, "message", "", "what it is for")
	flags.StringVar(&c.request, "request", "", "key of the change: a repeat under the same key is answered as the first was; default: a new one")
	flags.DurationVar(&c.wait, "wait", 0, "wait so long until the change is in force at every agent; 0: do not wait")
}

// ifVersion returns the version that the record must have for the change, nil without --if.
func (c *recordsChange) ifVersion(cmd *cobra.Command) *uint64 {
	if !cmd.Flags().Changed("if") {
		return nil
	}
	return &c.condition
}

// send sends the change, prints its result and, with --wait, waits until it is in force.
func (c *recordsChange) send(cmd *cobra.Command, client *agentapi.Client, operations []records.Operation) error {
	if c.request == "" {
		var err error
		if c.request, err = newRequestID(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), recordsChangeTimeout)
	defer cancel()
	result, err := client.ChangeRecords(ctx, agentapi.RecordsChange{IdempotencyKey: c.request, Message: c.message, Operations: operations})
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
	return awaitVersion(cmd.Context(), client, result.Version, c.wait)
}

func printRecordsResult(out io.Writer, result records.Result) {
	switch result.Status {
	case records.Accepted:
		fmt.Fprintf(out, "accepted as version %d\n", result.Version)
	case records.Unchanged:
		fmt.Fprintf(out, "unchanged: the records are so already, at version %d\n", result.Version)
	}
}

func putRecordsCommand() *cobra.Command {
	var change recordsChange
	var source putSource
	cmd := withJSON(agentVerb("put [KIND/NAME]", "Write a record, or with --from many in one change that is taken whole or not at all",
		"  elderctl records put tenant/acme --value '{\"plan\":\"gold\"}'\n  elderctl records put route/search --file route.json --if 812\n  elderctl records put --from changes.json --message 'new prices'",
		cobra.MaximumNArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			operations, err := source.operations(cmd, args, &change)
			if err != nil {
				return usageError(err)
			}
			return change.send(cmd, client, operations)
		}))
	change.flags(cmd)
	cmd.Flags().StringVar(&source.value, "value", "", "the record's value as JSON")
	cmd.Flags().StringVar(&source.file, "file", "", "file with the record's value as JSON")
	cmd.Flags().StringVar(&source.from, "from", "", `file with a JSON list of operations: {"key":"KIND/NAME","value":{...}} or {"key":"KIND/NAME","delete":true}, each with "if":VERSION where wanted`)
	return cmd
}

// putSource holds the flags of 'records put' for the source of the values.
type putSource struct {
	value string // JSON
	file  string // with one value
	from  string // with a list of operations
}

// operations returns the operations of a put: those in the file of --from, or one write of the record in the argument.
func (s *putSource) operations(cmd *cobra.Command, args []string, change *recordsChange) ([]records.Operation, error) {
	if s.from != "" {
		if len(args) > 0 || s.value != "" || s.file != "" || cmd.Flags().Changed("if") {
			return nil, errors.New("put: --from names the records, values and conditions: give nothing else beside it")
		}
		return readOperations(s.from)
	}
	if len(args) == 0 || (s.value == "") == (s.file == "") {
		return nil, errors.New("put: name one record, and its value by --value or --file")
	}
	key, err := records.ParseKey(args[0])
	if err != nil {
		return nil, err
	}
	value, origin := []byte(s.value), "--value"
	if s.file != "" {
		if value, err = os.ReadFile(s.file); err != nil {
			return nil, err
		}
		origin = s.file
	}
	if err := checkJSON(value); err != nil {
		return nil, fmt.Errorf("%s: %w", origin, err)
	}
	return []records.Operation{{Key: key, Value: value, IfVersion: change.ifVersion(cmd)}}, nil
}

// checkJSON returns an error unless the text is one JSON value.
func checkJSON(text []byte) error {
	var value json.RawMessage
	return json.Unmarshal(text, &value)
}

// readOperations reads a file with a JSON list of operations. Its errors contain the number of the operation, from 1.
func readOperations(path string) ([]records.Operation, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []json.RawMessage
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%s: want a JSON list of operations: %w", path, err)
	}
	operations := make([]records.Operation, len(list))
	for i, element := range list {
		decoder := json.NewDecoder(bytes.NewReader(element))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&operations[i]); err != nil {
			return nil, fmt.Errorf("%s: operation %d: %w", path, i+1, err)
		}
	}
	return operations, nil
}

func deleteRecordsCommand() *cobra.Command {
	var change recordsChange
	cmd := withJSON(agentVerb("delete KIND/NAME...", "Delete records in one change that is taken whole or not at all", "  elderctl records delete tenant/acme", cobra.MinimumNArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			if len(args) > 1 && cmd.Flags().Changed("if") {
				return usageError(errors.New("delete: --if is of one record: name one, or use put --from"))
			}
			var operations []records.Operation
			for _, text := range args {
				key, err := records.ParseKey(text)
				if err != nil {
					return usageError(err)
				}
				operations = append(operations, records.Operation{Key: key, Delete: true, IfVersion: change.ifVersion(cmd)})
			}
			return change.send(cmd, client, operations)
		}))
	change.flags(cmd)
	return cmd
}
