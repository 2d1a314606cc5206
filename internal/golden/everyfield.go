package golden

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

// EveryField fails the test unless each field of the value is set, at any depth. Lists and maps must
// have at least one element, and every element must have its fields set. A field that is added to an
// encoded type must thus be added to its pinned value.
//
// It is stricter than Complete: the value itself must have all fields, including unexported ones and
// those of types that implement their own encoding. A time.Time counts as one field.
func EveryField(t testing.TB, value any) {
	t.Helper()
	reportUnset(t, value, true)
}

// EveryFieldSomewhere is like EveryField, but a field below a list or a map need be set in only one of
// the elements. It is for computed values, whose elements can't all have every field set.
func EveryFieldSomewhere(t testing.TB, value any) {
	t.Helper()
	reportUnset(t, value, false)
}

func reportUnset(t testing.TB, value any, inEachElement bool) {
	t.Helper()
	v := valueFields{set: map[string]bool{}, inEachElement: inEachElement}
	v.add(reflect.ValueOf(value), fmt.Sprintf("%T", value))
	for _, path := range v.unset() {
		t.Errorf("%s is not set in the pinned value", path)
	}
}

// valueFields records by path whether each field of a value is set. The elements of a list or a map
// share one path unless inEachElement is set.
type valueFields struct {
	set           map[string]bool
	inEachElement bool
}

// unset returns the paths of the fields that are not set, in order.
func (f *valueFields) unset() (paths []string) {
	for path, isSet := range f.set {
		if !isSet {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// record adds one occurrence of a field to its path; the path counts as set if any occurrence is.
func (f *valueFields) record(path string, isSet bool) { f.set[path] = f.set[path] || isSet }

// add records the fields of a value, or the value itself if it has none.
func (f *valueFields) add(value reflect.Value, path string) {
	switch value.Kind() {
	case reflect.Invalid:
		f.record(path, false)
	case reflect.Pointer, reflect.Interface:
		// The pointer has its own path, so that a set pointer does not hide a zero target.
		f.record(path, !value.IsNil())
		if !value.IsNil() {
			f.add(value.Elem(), path+".*")
		}
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[time.Time]() || value.NumField() == 0 {
			f.record(path, !value.IsZero())
			return
		}
		for i := range value.NumField() {
			f.add(value.Field(i), path+"."+value.Type().Field(i).Name)
		}
	case reflect.Slice, reflect.Array:
		f.record(path, value.Len() > 0)
		for i := range value.Len() {
			f.add(value.Index(i), f.element(path, i))
		}
	case reflect.Map:
		f.record(path, value.Len() > 0)
		for _, key := range value.MapKeys() {
			f.add(value.MapIndex(key), f.element(path, key))
		}
	default:
		f.record(path, !value.IsZero())
	}
}

// element returns the path of an element of a list or a map.
func (f *valueFields) element(path string, key any) string {
	if f.inEachElement {
		return fmt.Sprintf("%s[%v]", path, key)
	}
	return path + "[]"
}
