package records

import (
	"errors"
	"fmt"
)

// RepairStep is what a repair needs next from a server.
type RepairStep int

// The steps of a repair.
const (
	NeedDigests RepairStep = iota // CompareDigests
	NeedContent                   // StageChunk, of the ranges that Pending returns
	NeedChanges                   // Finish, with the changes above Since
)

// Repair builds a new copy beside the one in force from ranges of keys, which may
// come in any number of chunks, at different versions, from different servers. The
// changes above the lowest of these versions make it whole, and its digest tells
// whether it is.
type Repair struct {
	base     uint64 // the version of the copy in force when the repair began
	staged   *draft
	versions [RangeCount]uint64 // at which each range was read, or found to be the same
	pending  [RangeCount]bool   // ranges whose content is wanted
	missing  int                // how many ranges are pending
	compared bool               // with the digests of a server
	fetched  int                // ranges whose content has been taken
}

// NewRepair begins with what the replica has. An empty one needs no digests: it
// wants every range.
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

func (r *Repair) markMissing(index int) {
	if !r.pending[index] {
		r.pending[index] = true
		r.missing++
	}
}

func (r *Repair) markCurrent(index int, version uint64) {
	if r.pending[index] {
		r.pending[index] = false
		r.missing--
	}
	r.versions[index] = version
}

// Next returns what is needed next.
func (r *Repair) Next() RepairStep {
	switch {
	case !r.compared:
		return NeedDigests
	case r.missing > 0:
		return NeedContent
	}
	return NeedChanges
}

// Pending returns the ranges whose content is wanted, in ascending order.
func (r *Repair) Pending() []int {
	ranges := make([]int, 0, r.missing)
	for i, wanted := range r.pending {
		if wanted {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Progress returns how many ranges have been taken and how many are still wanted.
func (r *Repair) Progress() (fetched, missing int) { return r.fetched, r.missing }

// Since returns the version above which the changes are needed at the end.
func (r *Repair) Since() uint64 {
	lowest := r.versions[0]
	for _, version := range r.versions {
		lowest = min(lowest, version)
	}
	return lowest
}

func (r *Repair) maxVersion() uint64 {
	highest := r.base
	for _, version := range r.versions {
		highest = max(highest, version)
	}
	return highest
}

// Recompare has the digests asked for again, since the changes that would finish
// the repair are not to be had. What is staged already stays.
func (r *Repair) Recompare() { r.compared = false }

// CompareDigests compares the staged ranges with a server's and marks those that
// differ. The error is ErrBehind if the server is below the copy in force.
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

// StageChunk stages the ranges of a chunk that are wanted. The error is ErrBehind if
// the server is below the copy in force, and ErrDigest if a range does not fit its
// digest; nothing is staged then.
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

// Finish lays the changes above Since over the staged ranges, and puts the result
// in force in the replica if its digest fits. On an error the replica is as before:
// ErrGap if the changes begin too late, ErrBehind if they end below what is staged
// or in force, ErrDigest if the result is not what the server has; the digests of
// the ranges are to be compared again then.
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
