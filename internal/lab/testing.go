package lab

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"elderyard/internal/lab/audit"
)

// TB is what Start needs of a test; testing.TB has it.
type TB interface {
	Helper()
	Context() context.Context
	Cleanup(func())
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// Start opens a site for a test and closes it when the test ends, also when it
// fails, panics or is interrupted by a signal.
func Start(t TB, site Site) *Lab {
	t.Helper()
	if site.Log == nil {
		site.Log = t.Logf
	}
	l, err := Open(t.Context(), site)
	if err != nil {
		t.Fatalf("%v", err)
	}
	// Danger: a signal ends a test's process without any cleanup. The gateways
	// end with it all the same (see spawner), but files would stay.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if s, ok := <-interrupted; ok {
			l.Close()
			signal.Reset(s)
			syscall.Kill(os.Getpid(), s.(syscall.Signal))
		}
	}()
	t.Cleanup(func() {
		signal.Stop(interrupted)
		close(interrupted)
		<-ended
		l.Close()
	})
	return l
}

// Run plays a site to its end for a test, which fails where the lab could not
// go on, and returns the verdict.
func Run(t TB, site Site) audit.Verdict {
	t.Helper()
	l := Start(t, site)
	if err := l.Play(t.Context()); err != nil {
		t.Fatalf("%v", err)
	}
	return l.Verdict()
}

const dirPrefix = "elderyard-lab-"

// makeDir makes the folder of a lab, and removes those of labs that were killed.
func makeDir() (string, error) {
	old, err := filepath.Glob(filepath.Join(os.TempDir(), dirPrefix+"*"))
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	for _, dir := range old {
		pid, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(dir), dirPrefix), "-")
		if n, err := strconv.Atoi(pid); err == nil && n > 0 && syscall.Kill(n, 0) == syscall.ESRCH {
			os.RemoveAll(dir) // one that stays is looked at again next time
		}
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("%s%d-", dirPrefix, os.Getpid()))
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	return dir, nil
}
