package peers

import (
	"fmt"
	"os"

	"elderyard/internal/strict"
	"elderyard/members"
)

const maxFileBytes = 1 << 20 // of any file that is read

// readRoster reads a roster file. An error names the file and, for invalid content, the line and the key.
func readRoster(path string) (members.Roster, error) {
	text, err := readFile(path)
	if err != nil {
		return members.Roster{}, fmt.Errorf("roster: %w", err)
	}
	return ParseRoster(path, text)
}

// ParseRoster parses the text of a roster file. An error names the file as given, the line and the key.
func ParseRoster(file string, text []byte) (r members.Roster, err error) {
	if err := strict.Decode(file, text, &r); err != nil {
		return members.Roster{}, err
	}
	if key, err := r.Check(); err != nil {
		return members.Roster{}, strict.ErrorAt(file, text, key, "%v", err)
	}
	return r, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, the limit is %d", path, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}
