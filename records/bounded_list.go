package records

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// minElementBytes is less than any element of a List takes as JSON.
const minElementBytes = 16

// List is a list that reads at most MaxRecords elements from JSON, so that a small
// message cannot make a program allocate much, and none with unknown fields.
type List[Element any] []Element

// UnmarshalJSON reads the list element by element.
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
	highest := min(MaxRecords, len(data)/minElementBytes)
	var list List[Element]
	for decoder.More() {
		if len(list) == highest {
			return fmt.Errorf("a list of %d bytes has more than %d elements", len(data), highest)
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
