// Package otlpfile reads and writes spans in the format of OpenTelemetry's file exporters: one message of OTLP's JSON
// per line, with IDs in hexadecimal (https://opentelemetry.io/docs/specs/otel/protocol/file-exporter/).
package otlpfile

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protojson"
)

const maxLineBytes = 64 << 20

// idFields are the fields that OTLP's JSON encodes in hexadecimal, where protobuf's JSON uses base64.
var idFields = map[string]bool{"traceId": true, "spanId": true, "parentSpanId": true}

// Write writes spans as one line.
func Write(w io.Writer, list []*trace.ResourceSpans) error {
	text, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(&trace.TracesData{ResourceSpans: list})
	if err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	line, err := convertIDs(text, func(id string) (string, error) {
		b, err := base64.StdEncoding.DecodeString(id)
		return hex.EncodeToString(b), err
	})
	if err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	return nil
}

// Read reads the spans of all lines. Its errors contain the line number.
func Read(r io.Reader) (list []*trace.ResourceSpans, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	lineNumber := 0
	for lines.Scan() {
		lineNumber++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		text, err := convertIDs(line, func(id string) (string, error) {
			b, err := hex.DecodeString(id)
			return base64.StdEncoding.EncodeToString(b), err
		})
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		var m trace.TracesData
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		list = append(list, m.ResourceSpans...)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", lineNumber+1, err)
	}
	return list, nil
}

// convertIDs converts the IDs of a JSON message.
func convertIDs(text []byte, convert func(string) (string, error)) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var m any
	if err := d.Decode(&m); err != nil {
		return nil, err
	}
	if err := convertIDsIn(m, convert); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

// convertIDsIn converts the IDs in a decoded JSON value, in place.
func convertIDsIn(v any, convert func(string) (string, error)) error {
	switch v := v.(type) {
	case []any:
		for _, element := range v {
			if err := convertIDsIn(element, convert); err != nil {
				return err
			}
		}
	case map[string]any:
		for key, element := range v {
			text, isString := element.(string)
			if !isString || !idFields[key] {
				if err := convertIDsIn(element, convert); err != nil {
					return err
				}
				continue
			}
			converted, err := convert(text)
			if err != nil {
				return fmt.Errorf("%s %.64q: %w", key, text, err)
			}
			v[key] = converted
		}
	}
	return nil
}

// FormatValue returns the value of an attribute as text, "" for types that this program does not set.
func FormatValue(v *common.AnyValue) string {
	switch v := v.GetValue().(type) {
	case *common.AnyValue_StringValue:
		return v.StringValue
	case *common.AnyValue_BoolValue:
		return fmt.Sprint(v.BoolValue)
	case *common.AnyValue_IntValue:
		return fmt.Sprint(v.IntValue)
	case *common.AnyValue_DoubleValue:
		return fmt.Sprint(v.DoubleValue)
	}
	return ""
}
