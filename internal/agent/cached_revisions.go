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

// fetchRevision returns an ordered revision from the cache, the store or the leader. It
// caches the revision on disk, so that the agent can start without a leader. It returns an
// error if the revision could not be fetched; a failure to write the file is only logged.
func (a *Agent) fetchRevision(ctx context.Context, order agentapi.Order) (revision revisions.Revision, err error) {
	number := order.Revision
	a.mu.Lock()
	revision, found := a.cachedRevisions[number]
	a.mu.Unlock()
	if found && revision.Checksum == order.Checksum {
		return revision, nil
	}
	found = false
	if a.store != nil {
		a.store.View(func(s *fleet.State) { revision, found = s.Revision(number) })
	}
	if !found {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := a.callLeader(ctx, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", number), nil, &revision); err != nil {
			return revision, err
		}
	}
	if revision.Number != number || revision.Checksum != revision.Content.Checksum() || revision.Checksum != order.Checksum {
		return revision, fmt.Errorf("received revision %d does not match its order or its checksum", number)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cachedRevisions[number] = revision
	for len(a.cachedRevisions) > maxCachedRevisions {
		oldest := number
		for n := range a.cachedRevisions {
			if n < oldest && !a.revisionInUse(n) {
				oldest = n
			}
		}
		if oldest == number {
			break
		}
		delete(a.cachedRevisions, oldest)
	}
	text, err := json.Marshal(a.cachedRevisions)
	if err == nil {
		err = files.Replace(filepath.Join(a.config.Dir, revisionsFile), text, 0o600)
	}
	if err != nil {
		a.log.Error("failed to cache revisions; a restart without a leader may lack them", "error", err)
	}
	return revision, nil
}

// revisionInUse reports whether an instance of this agent runs a revision or has it as its
// desired state.
func (a *Agent) revisionInUse(number uint64) bool {
	for _, p := range a.processes {
		s := p.State().Status
		for _, spec := range []*supervise.Spec{s.Running, s.Desired} {
			if spec != nil && spec.Revision == number {
				return true
			}
		}
	}
	return false
}

// loadCachedRevisions reads the cache file and drops each revision that does not match its
// checksum.
func (a *Agent) loadCachedRevisions() {
	path := filepath.Join(a.config.Dir, revisionsFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &a.cachedRevisions)
	}
	for n, r := range a.cachedRevisions {
		if r.Number != n || r.Checksum != r.Content.Checksum() {
			delete(a.cachedRevisions, n)
			err = fmt.Errorf("revision %d does not match its number or checksum", n)
		}
	}
	if err != nil {
		a.log.Warn("failed to read some cached revisions; they will be fetched again", "file", path, "error", err)
	}
	if a.cachedRevisions == nil {
		a.cachedRevisions = map[uint64]revisions.Revision{}
	}
}
