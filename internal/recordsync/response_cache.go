package recordsync

import (
	"slices"
	"sync"

	"elderyard/records"
)

// maxCachedResponses is how many encoded answers are kept.
const maxCachedResponses = 4

// responseCache keeps the answers that were encoded last. A change wakes hundreds
// of followers at one version, which are all told the same.
type responseCache struct {
	mu      sync.Mutex
	entries []cachedResponse // newest last
}

type cachedResponse struct {
	since  uint64
	to     uint64
	digest records.Digest // of the content at to
	data   []byte
}

// encode returns the answer in the wire's form. An answer's delta is decided by
// the versions that it leads from and to, and by the content there.
func (e *responseCache) encode(request records.ChangesRequest, answer records.ChangesResponse) ([]byte, error) {
	if answer.Delta == nil {
		return records.EncodeChangesResponse(answer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.entries {
		if kept.since == request.Since && kept.to == answer.Version && kept.digest == answer.Digest {
			return kept.data, nil
		}
	}
	data, err := records.EncodeChangesResponse(answer)
	if err != nil {
		return nil, err
	}
	e.entries = append(e.entries, cachedResponse{since: request.Since, to: answer.Version, digest: answer.Digest, data: data})
	if len(e.entries) > maxCachedResponses {
		e.entries = slices.Delete(e.entries, 0, 1)
	}
	return data, nil
}
