package records

import (
	"errors"
	"fmt"
)

// RepairStep is what a repair needs next from a server.
type RepairStep int

// The steps of a repair.
const (
	NeedDigests RepairStep = iota // for CompareDigests
	NeedContent                   // for StageChunk, of the ranges that Pending returns
	NeedChanges                   // for Finish, the changes above Since
)

// Repair builds a new copy of a replica's content from hash ranges while the replica stays unchanged (anti-entropy).
// The ranges may come in any number of chunks, at different versions, from different servers. The changes above the
// lowest of these versions bring all ranges to one version. The result replaces the replica's content only if it has
// the server's digest at that version.
//
// The caller performs the step that Next returns until Finish succeeds.
type Repair struct {
	base         uint64 // the replica's version when the repair began
	staged       *draft
	versions     [RangeCount]uint64 // version at which a server had the staged content of each range
	pending      [RangeCount]bool   // ranges whose content is to be fetched
	pendingCount int                // how many ranges are pending
	compared     bool               // with a server's digests
	fetched      int                // how many ranges have been staged from chunks
}

// NewRepair returns a repair that starts with the replica's content. If the replica is empty, no digests are needed:
// every range is pending.
func NewRepair(replica *Replica) *Repair {
	repair := &Repair{base: replica.Version(), staged: replica.current().edit()}
	if replica.Len() == 0 {
		repair.compared = true
		for i := range repair.pending {
			repair.markPending(i)
		}
	}
	return repair
}

// markPending marks a range as pending.
func (r *Repair) markPending(index int) {
	if !r.pending[index] {
		r.pending[index] = true
		r.pendingCount++
	}
}

// markCurrent records that a server has the staged content of a range at the version.
func (r *Repair) markCurrent(index int, version uint64) {
	if r.pending[index] {
		r.pending[index] = false
		r.pendingCount--
	}
	r.versions[index] = version
}

// Next returns what the repair needs next.
func (r *Repair) Next() RepairStep {
	switch {
	case !r.compared:
		return NeedDigests
	case r.pendingCount > 0:
		return NeedContent
	}
	return NeedChanges
}

// Pending returns the ranges whose content is to be fetched, in ascending order.
func (r *Repair) Pending() []int {
	ranges := make([]int, 0, r.pendingCount)
	for i, pending := range r.pending {
		if pending {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Progress returns how many ranges have been fetched and how many are pending.
func (r *Repair) Progress() (fetched, pending int) { return r.fetched, r.pendingCount }

// Since returns the version above which Finish needs changes.
func (r *Repair) Since() uint64 {
	lowest := r.versions[0]
	for _, version := range r.versions {
		lowest = min(lowest, version)
	}
	return lowest
}

// maxVersion returns the highest version of the staged ranges and of the replica's content
// when the repair began.
func (r *Repair) maxVersion() uint64 {
	highest := r.base
	for _, version := range r.versions {
		highest = max(highest, version)
	}
	return highest
}

// Recompare returns to NeedDigests. It is for the case that no server has the changes that would finish the repair.
// The staged ranges are reused.
func (r *Repair) Recompare() { r.compared = false }

// CompareDigests compares the staged ranges with a server's digests; ranges that differ become pending. The error is
// ErrStale if the server is below the version that the replica had when the repair began.
func (r *Repair) CompareDigests(digests RangeDigests) error {
	if err := digests.validate(); err != nil {
		return err
	}
	if digests.Version < r.base {
		return fmt.Errorf("%w: the ranges are of version %d, the replica is at %d", ErrStale, digests.Version, r.base)
	}
	for i, digest := range digests.Ranges {
		if r.staged.state.ranges[i].sum.low == digest {
			r.markCurrent(i, digests.Version)
		} else {
			r.markPending(i)
		}
	}
	r.compared = true
	return nil
}

// StageChunk stages the pending ranges of a chunk. On an error nothing is staged. The error is ErrStale if the server
// is below the version that the replica had when the repair began, ErrDigest if a range does not have its digest, and
// another one if the chunk is inconsistent or has no pending range.
func (r *Repair) StageChunk(chunk Chunk) error {
	if err := chunk.validate(); err != nil {
		return err
	}
	if chunk.Version < r.base {
		return fmt.Errorf("%w: the chunk is of version %d, the replica is at %d", ErrStale, chunk.Version, r.base)
	}
	useful := false
	for _, content := range chunk.Ranges {
		if !r.pending[content.Range] {
			continue
		}
		useful = true
		r.staged.replace(content.Range, content.Records)
		r.markCurrent(content.Range, chunk.Version)
		r.fetched++
	}
	if !useful {
		return errors.New("the chunk has none of the ranges that are wanted")
	}
	return nil
}

// Finish applies the changes above Since to the staged ranges and, if the result has the delta's digest, makes it the
// replica's content. The replica must be the one with which the repair was created. On an error the replica is
// unchanged. The error is ErrGap if the changes begin above Since, ErrStale if they end below a staged range or the
// replica, and ErrDigest if the result has another digest. After ErrDigest the repair continues with NeedDigests.
func (r *Repair) Finish(replica *Replica, delta Delta) error {
	if r.Next() != NeedChanges {
		return errors.New("the repair still needs ranges")
	}
	if err := delta.validate(); err != nil {
		return err
	}
	if since := r.Since(); delta.From > since {
		return fmt.Errorf("%w: the changes begin at %d, the ranges at %d", ErrGap, delta.From, since)
	}
	if highest := max(r.maxVersion(), replica.Version()); delta.To < highest {
		return fmt.Errorf("%w: the changes lead to %d, the ranges or the replica are at %d", ErrStale, delta.To, highest)
	}
	draft := r.staged.state.edit()
	delta.apply(draft)
	after := draft.finish()
	if after.digest != delta.Digest {
		r.staged = after.edit()
		r.Recompare()
		return fmt.Errorf("%w: repaired to %s instead of %s at version %d", ErrDigest, after.digest, delta.Digest, delta.To)
	}
	replica.state, replica.version = after, delta.To
	return nil
}
