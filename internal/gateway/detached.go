package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"elderyard/internal/files"
)

const (
	handLook = 200 * time.Millisecond // between looks for what the other process of an upgrade has noted
	mostHand = 1 << 20                // bytes of the file
	mostOut  = 1024                   // backends out by hand
)

// handBook keeps on disk which backends are out by hand, so that an upgrade's
// new process leaves them out too. Both processes may be called while both run:
// each writes under a lock and follows what the other wrote. Without a folder
// nothing is kept.
type handBook struct {
	path string // empty: no folder
	seen os.FileInfo
}

// newHandBook keeps its file in folder, under the gateway's name.
func newHandBook(folder, name string) *handBook {
	if folder == "" {
		return &handBook{}
	}
	return &handBook{path: filepath.Join(folder, "elderyard-"+url.PathEscape(name)+"-out.json")}
}

var errTooManyOut = errors.New("too many backends are out by hand")

// note writes down that a backend is out, or in again. Danger: a write that is cut
// short must not cost what stood there, so the file is replaced whole.
func (h *handBook) note(id string, out bool) error {
	if h.path == "" {
		return nil
	}
	lock, err := os.OpenFile(h.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("backends out by hand: lock: %w", err)
	}
	ids, err := h.read()
	if err != nil {
		return err
	}
	if _, there := ids[id]; there == out {
		return nil
	}
	if out && len(ids) >= mostOut {
		return errTooManyOut
	}
	if delete(ids, id); out {
		ids[id] = struct{}{}
	}
	text, err := json.Marshal(struct {
		Out []string `json:"out"`
	}{slices.Sorted(maps.Keys(ids))})
	if err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	if err := files.Replace(h.path, text, 0o600); err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	return nil
}

// read returns the ids in the file; none where there is no file.
func (h *handBook) read() (map[string]struct{}, error) {
	ids := map[string]struct{}{}
	f, err := os.Open(h.path)
	if errors.Is(err, os.ErrNotExist) {
		return ids, nil
	}
	if err != nil {
		return nil, fmt.Errorf("backends out by hand: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostHand))
	if err != nil {
		return nil, fmt.Errorf("backends out by hand: %w", err)
	}
	var book struct{ Out []string }
	if err := json.Unmarshal(text, &book); err != nil {
		return nil, fmt.Errorf("backends out by hand: %s: %w", h.path, err)
	}
	for _, id := range book.Out {
		ids[strings.Clone(id)] = struct{}{}
	}
	return ids, nil
}

// changed reads the file if it has been replaced since the last look.
func (h *handBook) changed() (ids map[string]struct{}, changed bool, err error) {
	if h.path == "" {
		return nil, false, nil
	}
	now, err := os.Stat(h.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("backends out by hand: %w", err)
	}
	if h.seen != nil && os.SameFile(h.seen, now) && h.seen.ModTime().Equal(now.ModTime()) {
		return nil, false, nil
	}
	h.seen = now
	ids, err = h.read()
	return ids, err == nil, err
}
