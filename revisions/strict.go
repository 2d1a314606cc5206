package revisions

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// DecodeStrict decodes one JSON value into the one that target points to. A key that the target does not have, or anything
// after the value, is an error.
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
