// Package golden compares what a program writes with files that hold what it has always written. Tests use it to pin
// interfaces: printed texts, encoded messages, keys and names. It is for tests alone.
package golden

import (
	"encoding"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// An existing golden file is an interface and is never rewritten. A change that means to change the interface deletes
// the file, writes it anew with -update, and shows the difference.
var update = flag.Bool("update", false, "write golden files that do not exist; an existing one is never rewritten")

// folder holds the golden files of a package.
var folder = filepath.Join("testdata", "golden")

// Compare fails the test unless got is what the golden file of that name holds, byte for byte. The failure names the
// first line that differs.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join(folder, name)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) && *update {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if w, g := line(wantLines, i), line(gotLines, i); w != g {
			t.Fatalf("%s:%d: the interface has changed\nwant %s\ngot  %s", path, i+1, w, g)
		}
	}
}

func line(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end)"
}

// UnsetFields returns the fields, by their path, that are zero in all of the values, which are of one type. Fields of
// types that encode themselves as text are not looked into.
func UnsetFields(values ...any) (unset []string) {
	set := map[string]bool{}
	for _, v := range values {
		value := reflect.ValueOf(v)
		collectFields(value, value.Type().String(), set)
	}
	for path, isSet := range set {
		if !isSet {
			unset = append(unset, path)
		}
	}
	slices.Sort(unset)
	return unset
}

var (
	textType = reflect.TypeFor[encoding.TextMarshaler]()
	rawType  = reflect.TypeFor[json.RawMessage]()
)

// collectFields records for each field below a value whether it is set.
func collectFields(v reflect.Value, path string, set map[string]bool) {
	switch {
	case v.Type().Implements(textType) || v.Type() == rawType:
	case v.Kind() == reflect.Pointer && !v.IsNil():
		collectFields(v.Elem(), path, set)
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			collectFields(v.Index(i), path, set)
		}
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			field := path + "." + v.Type().Field(i).Name
			set[field] = set[field] || !v.Field(i).IsZero()
			collectFields(v.Field(i), field, set)
		}
	}
}
