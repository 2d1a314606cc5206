package records

import (
	"errors"
	"fmt"
	"time"
)

// MaxWait is how long a server holds a request for changes open at most.
const MaxWait = 10 * time.Second

// ChangesRequest asks a server for the changes above a version.
type ChangesRequest struct {
	Since  uint64
	Digest *Digest       // of the asker's content at Since; nil: not checked
	Wait   time.Duration // how long to wait if there are none, at most MaxWait
}

// RepairReason is why a server cannot give changes.
type RepairReason string

// The reasons for a repair by ranges.
const (
	RepairCompacted RepairReason = "compacted" // the log does not go back so far
	RepairDigest    RepairReason = "digest"    // the asker's content is not what the server had at that version
	RepairTooLarge  RepairReason = "too_large" // the changes are over the bound of an answer
)

// ChangesResponse is a server's answer to a ChangesRequest. At most one of Delta, Repair and
// Behind is set; none: there is nothing new.
type ChangesResponse struct {
	Version uint64       `json:"version"` // the server's
	Digest  Digest       `json:"digest"`  // of the server's content
	Delta   *Delta       `json:"delta,omitempty"`
	Repair  RepairReason `json:"repair,omitempty"`
	Behind  bool         `json:"behind,omitempty"` // the server has not come to the asker's version
}

// NothingNew tells whether the asker has all that the server has: the server may
// wait for a change before it answers.
func (a ChangesResponse) NothingNew() bool { return a.Delta == nil && a.Repair == "" && !a.Behind }

// HandleChanges answers a request from the store's present state.
func (s *Store) HandleChanges(request ChangesRequest) ChangesResponse {
	answer := ChangesResponse{Version: s.version, Digest: s.Digest()}
	delta, err := s.ChangesSince(request.Since)
	switch {
	case errors.Is(err, ErrFuture):
		answer.Behind = true
	case err != nil:
		answer.Repair = RepairCompacted
	case !s.digestFits(request):
		answer.Repair = RepairDigest
	case delta.Size() > MaxDeltaBytes:
		answer.Repair = RepairTooLarge
	case delta.To > delta.From:
		answer.Delta = &delta
	}
	return answer
}

func (s *Store) digestFits(request ChangesRequest) bool {
	if request.Digest == nil {
		return true
	}
	digest, found := s.DigestAt(request.Since)
	return found && digest == *request.Digest
}

// validate returns what is contradictory in an answer.
func (a ChangesResponse) validate() error {
	if a.Digest == (Digest{}) {
		return errNoDigest
	}
	set := 0
	for _, each := range []bool{a.Delta != nil, a.Repair != "", a.Behind} {
		if each {
			set++
		}
	}
	if set > 1 {
		return errors.New("more than one of delta, repair and behind is set")
	}
	switch a.Repair {
	case "", RepairCompacted, RepairDigest, RepairTooLarge:
	default:
		return fmt.Errorf("unknown reason for a repair %.32q", a.Repair)
	}
	if a.Delta == nil {
		return nil
	}
	if a.Delta.To != a.Version || a.Delta.Digest != a.Digest {
		return fmt.Errorf("the delta leads to version %d, the answer says %d", a.Delta.To, a.Version)
	}
	return a.Delta.validate()
}
