// Package otlpfile reads and writes spans as OpenTelemetry's file exporters do: a
// message of OTLP's JSON a line, ids in hexadecimal digits
// (https://opentelemetry.io/docs/specs/otel/protocol/file-exporter/).
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

const mostLine = 64 << 20 // bytes

// ids are the fields that OTLP's JSON has in hexadecimal digits, where protobuf's has base64.
var ids = map[string]bool{"traceId": true, "spanId": true, "parentSpanId": true}

// Write writes spans as one line.
func Write(w io.Writer, list []*trace.ResourceSpans) error {
	text, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(&trace.TracesData{ResourceSpans: list})
	if err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	line, err := turn(text, func(id string) (string, error) {
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

// Read reads all lines. An error names the line.
func Read(r io.Reader) (list []*trace.ResourceSpans, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, mostLine)
	n := 0
	for lines.Scan() {
		n++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		text, err := turn(line, func(id string) (string, error) {
			b, err := hex.DecodeString(id)
			return base64.StdEncoding.EncodeToString(b), err
		})
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		var m trace.TracesData
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		list = append(list, m.ResourceSpans...)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", n+1, err)
	}
	return list, nil
}

// turn rewrites the ids of a message.
func turn(text []byte, id func(string) (string, error)) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var m any
	if err := d.Decode(&m); err != nil {
		return nil, err
	}
	if err := walk(m, id); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

func walk(v any, id func(string) (string, error)) error {
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			if err := walk(e, id); err != nil {
				return err
			}
		}
	case map[string]any:
		for key, e := range v {
			text, is := e.(string)
			if !is || !ids[key] {
				if err := walk(e, id); err != nil {
					return err
				}
				continue
			}
			turned, err := id(text)
			if err != nil {
				return fmt.Errorf("%s %.64q: %w", key, text, err)
			}
			v[key] = turned
		}
	}
	return nil
}

// FormatValue is an attribute's value for people.
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
