// Package testwait has what tests of running programs share: waiting for a condition
// within a time limit, and ending a test at an unexpected error.
//
// It is for tests alone and is linked into no program. It has no state, and no time limit
// of its own: each test package names one that suits what it waits for. Code that waits in
// a program uses package wait, which ends with a context. All functions end the test by
// FailNow and must therefore be called from the goroutine that runs it.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition by Until.
const pollInterval = 5 * time.Millisecond

// Until waits for a condition, which it checks every 5 ms, and ends the test if the
// condition is still false after the timeout. The failure says what was waited for.
func Until(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	UntilEvery(t, timeout, pollInterval, what, condition)
}

// UntilEvery is like Until, and checks the condition once in each interval: for conditions
// whose check is expensive, or delays what it checks.
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
