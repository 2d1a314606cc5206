package records

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// minElementBytes is a lower bound on the JSON size of a valid List element.
const minElementBytes = 16

// List is a list that decodes at most MaxRecords elements from JSON and rejects unknown fields in them. The
// limit also depends on the size of the input, so that a small message cannot cause a large allocation.
type List[Element any] []Element

// UnmarshalJSON implements json.Unmarshaler. It decodes element by element; null is the
// empty list.
func (l *List[Element]) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		*l = nil
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return fmt.Errorf("want a list, not %.32q", data)
	}
	maxElements := min(MaxRecords, len(data)/minElementBytes)
	var list List[Element]
	for decoder.More() {
		if len(list) == maxElements {
			return fmt.Errorf("a list of %d bytes has more than %d elements", len(data), maxElements)
		}
		var element Element
		if err := decoder.Decode(&element); err != nil {
			return fmt.Errorf("element %d: %w", len(list), err)
		}
		list = append(list, element)
	}
	*l = list
	return nil
}
