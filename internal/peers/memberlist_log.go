package peers

import (
	"regexp"
	"strings"

	"elderyard/members"
)

// memberlistLog reads the library's log. The library tells of some things nowhere else: whom
// it has suspected and why, who has suspected this process, what could not be
// opened. The lines are those of the version in go.mod; a test provokes each.
type memberlistLog struct {
	detector *detector
	counts   *trafficCounters
}

var (
	suspectLine      = regexp.MustCompile(`^\[INFO\] memberlist: Suspect (\S+) has failed, no acks received`)
	refuteLine       = regexp.MustCompile(`^\[WARN\] memberlist: Refuting a (?:suspect|dead) message \(from: (\S+)\)`)
	decryptionErrors = []string{
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
func (t *memberlistLog) Write(line []byte) (int, error) {
	text := string(line)
	if found := suspectLine.FindStringSubmatch(text); found != nil {
		if name, incarnation, ok := splitName(found[1]); ok {
			t.detector.post(members.Suspected{Name: name, Incarnation: incarnation, By: t.detector.self})
		}
		return len(line), nil
	}
	if found := refuteLine.FindStringSubmatch(text); found != nil {
		if by, _, ok := splitName(found[1]); ok {
			t.detector.post(members.Refuted{Name: t.detector.self, Incarnation: t.detector.incarnation, By: by})
		}
		return len(line), nil
	}
	for _, start := range decryptionErrors {
		if strings.HasPrefix(text, start) {
			t.counts.unsealed.Add(1)
			break
		}
	}
	return len(line), nil
}
