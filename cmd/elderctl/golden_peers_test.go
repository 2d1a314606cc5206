package main

import (
	"context"
	"os/exec"
	"syscall"
	"testing"

	"elderyard/internal/golden"
)

// Pins the output of the peers commands, for views that agree and that differ.
func TestGoldenPeers(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{clockTime, "TIME  "}, pattern{watchTime, `${1}TIME"`})
	gateway := func(name string) *fakeServer {
		g := fakeGateway(t, map[string][]reply{"GET /_peers": ok("@peer-" + name + ".json"), "GET /_peers/why?name=g2": ok("@why-" + name + ".json")})
		s.replacements = append(s.replacements, [2]string{g.address, "ADDRESS-OF-" + name})
		return g
	}
	g0, g1, g2, joining := gateway("g0"), gateway("g1"), gateway("g2"), gateway("g2-joining")
	none := fakeGateway(t, nil)
	s.replacements = append(s.replacements, [2]string{none.address, "ADDRESS-OF-none"})
	run := func(about string, at []*fakeServer, args ...string) {
		t.Helper()
		args = append([]string{"peers"}, args...)
		for _, g := range at {
			args = append(args, "--at", g.address)
		}
		s.run(about, args...)
	}
	agree, differ := []*fakeServer{g0, g1}, []*fakeServer{g0, g2}
	for _, flags := range [][]string{nil, {"--json"}} {
		run("all agree", agree, append([]string{"list"}, flags...)...)
		run("all agree", agree, append([]string{"view"}, flags...)...)
		run("all agree", agree, append([]string{"view", "g1"}, flags...)...)
		run("all agree", agree, append([]string{"diff"}, flags...)...)
		run("what was learned", agree, append([]string{"why", "g2"}, flags...)...)
		run("they differ", differ, append([]string{"list"}, flags...)...)
		run("they differ", differ, append([]string{"view"}, flags...)...)
		run("they differ", differ, append([]string{"diff"}, flags...)...)
		run("one knows no others", []*fakeServer{g0, none}, append([]string{"diff"}, flags...)...)
	}
	run("no such gateway", agree, "view", "g7")
	run("one joins", []*fakeServer{joining}, "view")
	run("nobody answers", []*fakeServer{none}, "diff")
	run("no address", nil, "list")
	for _, flags := range [][]string{nil, {"--json"}} {
		g0.resetCalls()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		s.finish("until interrupted", s.command(ctx, append([]string{"peers", "watch", "--at", g0.address}, flags...)...), func(cmd *exec.Cmd) {
			g0.waitForCalls(2) // the first result has been printed
			cmd.Process.Signal(syscall.SIGINT)
		})
		cancel()
	}
	golden.Text(t, "peers.txt", s.transcript.String())
}
