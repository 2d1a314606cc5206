package records

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
)

// Kind is the type of a record.
type Kind string

// The kinds of records.
const (
	Route   Kind = "route"
	Tenant  Kind = "tenant"
	Plan    Kind = "plan"
	Service Kind = "service"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Route, Tenant, Plan, Service} }

// ParseKind parses a kind. The error quotes the text.
func ParseKind(text string) (Kind, error) {
	for _, kind := range Kinds() {
		if text == string(kind) {
			return kind, nil
		}
	}
	return "", fmt.Errorf("unknown kind %q: want route, tenant, plan or service", text)
}

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// ParseKey parses a key in the form KIND/NAME.
func ParseKey(text string) (Key, error) {
	kindText, name, found := strings.Cut(text, "/")
	if !found {
		return Key{}, fmt.Errorf("key %q: want KIND/NAME", text)
	}
	kind, err := ParseKind(kindText)
	if err != nil {
		return Key{}, fmt.Errorf("key %q: %w", text, err)
	}
	if err := checkName(name); err != nil {
		return Key{}, fmt.Errorf("key %q: %w", text, err)
	}
	return Key{Kind: kind, Name: name}, nil
}

// String returns the key in the form KIND/NAME.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Validate returns an error for an unknown kind or a malformed name.
func (k Key) Validate() error {
	_, err := ParseKey(k.String())
	return err
}

// Compare returns -1, 0 or 1 if the key sorts before, equal to or after the other: by
// kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// MarshalText implements encoding.TextMarshaler: the form KIND/NAME.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	key, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = key
	return nil
}

// checkName accepts 1 to MaxNameBytes ASCII letters, digits and ". _ - :", of
// which the first is a letter or a digit.
func checkName(name string) error {
	if name == "" {
		return errors.New("the name is empty")
	}
	if len(name) > MaxNameBytes {
		return fmt.Errorf("the name has %d bytes, at most %d are allowed", len(name), MaxNameBytes)
	}
	for i := range len(name) {
		if !isNameByte(name[i], i == 0) {
			return fmt.Errorf("the name has %q at byte %d: want letters, digits and . _ - :, a letter or digit first", name[i], i)
		}
	}
	return nil
}

// isNameByte reports whether a name may contain the byte at its first or at a later position.
func isNameByte(b byte, first bool) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return !first && strings.IndexByte("._-:", b) >= 0
}
