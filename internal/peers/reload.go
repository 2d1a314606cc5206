package peers

import (
	"fmt"
	"os"
	"time"

	"elderyard/members"
)

// fileWatch detects changes of a file by its size and modification time.
type fileWatch struct {
	size      int64
	modified  time.Time
	lastError string // of the last reload; "" if it succeeded
}

// changed reports whether the file has changed since the last call. If the file can't be examined, it reports true
// until an error is recorded, so that the error is logged once.
func (f *fileWatch) changed(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return f.lastError == ""
	}
	if info.Size() == f.size && info.ModTime().Equal(f.modified) {
		return false
	}
	f.size, f.modified = info.Size(), info.ModTime()
	return true
}

// recordError records the result of a reload.
func (f *fileWatch) recordError(err error) {
	f.lastError = ""
	if err != nil {
		f.lastError = err.Error()
	}
}

// reloadKeys reads the key file if it has changed. If that fails, the previous keys stay in use.
func (p *Peers) reloadKeys() {
	if !p.keyFile.changed(p.settings.KeyFile) {
		return
	}
	keys, err := readKeys(p.settings.KeyFile)
	if err == nil {
		err = updateKeyring(p.keyring, keys)
	}
	p.keyFile.recordError(err)
	if err != nil {
		p.settings.Log.Warn("peers: reloading the keys failed; the previous ones stay in use", "error", err)
		return
	}
	p.settings.Log.Info("peers: reloaded the keys", "file", p.settings.KeyFile, "keys", len(keys))
}

// reloadRoster reads the roster file if it has changed. If that fails, or if the file has an older roster or a
// different one of the same epoch, the previous roster stays in use.
func (p *Peers) reloadRoster() {
	if !p.rosterFile.changed(p.settings.RosterFile) {
		return
	}
	roster, err := readRoster(p.settings.RosterFile)
	if current := p.machine.Roster(); err == nil && roster.Epoch < current.Epoch {
		err = fmt.Errorf("%s: epoch %d is older than epoch %d, which is in use", p.settings.RosterFile, roster.Epoch, current.Epoch)
	} else if err == nil && roster.Epoch == current.Epoch && roster.Sum() != current.Sum() {
		err = fmt.Errorf("%s: it differs from the roster of epoch %d that is in use; a change needs a higher epoch", p.settings.RosterFile, roster.Epoch)
	}
	p.rosterFile.recordError(err)
	if err != nil {
		p.settings.Log.Warn("peers: reloading the roster failed; the previous one stays in use", "error", err)
		return
	}
	p.handle(members.RosterReceived{Roster: roster, By: p.settings.RosterFile})
}
