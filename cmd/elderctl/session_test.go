package main

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// session runs the tool and records the command, the calls to the agent, the exit status and the output.
type session struct {
	t          *testing.T
	agent      *fakeServer
	transcript strings.Builder

	// Texts and patterns that differ between runs, with their placeholders.
	replacements [][2]string
	patterns     []pattern
}

type pattern struct {
	regex       *regexp.Regexp
	placeholder string
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, agent: fakeAgent(t)}
	s.replacements = append(s.replacements, [2]string{filepath.Dir(s.agent.address), "DIR"})
	s.patterns = []pattern{{requestID, `"request":"REQUEST"`}, {tempFile, "/TEMPORARY"}}
	return s
}

var (
	elapsedTime = regexp.MustCompile(`(?m)^ *\d+\.\ds  `)        // since a rollout's start
	requestID   = regexp.MustCompile(`"request":"[0-9a-f]{32}"`) // random for each change
	clockTime   = regexp.MustCompile(`(?m)^\d\d:\d\d:\d\d  `)    // of a line of peers watch
	watchTime   = regexp.MustCompile(`(?m)^(  "at": ")[^"]*"`)   // the same as JSON
	tempFile    = regexp.MustCompile(`/\.next-\d+`)              // of a file that is replaced atomically
)

func (s *session) run(about string, args ...string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	s.finish(about, s.command(ctx, args...), nil)
}

// command returns the command of the tool with the fake agent and a fixed time zone.
func (s *session) command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := command(ctx, args...)
	cmd.Env = append(cmd.Env, "TZ=UTC", "ELDERCTL_AGENT="+s.agent.address, "ELDERCTL_CA=", "ELDERCTL_CERT=", "ELDERCTL_KEY=", "ELDERCTL_PEERS=",
		"GORACE=atexit_sleep_ms=0") // otherwise each command sleeps for a second with the race detector
	return cmd
}

// finish runs a command and records it in the transcript. During, if not nil, is called while it runs.
func (s *session) finish(about string, cmd *exec.Cmd, during func(*exec.Cmd)) {
	s.t.Helper()
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	if during != nil {
		during(cmd)
	}
	cmd.Wait() // the exit status is recorded below
	fmt.Fprintf(&s.transcript, "=== %s\n$ elderctl %s\n", about, s.normalize(strings.Join(cmd.Args[1:], " ")))
	for _, call := range s.agent.recordedCalls() {
		fmt.Fprintf(&s.transcript, "sent %s\n", s.normalize(call))
	}
	fmt.Fprintf(&s.transcript, "status %d\n", cmd.ProcessState.ExitCode())
	for _, part := range []struct{ name, text string }{{"stdout", out.String()}, {"stderr", errs.String()}} {
		if part.text != "" {
			fmt.Fprintf(&s.transcript, "--- %s\n%s", part.name, s.normalize(part.text))
		}
	}
}

// normalize replaces the parts of a text that differ between runs by placeholders.
func (s *session) normalize(text string) string {
	for _, h := range s.replacements {
		text = strings.ReplaceAll(text, h[0], h[1])
	}
	for _, p := range s.patterns {
		text = p.regex.ReplaceAllString(text, p.placeholder)
	}
	return text
}

// runWith runs the tool with these replies of the fake agent.
func (s *session) runWith(replies map[string][]reply, about string, args ...string) {
	s.t.Helper()
	s.agent.prepare(replies)
	s.run(about, args...)
}
