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

// session runs the tool and writes down the command, what it sent, its exit status and all that it printed.
type session struct {
	t          *testing.T
	agent      *fakeServer
	transcript strings.Builder

	// What differs from run to run, and its placeholder.
	hide     [][2]string
	patterns []pattern
}

type pattern struct {
	what *regexp.Regexp
	with string
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, agent: fakeAgent(t)}
	s.hide = append(s.hide, [2]string{filepath.Dir(s.agent.address), "DIR"})
	s.patterns = []pattern{{requestID, `"request":"REQUEST"`}, {tempFile, "/TEMPORARY"}}
	return s
}

var (
	elapsedTime = regexp.MustCompile(`(?m)^ *\d+\.\ds  `)        // since a rollout's start
	requestID   = regexp.MustCompile(`"request":"[0-9a-f]{32}"`) // drawn for each change
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

// command is the tool with the fake agent and in a fixed time zone.
func (s *session) command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := command(ctx, args...)
	cmd.Env = append(cmd.Env, "TZ=UTC", "ELDERCTL_AGENT="+s.agent.address, "ELDERCTL_CA=", "ELDERCTL_CERT=", "ELDERCTL_KEY=", "ELDERCTL_PEERS=",
		"GORACE=atexit_sleep_ms=0") // else each command of a test with the race detector sleeps for a second
	return cmd
}

// finish runs a command and writes it down. During, if set, is called while it runs.
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
	cmd.Wait() // its status is written down
	fmt.Fprintf(&s.transcript, "=== %s\n$ elderctl %s\n", about, s.normal(strings.Join(cmd.Args[1:], " ")))
	for _, call := range s.agent.sent() {
		fmt.Fprintf(&s.transcript, "sent %s\n", s.normal(call))
	}
	fmt.Fprintf(&s.transcript, "status %d\n", cmd.ProcessState.ExitCode())
	for _, part := range []struct{ name, text string }{{"stdout", out.String()}, {"stderr", errs.String()}} {
		if part.text != "" {
			fmt.Fprintf(&s.transcript, "--- %s\n%s", part.name, s.normal(part.text))
		}
	}
}

// normal puts placeholders in the place of what differs from run to run.
func (s *session) normal(text string) string {
	for _, h := range s.hide {
		text = strings.ReplaceAll(text, h[0], h[1])
	}
	for _, p := range s.patterns {
		text = p.what.ReplaceAllString(text, p.with)
	}
	return text
}

// with runs the tool against an agent that has these answers.
func (s *session) with(replies map[string][]reply, about string, args ...string) {
	s.t.Helper()
	s.agent.prepare(replies)
	s.run(about, args...)
}
