package recordsync

import (
	"slices"
	"sync"

	"elderyard/records"
)

// maxEncoded is how many encoded answers are kept.
const maxEncoded = 4

// encodedAnswers keeps the answers that were encoded last. A change wakes hundreds
// of followers at one version, which are all told the same.
type encodedAnswers struct {
	mu   sync.Mutex
	list []encodedAnswer // newest last
}

type encodedAnswer struct {
	since  uint64
	to     uint64
	digest records.Digest // of the content at to
	data   []byte
}

// encode returns the answer in the wire's form. An answer's delta is decided by
// the versions that it leads from and to, and by the content there.
func (e *encodedAnswers) encode(request records.ChangesRequest, answer records.Answer) ([]byte, error) {
	if answer.Delta == nil {
		return records.EncodeAnswer(answer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.list {
		if kept.since == request.Since && kept.to == answer.Version && kept.digest == answer.Digest {
			return kept.data, nil
		}
	}
	data, err := records.EncodeAnswer(answer)
	if err != nil {
		return nil, err
	}
	e.list = append(e.list, encodedAnswer{since: request.Since, to: answer.Version, digest: answer.Digest, data: data})
	if len(e.list) > maxEncoded {
		e.list = slices.Delete(e.list, 0, 1)
	}
	return data, nil
}
