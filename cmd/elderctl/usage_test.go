package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestUsageErrorsNameTheFault(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("about = 'x'\nprovokes = 'y'\n[[fault]]\nkind = 'node-kil'\nat = '1s'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
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
		status, out, errs := tool(t, k.args...)
		if status != exitUsage || !strings.Contains(errs, k.want) || out != "" {
			t.Errorf("%v: status %d, output %q, errors %q", k.args, status, out, errs)
		}
	}
}

func TestListsAsTableAndJSON(t *testing.T) {
	for _, args := range [][]string{{"lab", "list"}, {"lab", "faults"}, {"site", "keys"}} {
		status, out, errs := tool(t, args...)
		if status != exitOK || len(strings.Split(out, "\n")) < 5 {
			t.Errorf("%v: %d %q %q", args, status, out, errs)
		}
		status, out, _ = tool(t, append(args, "--json")...)
		var list []map[string]any
		if err := json.Unmarshal([]byte(out), &list); status != exitOK || err != nil || len(list) < 5 {
			t.Errorf("%v as JSON: %d %v", args, status, err)
		}
	}
	if status, out, errs := tool(t, "site", "check", "../../deploy/site.toml"); status != exitOK || !strings.Contains(out, "good") {
		t.Errorf("%d %q %q", status, out, errs)
	}
}
