package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"elderyard/internal/strict"
)

// Limits and date format of a slope file.
const (
	maxSlopesFileBytes = 1 << 20 // bytes
	maxPoints          = 10_000  // per slope
	maxPointValue      = 1e15
	dateLayout         = "2006-01-02"
)

// Slope is the values of one measure at several sizes, as measured by one command.
type Slope struct {
	Measure        string  `json:"measure"`        // name of a Measure
	Unit           string  `json:"unit"`           // unit of the measure, repeated so that a mismatch is detected
	Command        string  `json:"command"`        // the command that measured it, so that the measurement can be repeated
	Date           string  `json:"measured"`       // such as 2026-12-02
	ConcurrentLoad string  `json:"beside"`         // what else ran on the machine
	Trial          bool    `json:"trial"`          // measured on a scratch copy or on a machine with other load; to be repeated
	Comment        string  `json:"note,omitempty"` // anything else that readers have to know
	Points         []Point `json:"points"`
}

// DecodeSlopes decodes and validates a slope file: a JSON list of Slope in which each measure occurs at most
// once. Errors are *strict.Error and name the file, line and key.
func DecodeSlopes(file string, text []byte) ([]Slope, error) {
	d := slopeDecoder{file: file, text: text}
	if len(text) > maxSlopesFileBytes {
		return nil, d.errorAt(0, "", "%d bytes, and %d may be", len(text), maxSlopesFileBytes)
	}
	return d.decode()
}

// slopeDecoder decodes a slope file and locates its errors in the text.
type slopeDecoder struct {
	file string
	text []byte
}

// decode decodes the list element by element, so that an error can name its element and line.
func (d *slopeDecoder) decode() ([]Slope, error) {
	reader := json.NewDecoder(bytes.NewReader(d.text))
	reader.DisallowUnknownFields()
	if token, err := reader.Token(); err != nil || token != json.Delim('[') {
		return nil, d.errorAt(0, "", "a list of slopes is expected: [ ... ]")
	}
	var slopes []Slope
	seen := map[string]int{}
	for reader.More() {
		start := d.elementStart(reader.InputOffset())
		key := fmt.Sprintf("[%d]", len(slopes))
		var slope Slope
		if err := reader.Decode(&slope); err != nil {
			return nil, d.decodeError(start, key, err)
		}
		end := int(reader.InputOffset())
		if field, problem := slope.validate(); problem != "" {
			return nil, d.errorAt(d.fieldOffset(start, end, field), key+"."+field, "%s", problem)
		}
		if firstIndex, duplicate := seen[slope.Measure]; duplicate {
			return nil, d.errorAt(d.fieldOffset(start, end, "measure"), key+".measure", "%q stands in [%d] already", slope.Measure, firstIndex)
		}
		seen[slope.Measure] = len(slopes)
		slopes = append(slopes, slope)
	}
	if _, err := reader.Token(); err != nil {
		return nil, d.decodeError(len(d.text), "", err)
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return nil, d.errorAt(int(reader.InputOffset()), "", "there is more behind the list")
	}
	return slopes, nil
}

// validate returns the first invalid field of a slope and what is wrong with it, or empty strings.
func (s *Slope) validate() (field, problem string) {
	measure, known := findMeasure(s.Measure)
	switch {
	case s.Measure == "":
		return "measure", "it must be named"
	case !known:
		problem = fmt.Sprintf("there is no measure %q", s.Measure)
		if near := strict.Closest(s.Measure, measureNames()); near != "" {
			problem += fmt.Sprintf("; did you mean %q?", near)
		}
		return "measure", problem
	case s.Unit != measure.Unit:
		return "unit", fmt.Sprintf("%q; %s is measured in %q", s.Unit, s.Measure, measure.Unit)
	case strings.TrimSpace(s.Command) == "":
		return "command", "it must say what measured the points"
	case len(s.Points) == 0:
		return "points", "there must be one at least"
	case len(s.Points) > maxPoints:
		return "points", fmt.Sprintf("%d, and %d may be", len(s.Points), maxPoints)
	}
	if _, err := time.Parse(dateLayout, s.Date); err != nil {
		return "measured", fmt.Sprintf("%q is not a day such as \"2026-12-02\"", s.Date)
	}
	for i, p := range s.Points {
		switch {
		case p.Size < 1 || p.Size > maxNumber:
			return fmt.Sprintf("points[%d].size", i), fmt.Sprintf("%g is not between 1 and %g", p.Size, maxNumber)
		case p.Value < 0 || p.Value > maxPointValue:
			return fmt.Sprintf("points[%d].value", i), fmt.Sprintf("%g is not between 0 and %g", p.Value, maxPointValue)
		}
	}
	return "", ""
}

func measureNames() []string {
	var names []string
	for _, m := range measures {
		names = append(names, m.Name)
	}
	return names
}

// decodeError converts an error of encoding/json, in the element that begins at start, to one that names the
// line.
func (d *slopeDecoder) decodeError(start int, key string, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return d.errorAt(int(syntax.Offset), key, "%s", strings.TrimPrefix(syntax.Error(), "json: "))
	case errors.As(err, &wrongType):
		return d.errorAt(int(wrongType.Offset), key+"."+wrongType.Field, "a %s where a %s is expected", wrongType.Value, wrongType.Type)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return d.errorAt(len(d.text), key, "the file ends in the midst of it")
	}
	// encoding/json has no error type for an unknown field; only its message names the field.
	if _, rest, ok := strings.Cut(err.Error(), "unknown field "); ok {
		field := strings.Trim(rest, `"`)
		problem := "there is no such key"
		if near := strict.Closest(field, slopeKeys); near != "" {
			problem += fmt.Sprintf("; did you mean %q?", near)
		}
		return d.errorAt(d.fieldOffset(start, len(d.text), field), key+"."+field, "%s", problem)
	}
	return d.errorAt(start, key, "%v", err)
}

// slopeKeys lists the keys of a slope and of its points, for suggestions.
var slopeKeys = []string{"measure", "unit", "command", "measured", "beside", "trial", "note", "points", "size", "value"}

// elementStart returns the offset of the next element, after commas and white space.
func (d *slopeDecoder) elementStart(offset int64) int {
	start := int(offset)
	for start < len(d.text) && strings.ContainsRune(" \t\r\n,", rune(d.text[start])) {
		start++
	}
	return start
}

// fieldOffset returns the offset of a field such as "unit" or "points[2].size" in the element between start and
// end, or start if the element does not have the field.
func (d *slopeDecoder) fieldOffset(start, end int, field string) int {
	name, occurrence := field, 0
	if i := strings.LastIndex(field, "."); i >= 0 {
		name = field[i+1:]
		fmt.Sscanf(field, "points[%d]", &occurrence)
	}
	offset := start
	for range occurrence + 1 {
		at := bytes.Index(d.text[offset:end], []byte(`"`+name+`"`))
		if at < 0 {
			return start
		}
		offset += at + 1
	}
	return offset
}

// errorAt returns an error with the line of an offset in the text.
func (d *slopeDecoder) errorAt(offset int, key, format string, a ...any) error {
	offset = min(max(offset, 0), len(d.text))
	line := 1 + bytes.Count(d.text[:offset], []byte("\n"))
	return &strict.Error{File: d.file, Line: line, Key: strings.TrimPrefix(key, "."), Text: fmt.Sprintf(format, a...)}
}
