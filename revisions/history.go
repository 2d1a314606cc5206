package revisions

import (
	"cmp"
	"slices"
)

// History contains the latest revisions and the results of the latest commands, within the limits of this package. It
// is not safe for concurrent use. The zero value is the history of a new site.
type History struct {
	revisions []Revision     // by number, without gaps; the last one is the head
	results   []storedResult // oldest first
}

// storedResult is the result of an earlier command. It must be kept for longer than the command may be retried:
// otherwise an operator whose response was lost would create a second revision by repeating the command.
type storedResult struct {
	IdempotencyKey string `json:"request"`
	Status         Status `json:"answer"`
	Number         uint64 `json:"number"` // number of the result's revision; 0: none
}

// Head returns the newest revision, and false for a new site.
func (h *History) Head() (Revision, bool) {
	if len(h.revisions) == 0 {
		return Revision{}, false
	}
	return h.revisions[len(h.revisions)-1], true
}

// Get returns a revision by its number, and false if it is not in the history.
func (h *History) Get(number uint64) (Revision, bool) {
	i, found := slices.BinarySearchFunc(h.revisions, number, func(r Revision, n uint64) int { return cmp.Compare(r.Number, n) })
	if !found {
		return Revision{}, false
	}
	return h.revisions[i], true
}

// List returns the history, newest first.
func (h *History) List() []Revision {
	newestFirst := slices.Clone(h.revisions)
	slices.Reverse(newestFirst)
	return newestFirst
}

// HasResult reports whether the result of the command with an idempotency key is stored.
func (h *History) HasResult(idempotencyKey string) bool {
	return slices.ContainsFunc(h.results, func(r storedResult) bool { return r.IdempotencyKey == idempotencyKey })
}

// Apply applies a command. It is a compare-and-swap on the parent: of two commands that are based on the same revision,
// the second changes nothing and its result is Conflict. A repeated command returns the result of the first one. The
// error is that of Command.Check, and nothing has changed then.
func (h *History) Apply(command Command) (Result, error) {
	if err := command.Check(); err != nil {
		return Result{}, err
	}
	if result, found := h.earlierResult(command.IdempotencyKey); found {
		return result, nil
	}
	result := h.apply(command)
	h.storeResult(command.IdempotencyKey, result)
	return result, nil
}

// earlierResult returns the stored result of the command with an idempotency key. If the history has dropped the
// result's revision since, only the number of that revision is set.
func (h *History) earlierResult(idempotencyKey string) (Result, bool) {
	i := slices.IndexFunc(h.results, func(r storedResult) bool { return r.IdempotencyKey == idempotencyKey })
	if i < 0 {
		return Result{}, false
	}
	revision, _ := h.Get(h.results[i].Number)
	revision.Number = h.results[i].Number
	return Result{h.results[i].Status, revision}, true
}

// apply applies a valid command that has not been applied before.
func (h *History) apply(command Command) Result {
	head, _ := h.Head()
	if command.Parent != head.Number {
		return Result{Conflict, head}
	}
	var content Content
	if command.Content != nil {
		content = *command.Content
	}
	if command.Restore != 0 {
		restored, found := h.Get(command.Restore)
		if !found {
			return Result{UnknownRevision, head}
		}
		content = restored.Content
	}
	sum := content.Checksum()
	if len(h.revisions) > 0 && sum == head.Checksum {
		return Result{Unchanged, head}
	}
	next := Revision{Number: head.Number + 1, Parent: head.Number, Content: content, Checksum: sum,
		Author: command.Author, Message: command.Message, At: command.At}
	h.revisions = append(h.revisions, next)
	h.truncate()
	return Result{Accepted, next}
}

// truncate drops the oldest revisions beyond the limits. The head and the revision before it are kept regardless of
// their size.
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

// storeResult stores the result of a command, and drops the oldest one beyond MaxResults.
func (h *History) storeResult(idempotencyKey string, result Result) {
	h.results = append(h.results, storedResult{idempotencyKey, result.Status, result.Revision.Number})
	if over := len(h.results) - MaxResults; over > 0 {
		h.results = slices.Delete(h.results, 0, over)
	}
}
