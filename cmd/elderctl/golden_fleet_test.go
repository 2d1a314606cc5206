package main

import (
	"net/http"
	"path/filepath"
	"testing"

	"elderyard/internal/golden"
)

// Pins the output of the commands that show the status, for each state of a rollout.
func TestGoldenStatus(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	status := func(name string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@" + name)}
	}
	s.runWith(status("status.json"), "a rollout that goes on", "status")
	s.runWith(status("status.json"), "a rollout that goes on", "status", "--json")
	s.runWith(status("status-stale.json"), "no leader", "status")
	s.runWith(status("status-stale.json"), "no leader", "status", "--json")
	s.runWith(status("status-applied.json"), "all applied", "status")
	s.runWith(status("status-partly.json"), "an instance is silent", "status")
	s.runWith(status("status-back.json"), "rolled back", "status")
	s.runWith(status("status-new.json"), "a new site", "status")
	s.runWith(status("status.json"), "a rollout that goes on", "instances")
	s.runWith(status("status.json"), "a rollout that goes on", "instances", "--json")
	s.runWith(status("status-stale.json"), "no leader", "instances")
	golden.Text(t, "status.txt", s.transcript.String())
}

// Pins the output of the commands that show revisions.
func TestGoldenRevisions(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func() map[string][]reply {
		return map[string][]reply{
			"GET /v1/revisions":    ok("@revisions.json"),
			"GET /v1/revisions/11": ok("@revision-11.json"),
			"GET /v1/revisions/12": ok("@revision-12.json"),
			"GET /v1/revisions/77": failure("not found", "revision 77 is not in the history"),
		}
	}
	s.runWith(answers(), "the history", "history")
	s.runWith(answers(), "the history", "history", "--json")
	s.runWith(answers(), "a revision", "show", "12")
	s.runWith(answers(), "a revision", "show", "12", "--json")
	s.runWith(answers(), "a revision without a message", "show", "11")
	s.runWith(answers(), "a revision that is not there", "show", "77")
	s.runWith(answers(), "no number", "show", "twelve")
	s.runWith(answers(), "two revisions", "diff", "11", "12")
	s.runWith(answers(), "two revisions", "diff", "11", "12", "--json")
	s.runWith(answers(), "a revision with itself", "diff", "12", "12")
	golden.Text(t, "revisions.txt", s.transcript.String())
}

// Pins the output and the calls of the commands for members and the audit log.
func TestGoldenMembersAndAudit(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func() map[string][]reply {
		return map[string][]reply{
			"GET /v1/members":         ok("@members.json"),
			"GET /v1/audit":           ok("@audit.json"),
			"GET /v1/refused":         ok("@refused.json"),
			"POST /v1/members/add":    ok(`{}`),
			"POST /v1/replicas/add":   ok(`{}`),
			"POST /v1/members/remove": ok("@change.json"),
			"POST /v1/agents/remove":  ok(`{}`),
		}
	}
	s.runWith(answers(), "voters and agents", "members", "list")
	s.runWith(answers(), "voters and agents", "members", "list", "--json")
	s.runWith(answers(), "the audit log", "audit")
	s.runWith(answers(), "the audit log", "audit", "--json")
	s.runWith(answers(), "another voter", "members", "add", "a5", "10.0.0.5:7946")
	s.runWith(answers(), "another replica", "members", "add", "a5", "10.0.0.5:7946", "--non-voter")
	s.runWith(answers(), "a voter less, which some have yet to note", "members", "remove", "a2")
	s.runWith(answers(), "a voter and its agent less", "members", "remove", "a2", "--agent-too")
	s.runWith(answers(), "an agent that is no voter", "members", "remove", "a4", "--agent-too")
	refused := answers()
	refused["POST /v1/members/remove"] = failure("refused", "a1 is the only voter")
	s.runWith(refused, "the last voter", "members", "remove", "a1")
	golden.Text(t, "members.txt", s.transcript.String())
}

// Pins the output of dry runs: on every agent, and on this machine.
func TestGoldenPlanAndCheck(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func(probe string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@status-before.json"), "GET /v1/revisions/11": ok("@revision-11.json"), "POST /v1/probe": ok("@" + probe)}
	}
	site := "testdata/site.toml"
	s.runWith(answers("probe.json"), "what would change", "plan", site)
	s.runWith(answers("probe.json"), "what would change", "plan", site, "--json")
	s.runWith(answers("probe-bad.json"), "an instance would refuse it", "plan", site, "--overlay", "g1=")
	s.runWith(answers("probe-silent.json"), "an agent is silent", "plan", site)
	s.runWith(answers("probe.json"), "every agent checks it", "check", site, "--all")
	s.runWith(answers("probe-bad.json"), "every agent checks it", "check", site, "--all", "--json")
	s.runWith(nil, "checked here", "check", site)
	s.runWith(nil, "checked here", "check", site, "--json")
	stale := answers("probe.json")
	stale["GET /v1/status"] = ok("@status-stale.json")
	s.runWith(stale, "no leader", "plan", site)
	golden.Text(t, "plan.txt", s.transcript.String())
}

// Pins the output and the calls of the commands that create a revision, for each result of its rollout.
func TestGoldenApply(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{elapsedTime, "  ELAPSED  "})
	site := "testdata/site.toml"
	answers := func(apply string, states ...string) map[string][]reply {
		for i := range states {
			states[i] = "@" + states[i]
		}
		return map[string][]reply{"GET /v1/status": ok(append([]string{"@status-before.json"}, states...)...),
			"GET /v1/revisions/11": ok("@revision-11.json"), "POST /v1/apply": ok("@" + apply)}
	}
	s.runWith(answers("applied-accepted.json", "status-hears.json", "status-advancing.json", "status-applied.json"), "followed to its end", "apply", site, "--message", "a larger heap")
	s.runWith(answers("applied-accepted.json", "status-applied.json"), "followed to its end", "apply", site, "--json")
	s.runWith(answers("applied-accepted.json", "status-partly.json"), "some are missing", "apply", site)
	s.runWith(answers("applied-accepted.json", "status-back.json"), "it goes back", "apply", site)
	s.runWith(answers("applied-accepted.json", "status-another.json"), "another takes its place", "apply", site)
	s.runWith(answers("applied-accepted.json"), "not followed", "apply", site, "--no-wait", "--overlay", "g1=testdata/overlay.toml", "--again", "--parent", "7")
	s.runWith(answers("applied-no-change.json", "status-applied.json"), "nothing new", "apply", site)
	s.runWith(answers("applied-no-change.json", "status-back.json"), "nothing new, and it went back", "apply", site)
	s.runWith(answers("applied-conflict.json"), "another came first", "apply", site)
	s.runWith(answers("applied-conflict.json"), "another came first", "apply", site, "--json")
	s.runWith(answers("applied-busy.json"), "another is on its way", "apply", site)
	s.runWith(answers("applied-busy.json"), "another is on its way", "apply", site, "--json")
	s.runWith(answers("applied-accepted.json"), "the revision before", "rollback", "--no-wait")
	s.runWith(answers("applied-accepted.json"), "a named revision", "rollback", "11", "--no-wait", "--message", "as it was")
	s.runWith(answers("applied-unknown.json"), "a revision that is not there", "rollback", "3")
	s.runWith(map[string][]reply{"GET /v1/status": ok("@status-new.json")}, "there is none before", "rollback")
	s.runWith(answers("applied-accepted.json"), "wave by wave", "restart", "--rolling", "--no-wait")
	s.runWith(answers("applied-accepted.json"), "all at once", "restart")
	s.runWith(map[string][]reply{"GET /v1/status": ok("@status-new.json")}, "nothing runs", "restart", "--rolling")
	refused := answers("applied-accepted.json")
	refused["POST /v1/apply"] = failure("forbidden", `vic has the role "viewer", and operator is needed`)
	s.runWith(refused, "the role does not allow it", "apply", site)
	golden.Text(t, "apply.txt", s.transcript.String())
}

// Pins the output of small changes and snapshots, also for each kind of error of an agent.
func TestGoldenChanges(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	for _, verb := range []string{"pause", "resume", "abort"} {
		s.runWith(map[string][]reply{"POST /v1/" + verb: ok(`{}`)}, "done", verb)
	}
	for _, verb := range []string{"drain", "undrain"} {
		s.runWith(map[string][]reply{"POST /v1/" + verb: ok(`{}`)}, "done", verb, "g1")
	}
	s.runWith(map[string][]reply{"POST /v1/abort": failure("refused", "the rollout of revision 12 is applied, and can't be aborted")}, "refused", "abort")
	s.runWith(map[string][]reply{"POST /v1/drain": failure("not found", "there is no instance g9")}, "not found", "drain", "g9")
	s.runWith(map[string][]reply{"POST /v1/drain": failure("bad request", "a name has letters")}, "bad", "drain", "/")
	s.runWith(map[string][]reply{"POST /v1/pause": failure("unreachable", "no leader is known")}, "no leader", "pause")
	s.runWith(map[string][]reply{"POST /v1/pause": failure("in doubt", "no majority has answered")}, "in doubt", "pause")
	s.runWith(map[string][]reply{"POST /v1/pause": {{http.StatusBadGateway, "another server"}}}, "no agent's answer", "pause")
	s.runWith(map[string][]reply{"POST /v1/pause": ok("nonsense")}, "no agent's answer", "pause")
	dir := t.TempDir()
	s.replacements = append(s.replacements, [2]string{dir, "TMP"})
	saved := map[string][]reply{"GET /v1/snapshot": ok(`{"form":1}`)}
	s.runWith(saved, "saved", "snapshot", "save", filepath.Join(dir, "saved"))
	s.runWith(saved, "the file can't be written", "snapshot", "save", "testdata/none/saved")
	s.runWith(nil, "not what was saved", "snapshot", "restore", "testdata/site.toml")
	golden.Text(t, "changes.txt", s.transcript.String())
}
