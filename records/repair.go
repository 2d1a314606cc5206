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

// Repair builds a new copy beside a replica's present one from ranges of keys. These may
// come in any number of chunks, at different versions, from different servers. The changes
// above the lowest of these versions bring all ranges to one version, and the server's digest
// at that version verifies the result: no content comes into force unverified.
//
// The caller does what Next returns until Finish succeeds.
type Repair struct {
	base     uint64 // the replica's version when the repair began
	staged   *draft
	versions [RangeCount]uint64 // at which a server had the staged content of each range
	pending  [RangeCount]bool   // ranges whose content is to be fetched
	missing  int                // how many ranges are pending
	compared bool               // with a server's digests
	fetched  int                // how many ranges have been staged from chunks
}

// NewRepair returns a repair that begins with the replica's content. If that is empty, no
// digests are needed: every range is pending.
func NewRepair(replica *Replica) *Repair {
	repair := &Repair{base: replica.Version(), staged: replica.current().edit()}
	if replica.Len() == 0 {
		repair.compared = true
		for i := range repair.pending {
			repair.markMissing(i)
		}
	}
	return repair
}

// markMissing makes a range pending.
func (r *Repair) markMissing(index int) {
	if !r.pending[index] {
		r.pending[index] = true
		r.missing++
	}
}

// markCurrent records that a server has the staged content of a range at the version.
func (r *Repair) markCurrent(index int, version uint64) {
	if r.pending[index] {
		r.pending[index] = false
		r.missing--
	}
	r.versions[index] = version
}

// Next returns what the repair needs next.
func (r *Repair) Next() RepairStep {
	switch {
	case !r.compared:
		return NeedDigests
	case r.missing > 0:
		return NeedContent
	}
	return NeedChanges
}

// Pending returns the ranges whose content is to be fetched, in ascending order.
func (r *Repair) Pending() []int {
	ranges := make([]int, 0, r.missing)
	for i, pending := range r.pending {
		if pending {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Progress returns how many ranges have been fetched and how many are pending.
func (r *Repair) Progress() (fetched, missing int) { return r.fetched, r.missing }

// Since returns the version above which Finish needs the changes.
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

// Recompare returns to NeedDigests, for when no server has the changes that would finish the
// repair. The staged ranges are reused.
func (r *Repair) Recompare() { r.compared = false }

// CompareDigests compares the staged ranges with a server's; those that differ become
// pending. The error is ErrBehind if the server is below the replica's version when the
// repair began.
func (r *Repair) CompareDigests(digests RangeDigests) error {
	if err := digests.validate(); err != nil {
		return err
	}
	if digests.Version < r.base {
		return fmt.Errorf("%w: the ranges are of version %d, the replica is at %d", ErrBehind, digests.Version, r.base)
	}
	for i, digest := range digests.Ranges {
		if r.staged.state.ranges[i].sum.low == digest {
			r.markCurrent(i, digests.Version)
		} else {
			r.markMissing(i)
		}
	}
	r.compared = true
	return nil
}

// StageChunk stages the pending ranges of a chunk. On an error nothing is staged: ErrBehind if
// the server is below the replica's version when the repair began, ErrDigest if a range does
// not have its digest, and any other if the chunk contradicts itself or has no pending range.
func (r *Repair) StageChunk(chunk Chunk) error {
	if err := chunk.validate(); err != nil {
		return err
	}
	if chunk.Version < r.base {
		return fmt.Errorf("%w: the chunk is of version %d, the replica is at %d", ErrBehind, chunk.Version, r.base)
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

// Finish applies the changes above Since to the staged ranges and, if the result has the
// delta's digest, makes it the replica's content. The replica must be the one that the repair
// began with. On an error the replica is unchanged: ErrGap if the changes begin above Since,
// ErrBehind if they end below a staged range or the replica, ErrDigest if the result has
// another digest. After ErrDigest the repair continues with NeedDigests.
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
		return fmt.Errorf("%w: the changes lead to %d, the ranges or the replica are at %d", ErrBehind, delta.To, highest)
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
