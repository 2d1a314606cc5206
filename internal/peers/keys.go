package peers

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/hashicorp/memberlist"
)

const maxKeys = 8 // in one file

// readKeys reads a key file: one key per line, as base64 of 16, 24 or 32 bytes. The first key encrypts, and all of them
// decrypt, so that a key can be rotated without interruption: add the new one at the end, then move it to the front,
// then remove the old one. An error names the file and the line.
func readKeys(path string) ([][]byte, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		// Errors must not contain the key: they are logged.
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: the key is not base64", path, lineNumber)
		}
		if err := memberlist.ValidateKey(key); err != nil {
			return nil, fmt.Errorf("%s:%d: the key has %d bytes, not 16, 24 or 32", path, lineNumber, len(key))
		}
		if keys = append(keys, key); len(keys) > maxKeys {
			return nil, fmt.Errorf("%s:%d: more than %d keys", path, lineNumber, maxKeys)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: there is no key in it", path)
	}
	return keys, nil
}

// updateKeyring replaces the keys of a ring. The first key becomes the primary one.
func updateKeyring(ring *memberlist.Keyring, keys [][]byte) error {
	for _, key := range keys {
		if err := ring.AddKey(key); err != nil {
			return fmt.Errorf("add a key: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("use a key: %w", err)
	}
	for _, current := range ring.GetKeys() {
		if !containsKey(keys, current) {
			if err := ring.RemoveKey(current); err != nil {
				return fmt.Errorf("remove a key: %w", err)
			}
		}
	}
	return nil
}

// containsKey reports whether a list contains a key.
func containsKey(keys [][]byte, key []byte) bool {
	for _, k := range keys {
		if bytes.Equal(k, key) {
			return true
		}
	}
	return false
}
