package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"elderyard/internal/golden"
)

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
		golden.EveryField(t, value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, "golden/"+name, text)
		stored := golden.Read(t, "golden/"+name, text)
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
		golden.File(t, "golden/"+name, text)
		if compressed := bytes.HasPrefix(data, zstdMagic); compressed != (len(text) >= 512) {
			t.Errorf("%d bytes, compressed: %t", len(text), compressed)
		}
		stored := [][]byte{golden.Read(t, "golden/"+name, text)}
		if len(text) >= 512 {
			stored = append(stored, golden.Read(t, "golden/"+name+".zst", data))
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
		golden.File(t, "golden/"+name+".json", text(data))
		stored := golden.Read(t, "golden/"+name+".bin", data)
		if len(text(data)) < 512 {
			golden.File(t, "golden/"+name+".bin", data)
		}
		again, err := restore(stored)
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, "golden/"+name+".json", text(again))
		for _, unknown := range withUnknownFields(text(stored)) {
			if _, err := restore(sealed(header, unknown)); !errors.Is(err, ErrSnapshot) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v", err)
			}
		}
	})
}
