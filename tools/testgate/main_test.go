package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readEvents returns the results of these lines of the output of go test -json.
func readEvents(t *testing.T, out *strings.Builder, lines ...string) *results {
	t.Helper()
	r := newResults()
	if err := r.read(strings.NewReader(strings.Join(lines, "\n")+"\n"), out); err != nil {
		t.Fatal(err)
	}
	return r
}

const (
	runA   = `{"Action":"run","Package":"p","Test":"TestA"}`
	passA  = `{"Action":"pass","Package":"p","Test":"TestA"}`
	failA  = `{"Action":"fail","Package":"p","Test":"TestA"}`
	runB   = `{"Action":"run","Package":"p","Test":"TestB"}`
	passB  = `{"Action":"pass","Package":"p","Test":"TestB"}`
	failB  = `{"Action":"fail","Package":"p","Test":"TestB"}`
	runAS  = `{"Action":"run","Package":"p","Test":"TestA/s"}`
	failAS = `{"Action":"fail","Package":"p","Test":"TestA/s"}`
	failP  = `{"Action":"fail","Package":"p"}`
	passP  = `{"Action":"pass","Package":"p"}`
	panicA = `{"Action":"output","Package":"p","Test":"TestA","Output":"panic: test timed out after 1s\n"}`
	panicP = `{"Action":"output","Package":"p","Output":"panic: nil\n"}`
	buildP = `{"Action":"fail","Package":"p","FailedBuild":"p"}`
)

func TestJudge(t *testing.T) {
	a := testName{"p", "TestA"}
	sub := testName{"p", "TestA/s"}
	exit := errors.New("exit status 1")
	for name, c := range map[string]struct {
		events  []string
		known   []testName
		testErr error
		problem string // part of the error; "": no error
		printed string
	}{
		"all pass":                         {events: []string{runA, passA, passP}},
		"unlisted failure":                 {events: []string{runA, failA, runB, passB, failP}, testErr: exit, problem: "p TestA: failed, and is not"},
		"listed failure":                   {events: []string{runA, failA, runB, passB, failP}, known: []testName{a}, testErr: exit, printed: "KNOWN FAILURE, seen again: p TestA"},
		"listed and unlisted failures":     {events: []string{runA, failA, runB, failB, failP}, known: []testName{a}, testErr: exit, problem: "p TestB: failed"},
		"listed passes":                    {events: []string{runA, passA, passP}, known: []testName{a}, printed: "KNOWN FAILURE, passed this time: p TestA"},
		"listed did not run":               {events: []string{runB, passB, passP}, known: []testName{a}, problem: "did not run"},
		"listed subtest":                   {events: []string{runA, runAS, failAS, failA, runB, passB, failP}, known: []testName{sub}, testErr: exit, printed: "seen again: p TestA/s"},
		"unlisted subtest":                 {events: []string{runA, runAS, failAS, failA, runB, passB, failP}, testErr: exit, problem: "p TestA/s: failed"},
		"timeout in a listed test":         {events: []string{runB, passB, runA, panicA, failA, failP}, known: []testName{a}, testErr: exit, problem: "ended by a panic"},
		"panic outside a test":             {events: []string{runB, passB, runA, panicP, failA, failP}, known: []testName{a}, testErr: exit, problem: "ended by a panic"},
		"unfinished listed test":           {events: []string{runB, passB, runA, failP}, known: []testName{a}, testErr: exit, problem: "began and did not end"},
		"failed build":                     {events: []string{buildP}, testErr: exit, problem: "p: failed"},
		"package fails with tests passing": {events: []string{runA, passA, failP}, testErr: exit, problem: "p: failed"},
		"no test":                          {events: []string{passP}, problem: "no test passed"},
		"go test itself fails":             {events: []string{runA, passA, passP}, testErr: exit, problem: "go test: exit status 1"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := readEvents(t, &out, c.events...).judge(c.known, c.testErr, &out)
			switch {
			case c.problem == "" && err != nil:
				t.Errorf("judge: %v", err)
			case c.problem != "" && (err == nil || !strings.Contains(err.Error(), c.problem)):
				t.Errorf("judge: %v, want %q", err, c.problem)
			}
			if !strings.Contains(out.String(), " tests and subtests ran, ") {
				t.Errorf("printed %q, want the number of tests", out.String())
			}
			if !strings.Contains(out.String(), c.printed) {
				t.Errorf("printed %q, want %q", out.String(), c.printed)
			}
		})
	}
}

func TestPrintsOutputOfFailedTestsOnly(t *testing.T) {
	var out strings.Builder
	readEvents(t, &out,
		runA, `{"Action":"output","Package":"p","Test":"TestA","Output":"of A\n"}`, failA,
		runB, `{"Action":"output","Package":"p","Test":"TestB","Output":"of B\n"}`, passB,
		`{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}`, "no event")
	if want := "of A\nFAIL\tp\t0.1s\nno event\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}

func TestParseKnown(t *testing.T) {
	list, err := parseKnown("# about\n\ntest: p TestA/s\ncommand: go test p\n\ntest: q TestB\n")
	if err != nil || len(list) != 2 || list[0] != (testName{"p", "TestA/s"}) || list[1] != (testName{"q", "TestB"}) {
		t.Errorf("parsed %v, %v", list, err)
	}
	if _, err := parseKnown("test: TestA\n"); err == nil {
		t.Error("an entry without a package was accepted")
	}
}

func TestRunGoTest(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	for file, text := range map[string]string{
		"go.mod":    "module m\n\ngo 1.26\n",
		"a_test.go": "package m\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { t.Error(\"always\") }\n\nfunc TestB(*testing.T) {}\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := run(nil, []string{"./..."}, &out); err == nil || !strings.Contains(err.Error(), "m TestA: failed") {
		t.Errorf("a failure that is not listed: %v", err)
	}
	if err := run([]testName{{"m", "TestA"}}, []string{"./..."}, &out); err != nil {
		t.Errorf("a listed failure: %v", err)
	}
	if _, err := readKnown(filepath.Join(dir, "none")); err != nil {
		t.Errorf("no file: %v", err)
	}
}
