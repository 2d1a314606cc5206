// Package files replaces files whole.
package files

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Replace puts a text in the place of a file: whoever reads it, also after a
// power cut, finds the old one or the new one. An error names the file, and the
// old one stands.
func Replace(path string, text []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".next-*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	err = f.Chmod(mode)
	if err == nil {
		_, err = f.Write(text)
	}
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("write %s: %w", path, err)
	}
	if d, err := os.Open(filepath.Dir(path)); err == nil {
		d.Sync()
		d.Close()
	}
	return nil
}
