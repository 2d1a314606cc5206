// Command testgate runs `go test -json` and tolerates exactly the failures that a file of known failures lists.
//
//	testgate -known KNOWN-RED.txt -- [go test arguments]
//
// It prints what go test prints without -v, then each known failure that occurred again and each listed test that
// passed. It exits with status 1 if a test fails that is not listed, if a package fails for another reason than a
// listed test, if a listed test did not run, or if no test passed or was skipped.
//
// The file has one entry per paragraph. An entry begins with a line `test: PACKAGE NAME`, where NAME may be that of a
// subtest; its other lines are free text. A file that does not exist is an empty list.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// entryPrefix begins the line that names the test of an entry.
const entryPrefix = "test: "

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "the file that lists the known failures")
	flag.Parse()
	list, err := readKnown(*known)
	if err == nil {
		err = run(list, flag.Args(), os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
		os.Exit(1)
	}
}

// run runs go test with args, writes its output to out and returns an error unless all failures are known.
func run(known []testName, args []string, out io.Writer) error {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	results := newResults()
	readErr := results.read(events, out)
	testErr := command.Wait()
	if readErr != nil {
		return fmt.Errorf("go test's events: %w", readErr)
	}
	return results.judge(known, testErr, out)
}

// testName identifies a test or a subtest.
type testName struct {
	Package string
	Test    string
}

// String returns the name in the format of an entry.
func (n testName) String() string { return n.Package + " " + n.Test }

// readKnown returns the tests that a file of known failures lists, none if the file does not exist.
func readKnown(path string) ([]testName, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("known failures: %w", err)
	}
	return parseKnown(string(text))
}

func parseKnown(text string) ([]testName, error) {
	var list []testName
	for number, line := range strings.Split(text, "\n") {
		name, isEntry := strings.CutPrefix(line, entryPrefix)
		if !isEntry {
			continue
		}
		fields := strings.Fields(name)
		if len(fields) != 2 {
			return nil, fmt.Errorf("known failures: line %d: want `%sPACKAGE NAME`, got %q", number+1, entryPrefix, line)
		}
		list = append(list, testName{fields[0], fields[1]})
	}
	return list, nil
}

// event is one line of `go test -json`, as `go doc test2json` describes it.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// results collects the outcome of each test and package.
type results struct {
	outcomes       map[testName]string   // pass, fail, skip; "" while running
	output         map[testName][]string // of tests that have not passed or been skipped; printed if the test fails
	crashed        map[testName]bool     // ended by a panic, a timeout or a signal; with an empty Test for a whole package
	failedPackages map[string]bool
	failedBuilds   map[string]bool
	order          []testName // in which the tests started
}

func newResults() *results {
	return &results{
		outcomes:       map[testName]string{},
		output:         map[testName][]string{},
		crashed:        map[testName]bool{},
		failedPackages: map[string]bool{},
		failedBuilds:   map[string]bool{},
	}
}

func (r *results) read(events io.Reader, out io.Writer) error {
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.accept(line, out)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// accept records one line of the output of go test -json. A line that is not an event is printed unchanged.
func (r *results) accept(line []byte, out io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		out.Write(line)
		return
	}
	name := testName{e.Package, e.Test}
	switch e.Action {
	case "run":
		r.outcomes[name] = ""
		r.order = append(r.order, name)
	case "output", "build-output":
		r.acceptOutput(name, e.Output, out)
	case "pass", "skip":
		r.outcomes[name] = e.Action
		delete(r.output, name)
	case "fail":
		r.outcomes[name] = e.Action
		if e.Test == "" {
			r.failedPackages[e.Package] = true
			r.failedBuilds[e.Package] = e.FailedBuild != ""
		}
		for _, text := range r.output[name] {
			io.WriteString(out, text)
		}
		delete(r.output, name)
	}
}

func (r *results) acceptOutput(name testName, text string, out io.Writer) {
	if strings.HasPrefix(text, "panic: ") || strings.HasPrefix(text, "fatal error: ") || strings.HasPrefix(text, "signal: ") {
		r.crashed[name] = true
	}
	if name.Test != "" {
		r.output[name] = append(r.output[name], text)
		return
	}
	if text != "PASS\n" { // go test prints it only when it tests a single package
		io.WriteString(out, text)
	}
}

// judge compares the results with the list of known failures, prints the known failures and a summary, and returns
// an error that lists everything else that went wrong.
func (r *results) judge(known []testName, testErr error, out io.Writer) error {
	var problems []string
	problem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }

	listed := map[testName]bool{}
	for _, name := range known {
		listed[name] = true
	}
	passed := 0
	explained := map[string]bool{} // packages with a failed test that is listed
	for _, name := range r.order {
		switch {
		case r.outcomes[name] == "pass" || r.outcomes[name] == "skip":
			passed++
		case r.crashed[name] || r.crashed[testName{Package: name.Package}]:
			problem("%s: ended by a panic, a time-out or a signal, so that others of its package did not run", name)
		case r.outcomes[name] == "":
			problem("%s: began and did not end", name)
		case listed[name]:
			explained[name.Package] = true
			fmt.Fprintf(out, "KNOWN FAILURE, seen again: %s\n", name)
		case !r.hasFailedSubtest(name):
			problem("%s: failed, and is not a known failure", name)
		}
	}
	for failed := range r.failedPackages {
		if r.failedBuilds[failed] || !explained[failed] {
			problem("%s: failed", failed)
		}
	}
	for _, name := range known {
		switch outcome, ran := r.outcomes[name]; {
		case !ran:
			problem("%s: listed as a known failure, and did not run", name)
		case outcome == "pass":
			fmt.Fprintf(out, "KNOWN FAILURE, passed this time: %s\n", name)
		}
	}
	if passed == 0 {
		problem("no test passed")
	}
	fmt.Fprintf(out, "%d tests and subtests ran, %d of them passed or were skipped\n", len(r.order), passed)
	if testErr != nil && len(explained) == 0 && len(problems) == 0 {
		problem("go test: %v", testErr)
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// hasFailedSubtest reports whether a subtest of a test failed. The subtest is judged by itself, so the failure of its
// parent needs no entry.
func (r *results) hasFailedSubtest(name testName) bool {
	for other, outcome := range r.outcomes {
		if outcome == "fail" && other.Package == name.Package && strings.HasPrefix(other.Test, name.Test+"/") {
			return true
		}
	}
	return false
}
