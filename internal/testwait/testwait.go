// Package testwait provides helpers for tests of running programs: waiting for a condition with a
// timeout, and ending a test at an unexpected error.
//
// It is for tests alone and is linked into no program. It has no state and no default timeout: each
// test package sets one that suits what it waits for. Code that waits in a program uses package wait,
// which honors a context. All functions end the test with FailNow and must therefore be called from
// the goroutine that runs the test.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition by Until.
const pollInterval = 5 * time.Millisecond

// Until polls a condition every 5 ms and ends the test if it is still false after the timeout. The
// failure message names what was waited for.
func Until(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	UntilEvery(t, timeout, pollInterval, what, condition)
}

// UntilEvery is like Until with another polling interval, for conditions whose check is expensive or
// slows down what it checks.
func UntilEvery(t testing.TB, timeout, interval time.Duration, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(timeout); !condition(); time.Sleep(interval) {
		if time.Now().After(limit) {
			t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}

// Must ends the test at an error.
func Must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
