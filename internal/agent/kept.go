package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/files"
	"elderyard/revisions"
	"elderyard/supervise"
)

// fetch gets a revision, and keeps it on disk for a day without a leader.
func (a *Agent) fetch(ctx context.Context, o agentapi.Order) (r revisions.Revision, err error) {
	number := o.Revision
	a.mu.Lock()
	r, found := a.kept[number]
	a.mu.Unlock()
	if found && r.Checksum == o.Checksum {
		return r, nil
	}
	found = false
	if a.store != nil {
		a.store.View(func(s *fleet.State) { r, found = s.Revision(number) })
	}
	if !found {
		ctx, cancel := context.WithTimeout(ctx, reportLimit)
		defer cancel()
		if err := a.callLeader(ctx, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", number), nil, &r); err != nil {
			return r, err
		}
	}
	if r.Number != number || r.Checksum != r.Content.Sum() || r.Checksum != o.Checksum {
		return r, fmt.Errorf("revision %d came damaged", number)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept[number] = r
	for len(a.kept) > mostKept {
		least := number
		for n := range a.kept {
			if n < least && !a.used(n) {
				least = n
			}
		}
		if least == number {
			break
		}
		delete(a.kept, least)
	}
	text, err := json.Marshal(a.kept)
	if err == nil {
		err = files.Replace(filepath.Join(a.config.Dir, lastFile), text, 0o600)
	}
	if err != nil {
		a.log.Error("revisions can't be kept for a start without a leader", "error", err)
	}
	return r, nil
}

// used tells whether an instance here runs a revision.
func (a *Agent) used(number uint64) bool {
	for _, p := range a.processes {
		s := p.peek().status
		for _, spec := range []*supervise.Spec{s.Running, s.Wanted} {
			if spec != nil && spec.Revision == number {
				return true
			}
		}
	}
	return false
}

func (a *Agent) loadKept() {
	path := filepath.Join(a.config.Dir, lastFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &a.kept)
	}
	for n, r := range a.kept {
		if r.Number != n || r.Checksum != r.Content.Sum() {
			delete(a.kept, n)
			err = fmt.Errorf("revision %d does not fit its checksum", n)
		}
	}
	if err != nil {
		a.log.Warn("kept revisions can't all be read; they are fetched again", "file", path, "error", err)
	}
	if a.kept == nil {
		a.kept = map[uint64]revisions.Revision{}
	}
}
