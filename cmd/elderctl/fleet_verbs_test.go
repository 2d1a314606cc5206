package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"elderyard/internal/agentapi"
	"elderyard/rollout"
)

func mustContain(t *testing.T, out string, want ...string) {
	t.Helper()
	for _, text := range want {
		if !strings.Contains(out, text) {
			t.Fatalf("no %q in\n%s", text, out)
		}
	}
}

// TestFleetCommands runs every fleet command against a small site.
func TestFleetCommands(t *testing.T) {
	t.Parallel()
	s := startFleet(t, 2, 1)
	run := func(want int, args ...string) string {
		t.Helper()
		out, status := s.Tool(t.Context(), 0, args...)
		if status != want {
			t.Fatalf("%v: status %d, want %d\n%s\n%s", args, status, want, out, s.AgentOutput(0))
		}
		return out
	}
	second := s.revision("second", 300)
	mustContain(t, run(exitOK, append([]string{"plan"}, second[1:]...)...), "+heap_grow = 300", "g0", "restart")
	mustContain(t, run(exitOK, append([]string{"check", "--all"}, second[1:]...)...), "g1")
	run(exitOK, append(second, "--message", "larger heap")...)
	mustContain(t, run(exitOK, append(second, "--message", "again")...), "revision 2 says this already")
	mustContain(t, run(exitConflict, append(s.revision("third", 200), "--parent", "1")...), "revision 2 came first", "-heap_grow = 300", "nothing was changed")
	mustContain(t, run(exitOK, "history"), "2 *", "larger heap")
	mustContain(t, run(exitOK, "show", "2"), "heap_grow = 300", "overlay of g1")
	mustContain(t, run(exitOK, "diff", "1", "2"), "+heap_grow = 300")
	mustContain(t, run(exitRefused, "show", "77"), "revision 77 is not in the history")
	mustContain(t, run(exitRefused, "abort"), "can't be aborted")
	mustContain(t, run(exitOK, "status"), "wanted revision 2", "applied", "g1")
	var st agentapi.Status
	if err := json.Unmarshal([]byte(run(exitOK, "status", "--json")), &st); err != nil || st.Desired != 2 || len(st.Instances) != 2 {
		t.Fatalf("%v %+v", err, st)
	}
	saved := filepath.Join(t.TempDir(), "saved")
	run(exitOK, "snapshot", "save", saved)

	before := s.pids()
	run(exitOK, "restart", "--rolling")
	s.waitForState(noInstance, rollout.Applied, 3)
	s.waitFor("both gateways have new processes", func() bool { now := s.pids(); return now[0] != before[0] && now[1] != before[1] })
	run(exitOK, "rollback", "1")
	s.waitForState(noInstance, rollout.Applied, 4)
	mustContain(t, run(exitOK, "diff", "1", "4"), "no difference")

	run(exitOK, "drain", "g1")
	s.waitFor("g1 is down", func() bool { st := s.status(0); return st.Instances[1].PID == 0 && st.Instances[1].Drained })
	run(exitOK, "undrain", "g1")
	s.waitForState(noInstance, rollout.Applied, 4)
	mustContain(t, run(exitRefused, "drain", "g9"), "there is no instance g9")
	mustContain(t, run(exitRefused, "members", "remove", "a0"), "the only voter")
	mustContain(t, run(exitOK, "members", "list"), "voter, leads", "a1")

	run(exitOK, "snapshot", "restore", saved)
	s.waitForState(noInstance, rollout.Applied, 2)
	mustContain(t, run(exitOK, "audit"), "larger heap", "a saved state was restored", "refused: ")
	if status, out, _ := runTool(t, "completion", "bash"); status != exitOK || !strings.Contains(out, "elderctl") {
		t.Fatal(out)
	}
}
