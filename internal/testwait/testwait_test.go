package testwait

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// failingTest is a test that records its failure instead of reporting it.
type failingTest struct {
	testing.TB
	failure string
}

// Helper implements testing.TB.
func (*failingTest) Helper() {}

// Fatal implements testing.TB.
func (f *failingTest) Fatal(args ...any) {
	f.failure = fmt.Sprint(args...)
	runtime.Goexit()
}

// Fatalf implements testing.TB.
func (f *failingTest) Fatalf(format string, args ...any) { f.Fatal(fmt.Sprintf(format, args...)) }

// failureOf runs a test function until it returns or ends the test. It returns the failure, "" if
// there is none, and whether the function returned.
func failureOf(test func(t testing.TB)) (failure string, returned bool) {
	f := &failingTest{}
	ended := make(chan struct{})
	go func() { // ends when the test does
		defer close(ended)
		test(f)
		returned = true
	}()
	<-ended
	return f.failure, returned
}

func TestUntil(t *testing.T) {
	for _, test := range []struct {
		name     string
		checks   int // until the condition is true; -1: never
		timeout  time.Duration
		interval time.Duration
		failure  string
	}{
		{"true at once", 1, 0, time.Hour, ""},
		{"true at the third check", 3, time.Minute, time.Millisecond, ""},
		{"never true", -1, 20 * time.Millisecond, time.Millisecond, "not within 20ms: the server is ready"},
	} {
		t.Run(test.name, func(t *testing.T) {
			checks := 0
			condition := func() bool { checks++; return checks == test.checks }
			start := time.Now()
			failure, returned := failureOf(func(t testing.TB) { UntilEvery(t, test.timeout, test.interval, "the server is ready", condition) })
			if failure != test.failure || returned != (test.failure == "") {
				t.Errorf("failure %q, returned: %t; want %q", failure, returned, test.failure)
			}
			if test.checks > 0 && checks != test.checks {
				t.Errorf("%d checks, want %d", checks, test.checks)
			}
			if elapsed := time.Since(start); test.checks < 0 && elapsed < test.timeout {
				t.Errorf("failed after %v", elapsed)
			}
		})
	}
	failure, returned := failureOf(func(t testing.TB) { Until(t, 0, "the server is ready", func() bool { return false }) })
	if failure != "not within 0s: the server is ready" || returned {
		t.Errorf("failure %q, returned: %t", failure, returned)
	}
}

func TestMust(t *testing.T) {
	if failure, returned := failureOf(func(t testing.TB) { Must(t, nil) }); failure != "" || !returned {
		t.Errorf("without an error: failure %q, returned: %t", failure, returned)
	}
	if failure, returned := failureOf(func(t testing.TB) { Must(t, errors.New("no disk")) }); failure != "no disk" || returned {
		t.Errorf("with an error: failure %q, returned: %t", failure, returned)
	}
}
