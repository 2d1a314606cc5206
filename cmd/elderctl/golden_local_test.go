package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"elderyard/internal/golden"
)

// Pins the output of the commands that read and write local files only.
func TestGoldenLocalVerbs(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	dir := t.TempDir()
	s.replacements = append(s.replacements, [2]string{dir, "TMP"})
	for _, flags := range [][]string{nil, {"--json"}} {
		for _, verb := range [][]string{{"site", "keys"}, {"agent", "keys"}, {"lab", "list"}, {"lab", "faults"}, {"lab", "read", "testdata/moments", "--every", "1s"}} {
			s.run("a list", append(verb, flags...)...)
		}
		s.run("traces", append([]string{"trace", "testdata/traces.jsonl"}, flags...)...)
		s.run("one trace", append([]string{"trace", "testdata/traces.jsonl", "AAAA"}, flags...)...)
		s.run("the capacity", append([]string{"capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json"}, flags...)...)
	}
	s.run("the capacity, all tables", "capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json", "--all")
	s.run("the operator's file", "site", "check", "testdata/overlay-site.toml")
	s.run("the authority", "ca", "init", "--dir", filepath.Join(dir, "ca"))
	s.run("the authority, again", "ca", "init", "--dir", filepath.Join(dir, "ca"))
	s.run("a certificate", "ca", "issue", "ann", "--role", "operator", "--dir", filepath.Join(dir, "ca"))
	s.run("a certificate, renewed", "ca", "renew", "ann", "--days", "30", "--dir", filepath.Join(dir, "ca"))
	s.run("the authority's own name", "ca", "issue", "ca", "--role", "operator", "--dir", filepath.Join(dir, "ca"))
	s.run("an agent's file", "agent", "init", filepath.Join(dir, "a"), "--name", "a1", "--gateway", "/bin/true", "--instance", "g0=127.0.0.1:8080")
	s.run("an agent's file, again", "agent", "init", filepath.Join(dir, "a"), "--name", "a1")
	s.run("gateways' configurations", "import", "--out", filepath.Join(dir, "site"), "testdata/g0.json", "testdata/g1.json", "testdata/g2.json")
	for _, path := range []string{"a/agent.toml", "site/site.toml", "site/g1.toml"} {
		fmt.Fprintf(&s.transcript, "=== %s\n%s", path, readFile(t, filepath.Join(dir, path)))
	}
	golden.Text(t, "local.txt", s.transcript.String())
}
