package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Usage errors name the invalid argument, or the line and key of a file.
func TestUsageErrorsNameTheFault(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("about = 'x'\nprovokes = 'y'\n[[fault]]\nkind = 'node-kil'\nat = '1s'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		args []string
		want string
	}{
		{[]string{"lab", "--scenario", bad}, bad + `:4: fault[0].kind: there is no fault "node-kil"; did you mean "node-kill"?`},
		{[]string{"lab", "--scenario", "quite"}, `did you mean "quiet"?`},
		{[]string{"lab", "--gateways", "101"}, "gateways: 101 is not between 1 and 100"},
		{[]string{"lab", "--for", "soon"}, "soon"},
		{[]string{"lab", "--rat", "5"}, "unknown flag"},
		{[]string{"lab", "nonsense"}, "nonsense"},
		{[]string{"labb"}, "labb"},
		{[]string{"site"}, "keys, check"},
		{[]string{"site", "check"}, "accepts 1 arg"},
		{[]string{"site", "check", bad}, ":1: about: there is no such key"},
	} {
		status, out, errs := runTool(t, tc.args...)
		if status != exitUsage || !strings.Contains(errs, tc.want) || out != "" {
			t.Errorf("%v: status %d, output %q, errors %q", tc.args, status, out, errs)
		}
	}
}

// The commands that print lists support --json, and the shipped site file is valid.
func TestListsAsTableAndJSON(t *testing.T) {
	for _, args := range [][]string{{"lab", "list"}, {"lab", "faults"}, {"site", "keys"}} {
		status, out, errs := runTool(t, args...)
		if status != exitOK || len(strings.Split(out, "\n")) < 5 {
			t.Errorf("%v: %d %q %q", args, status, out, errs)
		}
		status, out, _ = runTool(t, append(args, "--json")...)
		var list []map[string]any
		if err := json.Unmarshal([]byte(out), &list); status != exitOK || err != nil || len(list) < 5 {
			t.Errorf("%v as JSON: %d %v", args, status, err)
		}
	}
	if status, out, errs := runTool(t, "site", "check", "../../deploy/site.toml"); status != exitOK || !strings.Contains(out, "good") {
		t.Errorf("%d %q %q", status, out, errs)
	}
}
