package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
)

// readGolden returns the content of testdata/golden/name. If the run creates golden files and
// there is none, it is created with the content missing.
func readGolden(t testing.TB, name string, missing []byte) []byte {
	t.Helper()
	path := filepath.Join("golden", name)
	data, err := os.ReadFile(filepath.Join("testdata", path))
	if errors.Is(err, os.ErrNotExist) && golden.Creating() {
		golden.File(t, path, missing)
		return missing
	}
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requireGolden fails the test unless testdata/golden/name holds these very bytes.
func requireGolden(t testing.TB, name string, data []byte) {
	t.Helper()
	golden.File(t, filepath.Join("golden", name), data)
}

// requireEveryField fails the test unless each field of a value, at any depth, is set; in a
// list, in at least one element. A new field must be added to the value. It is stricter than
// golden.Complete: it also looks into fields that are not exported and into types that encode
// themselves.
func requireEveryField(t testing.TB, value any) {
	t.Helper()
	set := map[string]bool{}
	recordFields(reflect.ValueOf(value), fmt.Sprintf("%T", value), set)
	for path, isSet := range set {
		if !isSet {
			t.Errorf("%s is not set in the pinned value", path)
		}
	}
}

// recordFields records for the path of each field below a value whether it is set.
func recordFields(value reflect.Value, path string, set map[string]bool) {
	set[path] = set[path] || !value.IsZero()
	switch {
	case value.Type() == reflect.TypeFor[time.Time]():
	case value.Kind() == reflect.Pointer && !value.IsNil():
		recordFields(value.Elem(), path, set)
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			recordFields(value.Field(i), path+"."+value.Type().Field(i).Name, set)
		}
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() != reflect.Uint8:
		for i := range value.Len() {
			recordFields(value.Index(i), path+"[]", set)
		}
	}
}

// withUnknownFields returns variants of a JSON text, each with a field that no type has in one
// of the objects, except in the values of records.
func withUnknownFields(text []byte) [][]byte {
	var variants [][]byte
	for i := range text {
		if text[i] == '{' && !bytes.HasSuffix(text[:i], []byte(`"value":`)) {
			variants = append(variants, slices.Concat(text[:i+1], []byte(`"unknown_field":1,`), text[i+1:]))
		}
	}
	return variants
}

// pinJSON pins the encoding of a value that other packages embed in their messages: unknown
// fields are ignored when it is decoded.
func pinJSON[T any](t *testing.T, name string, value T) {
	t.Run(name, func(t *testing.T) {
		requireEveryField(t, value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		requireGolden(t, name, text)
		stored := readGolden(t, name, text)
		for _, text := range append(withUnknownFields(stored), stored) {
			var decoded T
			if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, value) {
				t.Errorf("%s is read as %+v, %v; want %+v", text, decoded, err, value)
			}
		}
	})
}

// pinMessage pins the encoding of a message on the wire: its text is compared, and both the text
// and the stored compressed bytes are decoded. Compressed bytes may differ between versions of
// the library, so they are not compared. Unknown fields are rejected.
func pinMessage[T any](t *testing.T, name string, message T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Run(name, func(t *testing.T) {
		data, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		text, err := decompress(data, MaxMessageBytes)
		if err != nil {
			t.Fatal(err)
		}
		requireGolden(t, name, text)
		if compressed := bytes.HasPrefix(data, zstdMagic); compressed != (len(text) >= 512) {
			t.Errorf("%d bytes, compressed: %t", len(text), compressed)
		}
		stored := [][]byte{readGolden(t, name, text)}
		if len(text) >= 512 {
			stored = append(stored, readGolden(t, name+".zst", data))
		}
		for _, data := range stored {
			if decoded, err := decode(data); err != nil || !reflect.DeepEqual(decoded, message) {
				t.Errorf("read as %+v, %v; want %+v", decoded, err, message)
			}
		}
		for _, text := range withUnknownFields(stored[0]) {
			if _, err := decode(text); !errors.Is(err, ErrMessage) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v: %s", err, text)
			}
		}
	})
}

// pinSnapshot pins a snapshot's text, that the stored file restores to the same, and that
// unknown fields are rejected. The bytes of a file that is not compressed are compared too.
func pinSnapshot(t *testing.T, name, header string, data []byte, restore func([]byte) ([]byte, error)) {
	t.Run(name, func(t *testing.T) {
		text := func(data []byte) []byte {
			if !bytes.HasPrefix(data, []byte(header)) {
				t.Fatalf("begins with %.40q", data)
			}
			text, err := decompress(unsealed(header, data), maxSnapshotBytes)
			if err != nil {
				t.Fatal(err)
			}
			return text
		}
		requireGolden(t, name+".json", text(data))
		stored := readGolden(t, name+".bin", data)
		if len(text(data)) < 512 {
			requireGolden(t, name+".bin", data)
		}
		again, err := restore(stored)
		if err != nil {
			t.Fatal(err)
		}
		requireGolden(t, name+".json", text(again))
		for _, unknown := range withUnknownFields(text(stored)) {
			if _, err := restore(sealed(header, unknown)); !errors.Is(err, ErrSnapshot) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v", err)
			}
		}
	})
}
