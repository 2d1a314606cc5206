// Package strict decodes TOML files that people write: an unknown key, a wrong type or a
// value out of range is one error with file and line, and for an unknown key with a
// suggestion.
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

// Duration is a duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time such as \"1.5s\" or \"200ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Error is an error in a file, with its position.
type Error struct {
	File string
	Line int    // from 1; 0 if it is not known
	Key  string // such as "fault[1].kind"; may be empty
	Text string
}

// Error returns the position and the text.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		position += ": " + e.Key
	}
	return position + ": " + e.Text
}

// Decode decodes text into the struct that v points to. An error is an *Error.
func Decode(file string, text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(v)
	var missing *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		first := missing.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		text := "there is no such key"
		if suggestion := Closest(first.Key()[len(first.Key())-1], tableKeys(reflect.TypeOf(v), first.Key()[:len(first.Key())-1])); suggestion != "" {
			text += fmt.Sprintf("; did you mean %q?", suggestion)
		}
		return &Error{file, line, key, text}
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return &Error{file, line, strings.Join(malformed.Key(), "."), strings.TrimPrefix(malformed.Error(), "toml: ")}
	}
	return &Error{File: file, Text: err.Error()}
}

// ErrorAt returns an *Error about a key, such as "fault[1].kind", with its line in the
// text.
func ErrorAt(file string, text []byte, key, format string, args ...any) error {
	return &Error{file, lineOf(text, key), key, fmt.Sprintf(format, args...)}
}

// lineOf returns the line on which a key is set, or else on which its table begins. It
// recognizes headers of tables and arrays of tables, and returns 0 for other syntax.
func lineOf(text []byte, key string) int {
	table, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		table, name = key[:i], key[i+1:]
	}
	current, tableLine, counts := "", 0, map[string]int{}
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if header, ok := strings.CutPrefix(line, "[["); ok {
			header, _, _ = strings.Cut(header, "]]")
			header = strings.TrimSpace(header)
			current = fmt.Sprintf("%s[%d]", header, counts[header])
			counts[header]++
		} else if header, ok := strings.CutPrefix(line, "["); ok {
			header, _, _ = strings.Cut(header, "]")
			current = strings.TrimSpace(header)
		} else if left, _, ok := strings.Cut(line, "="); ok && current == table && strings.TrimSpace(left) == name {
			return n + 1
		}
		if tableLine == 0 && current != "" && (current == table || current == key) {
			tableLine = n + 1
		}
	}
	return tableLine
}

// tableKeys returns the keys that a struct has in the table at path.
func tableKeys(t reflect.Type, path []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		if len(path) > 0 && name == path[0] {
			return tableKeys(field.Type, path[1:])
		}
		keys = append(keys, name)
	}
	if len(path) > 0 {
		return nil
	}
	return keys
}

// Closest returns the name with the smallest edit distance to a misspelt word, or "" if
// none is within a distance of 1 plus a third of its length.
func Closest(word string, names []string) string {
	best, smallest := "", 1+len(word)/3
	for _, name := range names {
		if d := editDistance(strings.ToLower(word), strings.ToLower(name)); d <= smallest {
			if d < smallest || best == "" {
				best, smallest = name, d
			}
		}
	}
	return best
}

// editDistance returns the Damerau-Levenshtein distance in its restricted form: the
// number of letters to replace, insert, delete or swap with the next one.
func editDistance(a, b string) int {
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

// Keys returns the keys of a struct, each with its doc tag, for the help of commands. A
// key in a table is "table.key".
func Keys(v any) [][2]string { return keysOf(reflect.TypeOf(v), "") }

func keysOf(t reflect.Type, prefix string) (list [][2]string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		element := field.Type
		for element.Kind() == reflect.Slice {
			element = element.Elem()
		}
		list = append(list, [2]string{prefix + name, field.Tag.Get("doc")})
		if element.Kind() == reflect.Struct {
			list = append(list, keysOf(element, prefix+name+".")...)
		}
	}
	return slices.Clip(list)
}
