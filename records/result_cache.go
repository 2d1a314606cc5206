package records

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// resultCache has the results of the newest MaxCachedResults changes with an idempotency key. It is part of a store's
// replicated state: every store evicts the same result at the same version.
type resultCache struct {
	order []string // idempotency keys, oldest first
	byKey map[string]cachedResult
}

// cachedResult is the result of a change with an idempotency key.
type cachedResult struct {
	IdempotencyKey string   `json:"request"`
	ChangeHash     [16]byte `json:"content"`
	Result         Result   `json:"result"`
}

// validIdempotencyKey reports whether results are cached under the key.
func validIdempotencyKey(key string) bool {
	return key != "" && len(key) <= MaxNameBytes && utf8.ValidString(key)
}

// lookup returns the cached result of a key, and whether there is one. If the key was used for another change, which
// is the client's error, the result is Invalid.
func (c *resultCache) lookup(key string, changeHash [16]byte) (Result, bool) {
	cached, found := c.byKey[key]
	if !found {
		return Result{}, false
	}
	if cached.ChangeHash != changeHash {
		reason := fmt.Sprintf("%q has been used for another change", key)
		return Result{Status: Invalid, Version: cached.Result.Version, Problem: &Problem{Field: "request", Reason: reason}}, true
	}
	return cached.Result, true
}

// add caches a result, and evicts the oldest one if the cache is full.
func (c *resultCache) add(cached cachedResult) {
	if c.byKey == nil {
		c.byKey = map[string]cachedResult{}
	}
	if len(c.order) == MaxCachedResults {
		delete(c.byKey, c.order[0])
		c.order = slices.Delete(c.order, 0, 1)
	}
	c.order = append(c.order, cached.IdempotencyKey)
	c.byKey[cached.IdempotencyKey] = cached
}

// list returns the cached results, oldest first.
func (c *resultCache) list() []cachedResult {
	list := make([]cachedResult, 0, len(c.order))
	for _, key := range c.order {
		list = append(list, c.byKey[key])
	}
	return list
}

// changeHash returns a hash of all fields of a change except for the time, which may differ between attempts.
func changeHash(change Change) [16]byte {
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
