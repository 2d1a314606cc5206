package records

import (
	"bytes"
	"encoding/json"
	"fmt"
)

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
	var list List[Element]
	for decoder.More() {
		if len(list) == MaxRecords {
			return fmt.Errorf("a list has more than %d elements", MaxRecords)
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
