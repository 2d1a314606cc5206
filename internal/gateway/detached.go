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
	detachedPollInterval = 200 * time.Millisecond // between checks for changes by the other process of an upgrade
	maxDetachedFile      = 1 << 20                // bytes
	maxDetached          = 1024                   // backends
)

// detachedFile stores which backends operators have detached, so that the new process of an upgrade does
// not use them either. While both processes run, operators may call either of them: each writes under a
// lock and follows the changes of the other. Without a directory nothing is stored.
type detachedFile struct {
	path     string // empty: nothing is stored
	lastInfo os.FileInfo
}

// newDetachedFile names the file after the gateway.
func newDetachedFile(dir, name string) *detachedFile {
	if dir == "" {
		return &detachedFile{}
	}
	return &detachedFile{path: filepath.Join(dir, "elderyard-"+url.PathEscape(name)+"-out.json")}
}

var errTooManyDetached = errors.New("too many backends are out by hand")

// record stores that a backend has been detached or attached again. The file is replaced as a whole, so
// that an interrupted write can't lose its earlier content.
func (d *detachedFile) record(id string, detached bool) error {
	if d.path == "" {
		return nil
	}
	lock, err := os.OpenFile(d.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("backends out by hand: lock: %w", err)
	}
	ids, err := d.read()
	if err != nil {
		return err
	}
	if _, recorded := ids[id]; recorded == detached {
		return nil
	}
	if detached && len(ids) >= maxDetached {
		return errTooManyDetached
	}
	if delete(ids, id); detached {
		ids[id] = struct{}{}
	}
	text, err := json.Marshal(struct {
		Out []string `json:"out"`
	}{slices.Sorted(maps.Keys(ids))})
	if err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	if err := files.Replace(d.path, text, 0o600); err != nil {
		return fmt.Errorf("backends out by hand: %w", err)
	}
	return nil
}

// read returns the IDs in the file, or none if it does not exist.
func (d *detachedFile) read() (map[string]struct{}, error) {
	ids := map[string]struct{}{}
	f, err := os.Open(d.path)
	if errors.Is(err, os.ErrNotExist) {
		return ids, nil
	}
	if err != nil {
		return nil, fmt.Errorf("backends out by hand: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxDetachedFile))
	if err != nil {
		return nil, fmt.Errorf("backends out by hand: %w", err)
	}
	var content struct{ Out []string }
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("backends out by hand: %s: %w", d.path, err)
	}
	for _, id := range content.Out {
		ids[strings.Clone(id)] = struct{}{}
	}
	return ids, nil
}

// readIfChanged reads the file if it has been replaced since the last call.
func (d *detachedFile) readIfChanged() (ids map[string]struct{}, changed bool, err error) {
	if d.path == "" {
		return nil, false, nil
	}
	info, err := os.Stat(d.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("backends out by hand: %w", err)
	}
	if d.lastInfo != nil && os.SameFile(d.lastInfo, info) && d.lastInfo.ModTime().Equal(info.ModTime()) {
		return nil, false, nil
	}
	d.lastInfo = info
	ids, err = d.read()
	return ids, err == nil, err
}
