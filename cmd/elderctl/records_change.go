package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
	"elderyard/records"
)

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
		if !wait.For(ctx, lagPollInterval) {
			if err != nil {
				return err
			}
			return &exitError{exitPartly, fmt.Errorf("version %d is accepted, and not yet in force at %s", version, strings.Join(lacking, ", "))}
		}
	}
}

func putRecordsCommand() *cobra.Command {
	var change recordsChange
	var value, file, from string
	cmd := withJSON(agentVerb("put [KIND/NAME]", "Write a record, or with --from many in one change that is taken whole or not at all",
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
	cmd := withJSON(agentVerb("delete KIND/NAME...", "Delete records in one change that is taken whole or not at all", "  elderctl records delete tenant/acme", cobra.MinimumNArgs(1),
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
