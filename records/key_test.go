package records

import (
	"strings"
	"testing"
)

// Keys are parsed from and formatted as KIND/NAME, and invalid kinds and names are rejected.
func TestKeyText(t *testing.T) {
	for _, text := range []string{"route/a", "tenant/00ff", "plan/Gold_2.x-y:z", "service/" + strings.Repeat("a", MaxNameBytes)} {
		parsed, err := ParseKey(text)
		if err != nil || parsed.String() != text {
			t.Errorf("%s: %v, %v", text, parsed, err)
		}
	}
	for _, text := range []string{"", "route", "route/", "router/a", "/a", "route/-a", "route/a b", "route/a/b", "route/ä",
		"Route/a", "route/" + strings.Repeat("a", MaxNameBytes+1)} {
		if parsed, err := ParseKey(text); err == nil {
			t.Errorf("%q parsed as %v, want an error", text, parsed)
		}
	}
}
