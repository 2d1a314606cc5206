package peers

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/memberlist"

	"elderyard/members"
)

// Versions of what this program says beside the library's own messages. It reads
// what any version from minProtocolVersion on says; keys that it does not know are left
// out. So members of neighbouring versions run side by side in an upgrade.
const (
	protocolVersion    = 1
	minProtocolVersion = 1
	// The library takes no member whose version lies outside what all others state:
	// this one stays, and what changes goes by the versions above.
	libraryVersion = 1
)

const (
	maxMetaBytes         = memberlist.MetaMaxSize
	maxMessageBytes      = 256 << 10
	incarnationSeparator = "#" // no name has it
)

// meta is what each member tells of itself to all, in each message about it.
type meta struct {
	Version      int    `json:"v"`
	Epoch        uint64 `json:"e"`
	Sum          string `json:"s"`
	AdminAddress string `json:"d,omitempty"`
	Leaving      bool   `json:"l,omitempty"` // its last word
}

func (m meta) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMetaBytes {
		m.AdminAddress = "" // an address of hundreds of bytes
		text, _ = json.Marshal(m)
	}
	return text
}

func decodeMeta(text []byte) (m meta, sum uint64, err error) {
	if err := json.Unmarshal(text, &m); err != nil {
		return meta{}, 0, fmt.Errorf("what a member says of itself: %w", err)
	}
	if m.Version < minProtocolVersion {
		return meta{}, 0, fmt.Errorf("a member speaks version %d, and the least is %d", m.Version, minProtocolVersion)
	}
	if sum, err = strconv.ParseUint(m.Sum, 16, 64); err != nil {
		return meta{}, 0, fmt.Errorf("the sum of a member's roster: %w", err)
	}
	return m, sum, nil
}

// message is what members exchange whole: with the library's own exchange of
// states, and where one sees that another's roster is not its own.
type message struct {
	Version      int                          `json:"v"`
	From         string                       `json:"from"`
	Roster       members.Roster               `json:"roster"`
	Incarnations []members.IncarnationLearned `json:"lives,omitempty"`
}

func (m message) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMessageBytes {
		return nil // it is made of names in bounds
	}
	return text
}

func decodeMessage(text []byte) (m message, err error) {
	if len(text) > maxMessageBytes {
		return message{}, fmt.Errorf("a message of %d bytes", len(text))
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return message{}, fmt.Errorf("message: %w", err)
	}
	if m.Version < minProtocolVersion {
		return message{}, fmt.Errorf("a message of version %d, and the least is %d", m.Version, minProtocolVersion)
	}
	if key, err := m.Roster.Check(); err != nil {
		return message{}, fmt.Errorf("roster of a message: %s: %w", key, err)
	}
	return m, nil
}

// nodeName is what the library calls one life of a name. Each life is a member of
// its own there: so none is ever raised from the dead under another's number.
func nodeName(name string, incarnation members.Incarnation) string {
	return name + incarnationSeparator + strconv.FormatUint(uint64(incarnation), 36)
}

func splitName(node string) (name string, incarnation members.Incarnation, ok bool) {
	name, number, found := strings.Cut(node, incarnationSeparator)
	n, err := strconv.ParseUint(number, 36, 64)
	if !found || err != nil || n == 0 || members.CheckName(name) != nil {
		return "", 0, false
	}
	return name, members.Incarnation(n), true
}
