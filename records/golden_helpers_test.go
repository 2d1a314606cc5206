package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// The files in testdata/golden are what released programs have stored and sent. They
// may be written only for a form that has no file yet: a difference from an existing
// file means that old and new programs do not understand each other. With
// -update-golden, which never overwrites, missing files are written.
var updateGolden = flag.Bool("update-golden", false, "write golden files that do not exist")

// readGolden returns a golden file; missing is what it holds if it is written now.
func readGolden(t testing.TB, name string, missing []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, missing, 0o644); err != nil {
			t.Fatal(err)
		}
		return missing
	}
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requireGolden requires that data is what the golden file holds, byte for byte.
func requireGolden(t testing.TB, name string, data []byte) {
	t.Helper()
	want := readGolden(t, name, data)
	if bytes.Equal(data, want) {
		return
	}
	at := 0
	for at < min(len(data), len(want)) && data[at] == want[at] {
		at++
	}
	excerpt := func(text []byte) []byte { return text[max(0, at-40):min(len(text), at+40)] }
	t.Errorf("%s differs at byte %d: got %q, want %q", name, at, excerpt(data), excerpt(want))
}

// requireEveryField requires that each field of a value, at any depth, is set; in a
// list, in one element at least. A new field must be added to the value.
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

// withUnknownFields returns a JSON text with a field that no type has, once in each
// object but the values of records.
func withUnknownFields(text []byte) [][]byte {
	var variants [][]byte
	for i := range text {
		if text[i] == '{' && !bytes.HasSuffix(text[:i], []byte(`"value":`)) {
			variants = append(variants, slices.Concat(text[:i+1], []byte(`"unknown_field":1,`), text[i+1:]))
		}
	}
	return variants
}

// pinJSON pins the form of a value that others embed in their messages.
func pinJSON[T any](t *testing.T, name string, value T) {
	t.Run(name, func(t *testing.T) {
		requireEveryField(t, value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		requireGolden(t, name, text)
		golden := readGolden(t, name, text)
		for _, text := range append(withUnknownFields(golden), golden) {
			var decoded T
			if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, value) {
				t.Errorf("%s is read as %+v, %v; want %+v", text, decoded, err, value)
			}
		}
	})
}

// pinMessage pins a message in the form in which it goes over the wire: its text, and
// that text and today's compressed bytes are read. Compressed bytes may differ from
// one version of the library to the next, so they are not compared.
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

// pinSnapshot pins a snapshot's text, that today's file is restored to the same, and
// that unknown fields are rejected. A file that is not compressed is pinned itself.
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
		golden := readGolden(t, name+".bin", data)
		if len(text(data)) < 512 {
			requireGolden(t, name+".bin", data)
		}
		again, err := restore(golden)
		if err != nil {
			t.Fatal(err)
		}
		requireGolden(t, name+".json", text(again))
		for _, unknown := range withUnknownFields(text(golden)) {
			if _, err := restore(sealed(header, unknown)); !errors.Is(err, ErrSnapshot) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v", err)
			}
		}
	})
}
