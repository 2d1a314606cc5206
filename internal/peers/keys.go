package peers

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/hashicorp/memberlist"
)

const maxKeys = 8

// readKeys reads a file of keys: one a line, as base64 of 16, 24 or 32 bytes. The
// first seals what is sent; what any of them sealed is taken, so that a key can be
// changed in service: added last, then put first, then the old one taken out.
func readKeys(path string) ([][]byte, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		// Danger: an error must not tell the key.
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: the key is not base64", path, n)
		}
		if err := memberlist.ValidateKey(key); err != nil {
			return nil, fmt.Errorf("%s:%d: the key has %d bytes, not 16, 24 or 32", path, n, len(key))
		}
		if keys = append(keys, key); len(keys) > maxKeys {
			return nil, fmt.Errorf("%s:%d: more than %d keys", path, n, maxKeys)
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

// updateKeyring brings a ring to the keys of the file.
func updateKeyring(ring *memberlist.Keyring, keys [][]byte) error {
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("key: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("key: %w", err)
	}
	for _, current := range ring.GetKeys() {
		if !containsKey(keys, current) {
			if err := ring.RemoveKey(current); err != nil {
				return fmt.Errorf("key: %w", err)
			}
		}
	}
	return nil
}

func containsKey(keys [][]byte, key []byte) bool {
	for _, k := range keys {
		if bytes.Equal(k, key) {
			return true
		}
	}
	return false
}
