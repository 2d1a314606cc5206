package peers

import (
	"regexp"
	"strings"

	"elderyard/members"
)

// told reads the library's log. The library tells of some things nowhere else: whom
// it has suspected and why, who has suspected this process, what could not be
// opened. The lines are those of the version in go.mod; a test provokes each.
type told struct {
	detector *detector
	counts   *traffic
}

var (
	suspectLine = regexp.MustCompile(`^\[INFO\] memberlist: Suspect (\S+) has failed, no acks received`)
	refuteLine  = regexp.MustCompile(`^\[WARN\] memberlist: Refuting a (?:suspect|dead) message \(from: (\S+)\)`)
	sealLines   = []string{
		"[ERR] memberlist: Decrypt packet failed",
		"[ERR] memberlist: failed to receive and remove the stream label header",
		"[ERR] memberlist: failed to read stream",
		"[ERR] memberlist: failed to receive",
		"[ERR] memberlist: discarding stream with unacceptable label",
		"[ERR] memberlist: discarding packet with unacceptable label",
		"[WARN] memberlist: Got invalid checksum for UDP packet",
	}
)

// Write takes a line.
func (t *told) Write(line []byte) (int, error) {
	text := string(line)
	if found := suspectLine.FindStringSubmatch(text); found != nil {
		if name, life, ok := splitName(found[1]); ok {
			t.detector.post(members.Suspected{Name: name, Life: life, By: t.detector.self})
		}
		return len(line), nil
	}
	if found := refuteLine.FindStringSubmatch(text); found != nil {
		if by, _, ok := splitName(found[1]); ok {
			t.detector.post(members.Contradicted{Name: t.detector.self, Life: t.detector.life, By: by})
		}
		return len(line), nil
	}
	for _, start := range sealLines {
		if strings.HasPrefix(text, start) {
			t.counts.unsealed.Add(1)
			break
		}
	}
	return len(line), nil
}
