package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FieldError is a problem with one field of a value.
type FieldError struct {
	Field  string // empty if the problem is not about one field
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func fieldError(field, format string, arguments ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}

// Value is the typed content of a record.
type Value interface {
	// Validate returns the first problem of the value, or nil. It does not consider other records.
	Validate() *FieldError
	// Reference returns the key of the record that this one refers to and that must exist, and the field with its
	// name. If ok is false, the value refers to no record.
	Reference() (key Key, field string, ok bool)
}

// ParseValue decodes and validates the value of a record of a kind, and returns it with its canonical JSON. Unknown
// fields are rejected. The error names the invalid field.
func ParseValue(kind Kind, data []byte) (Value, json.RawMessage, *FieldError) {
	value, problem := newValue(kind)
	if problem != nil {
		return nil, nil, problem
	}
	if len(data) > MaxValueBytes {
		return nil, nil, fieldError("", "the value has %d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	if err := decodeStrict(data, value); err != nil {
		return nil, nil, decodeProblem(err)
	}
	if problem := value.Validate(); problem != nil {
		return nil, nil, problem
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return nil, nil, fieldError("", "%v", err)
	}
	if len(canonical) > MaxValueBytes {
		return nil, nil, fieldError("", "the value has %d bytes, at most %d are allowed", len(canonical), MaxValueBytes)
	}
	return value, canonical, nil
}

// newValue returns an empty value of a kind.
func newValue(kind Kind) (Value, *FieldError) {
	switch kind {
	case Route:
		return &RouteValue{}, nil
	case Tenant:
		return &TenantValue{}, nil
	case Plan:
		return &PlanValue{}, nil
	case Service:
		return &ServiceValue{}, nil
	}
	return nil, fieldError("", "unknown kind %q", kind)
}

// decodeStrict decodes exactly one JSON value, and rejects unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more behind the JSON value")
	}
	return nil
}

// unknownFieldPrefix is the prefix of encoding/json's error for an unknown field, which has no type of its own.
const unknownFieldPrefix = `json: unknown field "`

// decodeProblem converts a decoding error, with the name of the field if that is known.
func decodeProblem(err error) *FieldError {
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return fieldError(wrongType.Field, "cannot be a JSON %s", wrongType.Value)
	}
	if field, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		return fieldError(strings.TrimSuffix(field, `"`), "unknown field")
	}
	return fieldError("", "not a JSON object of this kind: %v", err)
}
