package revisions

import (
	"encoding/json"
	"errors"
	"fmt"
)

// snapshot is the encoded form of a History.
type snapshot struct {
	Version   int            `json:"form"`
	Revisions []Revision     `json:"revisions"`
	Results   []storedResult `json:"answered"`
}

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// Snapshot encodes the complete history. Equal histories have equal encodings.
func (h *History) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{snapshotVersion, h.revisions, h.results})
}

// Restore replaces the history with one that Snapshot encoded. It returns an error and changes nothing if the snapshot
// is truncated, altered, out of order or exceeds the limits.
func (h *History) Restore(text []byte) error {
	var stored snapshot
	if err := json.Unmarshal(text, &stored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if stored.Version != snapshotVersion {
		return fmt.Errorf("snapshot: form %d is not known, %d is", stored.Version, snapshotVersion)
	}
	if len(stored.Revisions) > MaxRevisions || len(stored.Results) > MaxResults {
		return errors.New("snapshot: more than a history keeps")
	}
	for i, r := range stored.Revisions {
		switch {
		case r.Number == 0 || r.Parent != r.Number-1 || i > 0 && r.Number != stored.Revisions[i-1].Number+1:
			return fmt.Errorf("snapshot: revision %d does not follow the one before", r.Number)
		case r.Checksum != r.Content.Checksum():
			return fmt.Errorf("snapshot: revision %d does not fit its checksum", r.Number)
		}
	}
	h.revisions, h.results = stored.Revisions, stored.Results
	return nil
}
