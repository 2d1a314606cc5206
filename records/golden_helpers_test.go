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

// withUnknownFields returns variants of a JSON text, each of which has an unknown field in one of its objects. The
// values of records are left unchanged.
func withUnknownFields(text []byte) [][]byte {
	var variants [][]byte
	for i := range text {
		if text[i] == '{' && !bytes.HasSuffix(text[:i], []byte(`"value":`)) {
			variants = append(variants, slices.Concat(text[:i+1], []byte(`"unknown_field":1,`), text[i+1:]))
		}
	}
	return variants
}

// pinJSON compares the JSON encoding of a value that other packages embed in their messages with its golden file.
// Unknown fields are ignored when it is decoded.
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
				t.Errorf("%s decoded to %+v, %v; want %+v", text, decoded, err, value)
			}
		}
	})
}

// pinMessage compares the wire format of a message with its golden file and decodes both the golden text and the golden
// compressed bytes. Compressed bytes are not compared, since they may differ between versions of the compression
// library. Unknown fields are rejected.
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
				t.Errorf("decoded to %+v, %v; want %+v", decoded, err, message)
			}
		}
		for _, text := range withUnknownFields(stored[0]) {
			if _, err := decode(text); !errors.Is(err, ErrMessage) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v: %s", err, text)
			}
		}
	})
}

// pinSnapshot compares a snapshot's JSON with its golden file, and checks that the golden snapshot restores to the same
// content and that unknown fields are rejected. The bytes of an uncompressed snapshot are compared too.
func pinSnapshot(t *testing.T, name, header string, data []byte, restore func([]byte) ([]byte, error)) {
	t.Run(name, func(t *testing.T) {
		text := func(data []byte) []byte {
			if !bytes.HasPrefix(data, []byte(header)) {
				t.Fatalf("the snapshot begins with %.40q, want %q", data, header)
			}
			text, err := decompress(snapshotBody(header, data), maxSnapshotBytes)
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
			if _, err := restore(snapshotWithBody(header, unknown)); !errors.Is(err, ErrSnapshot) || !strings.Contains(err.Error(), "unknown_field") {
				t.Errorf("with an unknown field: %v", err)
			}
		}
	})
}
