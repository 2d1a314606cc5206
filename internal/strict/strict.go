// Package strict reads TOML files that people write: an unknown key, a wrong
// type or a value out of range is one error that names file and line, with the
// key that was probably meant.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"1.5s\" or \"200ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Error is what is wrong with a file, and where.
type Error struct {
	File string
	Line int    // from 1; 0 where no line can be named
	Key  string // such as "fault[1].kind"; may be empty
	Text string
}

func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		where += ": " + e.Key
	}
	return where + ": " + e.Text
}

// Decode reads text into the struct that v points to.
func Decode(file string, text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(v)
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		first := missing.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		text := "there is no such key"
		if near := Closest(first.Key()[len(first.Key())-1], known(reflect.TypeOf(v), first.Key()[:len(first.Key())-1])); near != "" {
			text += fmt.Sprintf("; did you mean %q?", near)
		}
		return &Error{file, line, key, text}
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return &Error{file, line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return &Error{File: file, Text: err.Error()}
}

// ErrorAt returns an error about a key, such as "fault[1].kind", with its line in
// the text.
func ErrorAt(file string, text []byte, key, format string, a ...any) error {
	return &Error{file, lineOf(text, key), key, fmt.Sprintf(format, a...)}
}

// lineOf finds the line on which a key is set, or its table begins. It knows
// tables and arrays of tables as people write them, and returns 0 for others.
func lineOf(text []byte, key string) int {
	table, last := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		table, last = key[:i], key[i+1:]
	}
	at, begun, counts := "", 0, map[string]int{}
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[["); ok {
			name, _, _ = strings.Cut(name, "]]")
			name = strings.TrimSpace(name)
			at = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
		} else if name, ok := strings.CutPrefix(line, "["); ok {
			name, _, _ = strings.Cut(name, "]")
			at = strings.TrimSpace(name)
		} else if k, _, ok := strings.Cut(line, "="); ok && at == table && strings.TrimSpace(k) == last {
			return n + 1
		}
		if begun == 0 && at != "" && (at == table || at == key) {
			begun = n + 1
		}
	}
	return begun
}

// known returns the keys that a struct has at a path of tables.
func known(t reflect.Type, path []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		if len(path) > 0 && name == path[0] {
			return known(f.Type, path[1:])
		}
		keys = append(keys, name)
	}
	if len(path) > 0 {
		return nil
	}
	return keys
}

// Closest returns the name that a word was probably meant to be, or "".
func Closest(word string, names []string) string {
	best, least := "", 1+len(word)/3
	for _, n := range names {
		if d := distance(strings.ToLower(word), strings.ToLower(n)); d <= least {
			if d < least || best == "" {
				best, least = n, d
			}
		}
	}
	return best
}

// distance is the number of letters to change, add, leave out or swap with the
// next one.
func distance(a, b string) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}

// Keys lists the keys of a struct for a person to read, each with its doc tag.
// Tables come as "table.key".
func Keys(v any) [][2]string { return keysOf(reflect.TypeOf(v), "") }

func keysOf(t reflect.Type, prefix string) (list [][2]string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		inner := f.Type
		for inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		list = append(list, [2]string{prefix + name, f.Tag.Get("doc")})
		if inner.Kind() == reflect.Struct {
			list = append(list, keysOf(inner, prefix+name+".")...)
		}
	}
	return slices.Clip(list)
}
