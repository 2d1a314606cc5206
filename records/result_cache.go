package records

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// resultCache remembers the results of the newest requests, oldest first.
type resultCache struct {
	order []string
	byKey map[string]cachedResult
}

// cachedResult is what a request was answered, and what it had asked for.
type cachedResult struct {
	IdempotencyKey string   `json:"request"`
	Content        [16]byte `json:"content"` // hash of the change
	Result         Result   `json:"result"`
}

// validIdempotencyKey tells whether a request key is one that a change may have.
func validIdempotencyKey(request string) bool {
	return request != "" && len(request) <= MaxNameBytes && utf8.ValidString(request)
}

// lookup returns the result of a request that is remembered. The same key with
// another content is a mistake of the caller.
func (l *resultCache) lookup(request string, content [16]byte) (Result, bool) {
	remembered, found := l.byKey[request]
	if !found {
		return Result{}, false
	}
	if remembered.Content != content {
		reason := fmt.Sprintf("%q has been used for another change", request)
		return Result{Status: Invalid, Version: remembered.Result.Version, Problem: &Problem{Field: "request", Reason: reason}}, true
	}
	return remembered.Result, true
}

func (l *resultCache) add(remembered cachedResult) {
	if l.byKey == nil {
		l.byKey = map[string]cachedResult{}
	}
	if len(l.order) == MaxRequests {
		delete(l.byKey, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
	l.order = append(l.order, remembered.IdempotencyKey)
	l.byKey[remembered.IdempotencyKey] = remembered
}

// list returns what is remembered, oldest first.
func (l *resultCache) list() []cachedResult {
	list := make([]cachedResult, 0, len(l.order))
	for _, request := range l.order {
		list = append(list, l.byKey[request])
	}
	return list
}

// contentHash identifies what a change asks for. The time is left out: a repeat
// may be stamped anew.
func contentHash(change Change) [16]byte {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q", change.Author, change.Message)
	for _, operation := range change.Operations {
		condition := "any"
		if operation.IfVersion != nil {
			condition = strconv.FormatUint(*operation.IfVersion, 10)
		}
		fmt.Fprintf(hash, "\n%q %t %s %q", operation.Key.String(), operation.Delete, condition, operation.Value)
	}
	return [16]byte(hash.Sum(nil))
}
