package peers

import (
	"strings"
	"testing"

	"elderyard/members"
)

// A process that can't restart its failure detector resigns; Run goes on with the stopped one until it ends.
func TestResignWhenTheDetectorCannotRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 1)
	p, err := Open(s.settings("g0"))
	if err != nil {
		t.Fatal(err)
	}
	p.settings.Site = strings.Repeat("x", 300) // longer than the library's label may be
	p.resign(members.IncarnationAbove(p.saved.Incarnation))
	if !p.resigned {
		t.Fatal("it did not resign")
	}
	if p.detector == nil {
		t.Fatal("there is no detector whose events Run could receive")
	}
	p.stopDetector(false)
}
