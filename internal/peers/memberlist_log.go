package peers

import (
	"regexp"
	"strings"

	"elderyard/members"
)

// memberlistLog is the output of the library's logger. It converts lines to events and counts. The library reports some
// facts nowhere else: suspicions and their origin, refutations, and messages that could not be decrypted. The patterns
// match the version in go.mod and must be checked at each upgrade of the library.
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

// Write handles one line of the log. It never fails.
func (l *memberlistLog) Write(line []byte) (int, error) {
	text := string(line)
	if found := suspectLine.FindStringSubmatch(text); found != nil {
		if name, incarnation, ok := parseNodeName(found[1]); ok {
			l.detector.post(members.Suspected{Name: name, Incarnation: incarnation, By: l.detector.self})
		}
		return len(line), nil
	}
	if found := refuteLine.FindStringSubmatch(text); found != nil {
		if by, _, ok := parseNodeName(found[1]); ok {
			l.detector.post(members.Refuted{Name: l.detector.self, Incarnation: l.detector.incarnation, By: by})
		}
		return len(line), nil
	}
	for _, start := range decryptionErrors {
		if strings.HasPrefix(text, start) {
			l.counts.undecryptable.Add(1)
			break
		}
	}
	return len(line), nil
}
