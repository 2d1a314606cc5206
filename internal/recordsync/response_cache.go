package recordsync

import (
	"slices"
	"sync"

	"elderyard/records"
)

// maxCachedResponses is the number of encoded responses that are cached.
const maxCachedResponses = 4

// responseCache caches the latest encoded responses. A change wakes hundreds of followers that are
// at the same version and receive the same response. It is safe for concurrent use.
type responseCache struct {
	mu      sync.Mutex
	entries []cachedResponse // oldest first
}

// cachedResponse is an encoded response with a delta.
type cachedResponse struct {
	since  uint64         // version of the request
	to     uint64         // version of the response
	digest records.Digest // of the content at version to
	data   []byte
}

// encode returns the encoded response. Only responses with a delta are cached: the delta is
// determined by the versions before and after it, and by the digest of the latter. The lock is held
// during the encoding, so that followers that are woken together wait for one encoding instead of
// each performing it.
func (c *responseCache) encode(request records.ChangesRequest, response records.ChangesResponse) ([]byte, error) {
	if response.Delta == nil {
		return records.EncodeChangesResponse(response)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cached := range c.entries {
		if cached.since == request.Since && cached.to == response.Version && cached.digest == response.Digest {
			return cached.data, nil
		}
	}
	data, err := records.EncodeChangesResponse(response)
	if err != nil {
		return nil, err
	}
	c.entries = append(c.entries, cachedResponse{since: request.Since, to: response.Version, digest: response.Digest, data: data})
	if len(c.entries) > maxCachedResponses {
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	return data, nil
}
