package peers

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/memberlist"

	"elderyard/members"
)

// Versions of this package's messages, which the library's messages contain. Messages of any version from
// minProtocolVersion on are accepted and unknown keys are ignored, so that members of adjacent versions run side by
// side during an upgrade.
const (
	protocolVersion    = 1
	minProtocolVersion = 1
	// libraryVersion must not change: the library rejects members whose version is outside the range that all others
	// state. Changes of messages increase protocolVersion instead.
	libraryVersion = 1
)

const (
	maxMetaBytes         = memberlist.MetaMaxSize
	maxMessageBytes      = 256 << 10
	incarnationSeparator = "#" // not valid in names
)

// meta is the metadata that a member announces. It is part of every library message about that member.
type meta struct {
	Version      int    `json:"v"`
	Epoch        uint64 `json:"e"`
	Sum          string `json:"s"`
	AdminAddress string `json:"d,omitempty"`
	Leaving      bool   `json:"l,omitempty"` // announced graceful shutdown
}

// encode encodes meta in at most maxMetaBytes. It omits an admin address that does not fit.
func (m meta) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMetaBytes {
		m.AdminAddress = ""
		text, _ = json.Marshal(m)
	}
	return text
}

// decodeMeta decodes meta and the sum of its roster. It returns an error for a version below minProtocolVersion.
func decodeMeta(text []byte) (m meta, sum uint64, err error) {
	if err := json.Unmarshal(text, &m); err != nil {
		return meta{}, 0, fmt.Errorf("metadata of a member: %w", err)
	}
	if m.Version < minProtocolVersion {
		return meta{}, 0, fmt.Errorf("a member speaks version %d, and the least is %d", m.Version, minProtocolVersion)
	}
	if sum, err = strconv.ParseUint(m.Sum, 16, 64); err != nil {
		return meta{}, 0, fmt.Errorf("the sum of a member's roster: %w", err)
	}
	return m, sum, nil
}

// message is the state that members send over connections: in push/pull exchanges, and without incarnations to a member
// whose roster is older or conflicting.
type message struct {
	Version      int                          `json:"v"`
	From         string                       `json:"from"`
	Roster       members.Roster               `json:"roster"`
	Incarnations []members.IncarnationLearned `json:"lives,omitempty"`
}

// encode encodes the message. It returns nil if that is longer than maxMessageBytes, which valid names can't cause.
func (m message) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMessageBytes {
		return nil
	}
	return text
}

// decodeMessage decodes a message and checks its roster. It returns an error for a version below minProtocolVersion.
func decodeMessage(text []byte) (m message, err error) {
	if len(text) > maxMessageBytes {
		return message{}, fmt.Errorf("message of %d bytes exceeds the limit", len(text))
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return message{}, fmt.Errorf("message: %w", err)
	}
	if m.Version < minProtocolVersion {
		return message{}, fmt.Errorf("message of version %d, the minimum is %d", m.Version, minProtocolVersion)
	}
	if key, err := m.Roster.Check(); err != nil {
		return message{}, fmt.Errorf("roster of a message: %s: %w", key, err)
	}
	return m, nil
}

// nodeName returns the library's node name of an incarnation. Each incarnation is a separate node, so that the library
// never mistakes an earlier one for a later one.
func nodeName(name string, incarnation members.Incarnation) string {
	return name + incarnationSeparator + strconv.FormatUint(uint64(incarnation), 36)
}

// parseNodeName parses the result of nodeName.
func parseNodeName(node string) (name string, incarnation members.Incarnation, ok bool) {
	name, number, found := strings.Cut(node, incarnationSeparator)
	n, err := strconv.ParseUint(number, 36, 64)
	if !found || err != nil || n == 0 || members.CheckName(name) != nil {
		return "", 0, false
	}
	return name, members.Incarnation(n), true
}
