package records

import (
	"errors"
	"fmt"
	"time"
)

// MaxWait is the longest time that a server holds a request for changes open.
const MaxWait = 10 * time.Second

// ChangesRequest requests the changes above a version.
type ChangesRequest struct {
	Since  uint64
	Digest *Digest       // of the replica's content at Since; nil disables the check
	Wait   time.Duration // long poll: how long the server waits for a change if there is none; at most MaxWait
}

// RepairReason states why a server cannot send changes.
type RepairReason string

// The reasons for a repair.
const (
	RepairCompacted RepairReason = "compacted" // the log does not reach back to the version
	RepairDigest    RepairReason = "digest"    // the replica's content is not what the server had at that version
	RepairTooLarge  RepairReason = "too_large" // the changes exceed MaxDeltaBytes
)

// ChangesResponse is a server's response to a ChangesRequest. At most one of Delta, Repair
// and Behind is set; if none is, the replica is at the server's version.
type ChangesResponse struct {
	Version uint64       `json:"version"` // the server's
	Digest  Digest       `json:"digest"`  // of the server's content
	Delta   *Delta       `json:"delta,omitempty"`
	Repair  RepairReason `json:"repair,omitempty"`
	Behind  bool         `json:"behind,omitempty"` // the server is below the requested version
}

// UpToDate reports whether the replica is at the server's version, so that the server may
// wait for a change before it responds.
func (r ChangesResponse) UpToDate() bool { return r.Delta == nil && r.Repair == "" && !r.Behind }

// HandleChanges returns the response to a request from the store's current state. It does not wait: a caller that
// implements long polling calls it again after the next change.
func (s *Store) HandleChanges(request ChangesRequest) ChangesResponse {
	response := ChangesResponse{Version: s.version, Digest: s.Digest()}
	delta, err := s.ChangesSince(request.Since)
	switch {
	case errors.Is(err, ErrFuture):
		response.Behind = true
	case err != nil:
		response.Repair = RepairCompacted
	case !s.digestMatches(request):
		response.Repair = RepairDigest
	case delta.Size() > MaxDeltaBytes:
		response.Repair = RepairTooLarge
	case delta.To > delta.From:
		response.Delta = &delta
	}
	return response
}

// digestMatches reports whether the store had the request's digest at the request's version.
func (s *Store) digestMatches(request ChangesRequest) bool {
	if request.Digest == nil {
		return true
	}
	digest, found := s.DigestAt(request.Since)
	return found && digest == *request.Digest
}

// validate implements validator.
func (r ChangesResponse) validate() error {
	if r.Digest == (Digest{}) {
		return errNoDigest
	}
	count := 0
	for _, set := range []bool{r.Delta != nil, r.Repair != "", r.Behind} {
		if set {
			count++
		}
	}
	if count > 1 {
		return errors.New("more than one of delta, repair and behind is set")
	}
	switch r.Repair {
	case "", RepairCompacted, RepairDigest, RepairTooLarge:
	default:
		return fmt.Errorf("unknown reason for a repair %.32q", r.Repair)
	}
	if r.Delta == nil {
		return nil
	}
	if r.Delta.To != r.Version || r.Delta.Digest != r.Digest {
		return fmt.Errorf("the delta leads to version %d, the answer says %d", r.Delta.To, r.Version)
	}
	return r.Delta.validate()
}
