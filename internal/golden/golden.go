// Package golden compares encoded values with golden files: the encodings that earlier versions of
// a program stored and sent. A golden file is written once, by the version that introduces the
// encoding, and never again. A test that finds other bytes has found a change of the encoding that
// other programs on a site and files on disk do not follow.
//
// It is for tests alone and is linked into no program.
package golden

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// create writes golden files of new encodings. It never overwrites: an existing file holds what
// earlier versions wrote, which a change of the code cannot change.
var create = flag.Bool("golden-create", false, "write golden files that do not exist yet; existing ones are compared as always")

// Creating reports whether the test run writes missing golden files.
func Creating() bool { return *create }

// File fails the test unless testdata/name holds exactly these bytes.
func File(t testing.TB, name string, encoded []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && Creating() {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("%s has changed:\n got %s\nwant %s", name, encoded, want)
	}
}

// Text fails the test unless testdata/golden/name holds exactly this text. The failure names the
// first line that differs.
func Text(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if err != nil {
		File(t, filepath.Join("golden", name), []byte(got))
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if w, g := lineOf(wantLines, i), lineOf(gotLines, i); w != g {
			t.Fatalf("%s:%d: the interface has changed\nwant %s\ngot  %s", path, i+1, w, g)
		}
	}
}

func lineOf(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end)"
}

// JSON fails the test unless the value's JSON encoding equals testdata/name and that file decodes to
// an equal value.
func JSON[T any](t testing.TB, name string, value T) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	File(t, name, encoded)
	var decoded T
	Decode(t, name, func(text []byte) error { return json.Unmarshal(text, &decoded) })
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to\n     %+v\nwant %+v", name, decoded, value)
	}
}

// ExtensibleJSON is like JSON for a value with every field set, whose encoding ends with a newline. It
// also fails the test unless the decoder ignores a key that only a later version knows.
func ExtensibleJSON[T any](t testing.TB, name string, value T) {
	t.Helper()
	EveryField(t, value)
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	File(t, name, append(encoded, '\n'))
	stored := Read(t, name, nil)
	for variant, text := range map[string][]byte{"as it is": stored, "with a new key": WithNewKey(stored)} {
		var decoded T
		if err := json.Unmarshal(text, &decoded); err != nil {
			t.Errorf("%s %s: %v", name, variant, err)
		}
		if !reflect.DeepEqual(decoded, value) {
			t.Errorf("%s %s decodes to\n     %+v\nwant %+v", name, variant, decoded, value)
		}
	}
}

// WithNewKey returns an encoded JSON object with an added key that only a later version knows.
func WithNewKey(text []byte) []byte {
	return bytes.Replace(text, []byte("{"), []byte(`{"added later":{"a":[1]},`), 1)
}

// JSONLines fails the test unless testdata/name holds the JSON encodings of the values, one per line.
// Given zero values, it pins which keys the encoding omits.
func JSONLines(t testing.TB, name string, values ...any) {
	t.Helper()
	var text []byte
	for _, value := range values {
		line, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	File(t, name, text)
}

// Read returns the content of testdata/name. If the file does not exist, a test run that writes missing
// golden files writes the missing content to it and returns that; any other run ends the test. With
// nil as the missing content, the file must exist.
func Read(t testing.TB, name string, missing []byte) []byte {
	t.Helper()
	stored, err := os.ReadFile(filepath.Join("testdata", name))
	if errors.Is(err, os.ErrNotExist) && Creating() && missing != nil {
		File(t, name, missing)
		return missing
	}
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// Decode passes the content of testdata/name to the function and fails the test if
// that returns an error.
func Decode(t testing.TB, name string, decode func(text []byte) error) {
	t.Helper()
	if err := decode(Read(t, name, nil)); err != nil {
		t.Errorf("%s: %v", name, err)
	}
}

// Complete fails the test unless every exported field that is reachable from the values is set in at
// least one of them. A field that is added to a stored type must thus be added to the value that is
// compared with its golden file.
func Complete(t testing.TB, values ...any) {
	t.Helper()
	if unset := UnsetFields(values...); len(unset) > 0 {
		t.Errorf("these fields are set in no value that is compared with a golden file: %v", unset)
	}
}

// UnsetFields returns the paths of the exported fields below the values that are zero in
// all of them. The fields of a type that implements its own encoding are not examined.
func UnsetFields(values ...any) (unset []string) {
	set := map[string]bool{}
	for _, value := range values {
		v := reflect.ValueOf(value)
		for v.Kind() == reflect.Pointer {
			v = v.Elem()
		}
		collectFields(set, v.Type().String(), v)
	}
	for path, isSet := range set {
		if !isSet {
			unset = append(unset, path)
		}
	}
	slices.Sort(unset)
	return unset
}

// leafTypes implement their own encoding, so their fields are not keys of the encoded value.
var leafTypes = []reflect.Type{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[encoding.TextMarshaler]()}

// collectFields records whether each field below the value is set, by its path.
func collectFields(set map[string]bool, path string, value reflect.Value) {
	set[path] = set[path] || !value.IsZero()
	if value.Kind() != reflect.Pointer && slices.ContainsFunc(leafTypes, value.Type().Implements) {
		return
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			collectFields(set, path, value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() || field.Anonymous {
				collectFields(set, path+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		if value.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range value.Len() {
			collectFields(set, path+"[]", value.Index(i))
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			collectFields(set, path+"[]", value.MapIndex(key))
		}
	}
}

// Constants fails the test unless each constant still has its text and the map holds all typed string
// constants that the test's package declares outside its tests. The keys are the constants, the values
// their texts.
func Constants(t testing.TB, texts map[string]string) {
	t.Helper()
	for constant, text := range texts {
		if constant != text {
			t.Errorf("the constant with the text %q is now %q", text, constant)
		}
	}
	want := slices.Sorted(maps.Keys(texts))
	if declared := declaredStrings(t); !slices.Equal(declared, want) {
		t.Errorf("the package declares the texts\n     %q\nwant %q", declared, want)
	}
}

// declaredStrings returns the texts of all typed string constants in the current
// directory, in order.
func declaredStrings(t testing.TB) (texts []string) {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			list, err := typedStrings(declaration)
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			texts = append(texts, list...)
		}
	}
	slices.Sort(texts)
	return texts
}

func typedStrings(declaration ast.Decl) (texts []string, err error) {
	group, ok := declaration.(*ast.GenDecl)
	if !ok || group.Tok != token.CONST {
		return nil, nil
	}
	for _, spec := range group.Specs {
		values, ok := spec.(*ast.ValueSpec)
		if !ok || values.Type == nil {
			continue
		}
		for _, value := range values.Values {
			literal, ok := value.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				continue
			}
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				return nil, fmt.Errorf("constant %s: %w", literal.Value, err)
			}
			texts = append(texts, text)
		}
	}
	return texts, nil
}
