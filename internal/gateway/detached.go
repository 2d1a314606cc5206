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
	detachedPollInterval = 200 * time.Millisecond // between looks for what the other process of an upgrade has noted
	maxDetachedFile      = 1 << 20                // bytes of the file
	maxDetached          = 1024                   // backends out by hand
)

// handBook keeps on disk which backends are out by hand, so that an upgrade's
// new process leaves them out too. Both processes may be called while both run:
// each writes under a lock and follows what the other wrote. Without a folder
// nothing is kept.
type detachedFile struct {
	path     string // empty: no folder
	lastInfo os.FileInfo
}

// newHandBook keeps its file in folder, under the gateway's name.
func newDetachedFile(dir, name string) *detachedFile {
	if dir == "" {
		return &detachedFile{}
	}
	return &detachedFile{path: filepath.Join(dir, "elderyard-"+url.PathEscape(name)+"-out.json")}
}

var errTooManyDetached = errors.New("too many backends are out by hand")

// note writes down that a backend is out, or in again. Danger: a write that is cut
// short must not cost what stood there, so the file is replaced whole.
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

// read returns the ids in the file; none where there is no file.
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

// changed reads the file if it has been replaced since the last look.
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
