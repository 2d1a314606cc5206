package revisions

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// History is the revisions that are kept, and the answers that were given. It
// belongs to one goroutine; the zero value is that of a new site.
type History struct {
	revisions []Revision      // by number, without gaps; the last is the head
	results   []requestResult // the oldest first
}

// requestResult is a request that has its answer. Danger: an operator whose answer
// was lost asks again, and must not make a second revision.
type requestResult struct {
	Request string `json:"request"`
	Status  Status `json:"answer"`
	Number  uint64 `json:"number"` // of the revision that the answer is about; 0: none
}

// Head returns the newest revision, and false for a new site.
func (h *History) Head() (Revision, bool) {
	if len(h.revisions) == 0 {
		return Revision{}, false
	}
	return h.revisions[len(h.revisions)-1], true
}

// Get returns a revision of the history.
func (h *History) Get(number uint64) (Revision, bool) {
	i, found := slices.BinarySearchFunc(h.revisions, number, func(r Revision, n uint64) int { return cmp.Compare(r.Number, n) })
	if !found {
		return Revision{}, false
	}
	return h.revisions[i], true
}

// List returns the history, the newest first.
func (h *History) List() []Revision {
	list := slices.Clone(h.revisions)
	slices.Reverse(list)
	return list
}

// HasResult tells whether a command has its answer.
func (h *History) HasResult(request string) bool {
	return slices.ContainsFunc(h.results, func(a requestResult) bool { return a.Request == request })
}

// Apply carries a command out. It is a compare-and-swap on the parent: of two
// commands that were made from one revision, the second changes nothing and is
// told of the first. A repeat of a command that has its answer gets it again. An
// error is of a command that should not have passed Check; it changes nothing.
func (h *History) Apply(c Command) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, err
	}
	if i := slices.IndexFunc(h.results, func(a requestResult) bool { return a.Request == c.Request }); i >= 0 {
		r, _ := h.Get(h.results[i].Number) // it may have left the history; its number is told all the same
		r.Number = h.results[i].Number
		return Result{h.results[i].Status, r}, nil
	}
	head, _ := h.Head()
	content := Content{}
	if c.Content != nil {
		content = *c.Content
	}
	if c.Restore != 0 {
		restored, found := h.Get(c.Restore)
		if !found && c.Parent == head.Number {
			return h.recordResult(c, Result{UnknownRevision, head}), nil
		}
		content = restored.Content
	}
	if c.Parent != head.Number {
		return h.recordResult(c, Result{Conflict, head}), nil
	}
	sum := content.Sum()
	if len(h.revisions) > 0 && sum == head.Checksum {
		return h.recordResult(c, Result{Unchanged, head}), nil
	}
	r := Revision{Number: head.Number + 1, Parent: head.Number, Content: content, Checksum: sum, Author: c.Author, Message: c.Message, At: c.At}
	h.revisions = append(h.revisions, r)
	h.truncate()
	return h.recordResult(c, Result{Accepted, r}), nil
}

// truncate drops the oldest revisions, and leaves the head and the one before it.
func (h *History) truncate() {
	total, first := 0, len(h.revisions)
	for first > 0 {
		total += h.revisions[first-1].Content.size()
		if n := len(h.revisions) - first + 1; n > MaxRevisions || n > 2 && total > MaxHistoryBytes {
			break
		}
		first--
	}
	h.revisions = slices.Delete(h.revisions, 0, first)
}

func (h *History) recordResult(c Command, r Result) Result {
	h.results = append(h.results, requestResult{c.Request, r.Status, r.Revision.Number})
	if over := len(h.results) - MaxRequests; over > 0 {
		h.results = slices.Delete(h.results, 0, over)
	}
	return r
}

// snapshot is a history as it is stored.
type snapshot struct {
	Version   int             `json:"form"`
	Revisions []Revision      `json:"revisions"`
	Results   []requestResult `json:"answered"`
}

const snapshotVersion = 1

// Snapshot writes the whole history.
func (h *History) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{snapshotVersion, h.revisions, h.results})
}

// Restore reads what Snapshot wrote in place of this history. What is cut short,
// changed or out of order is refused with what is wrong, and this history stays.
func (h *History) Restore(text []byte) error {
	var s snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("snapshot: form %d is not known, %d is", s.Version, snapshotVersion)
	}
	if len(s.Revisions) > MaxRevisions || len(s.Results) > MaxRequests {
		return errors.New("snapshot: more than a history keeps")
	}
	for i, r := range s.Revisions {
		switch {
		case r.Number == 0 || r.Parent != r.Number-1 || i > 0 && r.Number != s.Revisions[i-1].Number+1:
			return fmt.Errorf("snapshot: revision %d does not follow the one before", r.Number)
		case r.Checksum != r.Content.Sum():
			return fmt.Errorf("snapshot: revision %d does not fit its checksum", r.Number)
		}
	}
	h.revisions, h.results = s.Revisions, s.Results
	return nil
}
