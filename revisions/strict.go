package revisions

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// DecodeStrict decodes a JSON value into the value that target points to. Unknown keys and trailing data are errors.
func DecodeStrict(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows it")
	}
	return nil
}
