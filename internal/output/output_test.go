package output

import "testing"

func TestFailureLine(t *testing.T) {
	for text, want := range map[string]string{"": "", "\n\n": "", "one\ntwo\n": "two", "a\npanic: b\n\ngoroutine 1:\n": "panic: b",
		"a\nfatal error: c\nd": "fatal error: c"} {
		if got := FailureLine(text); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}
