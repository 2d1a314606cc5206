package revisions

import (
	"cmp"
	"slices"
)

// History is the latest revisions and the results of the latest commands, within the bounds of this package. It is not safe
// for concurrent use. The zero value is the history of a new site.
type History struct {
	revisions []Revision      // by number, without gaps; the last is the head
	results   []requestResult // the oldest first
}

// requestResult is the result of an earlier command. It must outlive the command's retries: otherwise an operator whose
// response was lost would create a second revision by the same request.
type requestResult struct {
	Request string `json:"request"`
	Status  Status `json:"answer"`
	Number  uint64 `json:"number"` // of the result's revision; 0: none
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

// List returns the history, the newest first.
func (h *History) List() []Revision {
	list := slices.Clone(h.revisions)
	slices.Reverse(list)
	return list
}

// HasResult reports whether the command of a request has been applied and is remembered.
func (h *History) HasResult(request string) bool {
	return slices.ContainsFunc(h.results, func(r requestResult) bool { return r.Request == request })
}

// Apply applies a command. It is a compare-and-swap on the parent: of two commands that were made from the same revision,
// the second changes nothing and its result is Conflict. A repeat of a command gets the first one's result again. The error
// is that of Command.Check, and nothing has changed then.
func (h *History) Apply(command Command) (Result, error) {
	if err := command.Check(); err != nil {
		return Result{}, err
	}
	if result, found := h.earlierResult(command.IdempotencyKey); found {
		return result, nil
	}
	result := h.apply(command)
	h.recordResult(command.IdempotencyKey, result)
	return result, nil
}

// earlierResult returns the result of a request that has been applied. Its revision may have been dropped since, and then
// only the number is left.
func (h *History) earlierResult(request string) (Result, bool) {
	i := slices.IndexFunc(h.results, func(r requestResult) bool { return r.Request == request })
	if i < 0 {
		return Result{}, false
	}
	revision, _ := h.Get(h.results[i].Number)
	revision.Number = h.results[i].Number
	return Result{h.results[i].Status, revision}, true
}

// apply applies a valid command that has no result yet.
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

// truncate drops the oldest revisions beyond the bounds. The head and the one before it stay, whatever their size.
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

func (h *History) recordResult(request string, result Result) {
	h.results = append(h.results, requestResult{request, result.Status, result.Revision.Number})
	if over := len(h.results) - MaxResults; over > 0 {
		h.results = slices.Delete(h.results, 0, over)
	}
}
