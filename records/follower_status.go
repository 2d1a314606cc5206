package records

import "time"

// FollowerState is what a follower is doing.
type FollowerState string

// The states of a follower.
const (
	Following FollowerState = "following" // the changes as they come
	Repairing FollowerState = "repairing"
	CutOff    FollowerState = "cut_off" // no useful answer for CutOffTimeout
)

// FollowerStatus is what a follower says of itself.
type FollowerStatus struct {
	State   FollowerState `json:"state"`
	Version uint64        `json:"version"`
	Digest  Digest        `json:"digest"`
	Head    uint64        `json:"head"` // newest version known to exist
	Records int           `json:"records"`
	// ConfirmedAt is when the copy was last known to be at the newest version; zero:
	// never since it was read from disk.
	ConfirmedAt time.Time `json:"confirmed,omitzero"`
	LastContact time.Time `json:"contact"`          // last useful answer, or the start
	Server      string    `json:"server,omitempty"` // that is being asked
	Reason      string    `json:"reason,omitempty"` // why the copy may be behind
	// Ranges of a repair: those whose content has come, and those still wanted.
	RangesFetched int `json:"ranges_taken,omitempty"`
	RangesMissing int `json:"ranges_wanted,omitempty"`
}

// Age returns for how long the copy has not been known to be at the newest version;
// false: that is not known.
func (s FollowerStatus) Age(now time.Time) (time.Duration, bool) {
	if s.ConfirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.ConfirmedAt), true
}

// Status returns the present state.
func (f *Follower) Status(now time.Time) FollowerStatus {
	status := FollowerStatus{
		State:       Following,
		Version:     f.replica.Version(),
		Digest:      f.replica.Digest(),
		Head:        max(f.head, f.replica.Version()),
		Records:     f.replica.Len(),
		ConfirmedAt: f.confirmedAt,
		LastContact: f.lastContact,
		Reason:      f.lastFault,
	}
	if f.inFlight != nil {
		status.Server = f.inFlight.Server
	}
	if f.repair != nil {
		status.State = Repairing
		status.RangesFetched, status.RangesMissing = f.repair.Progress()
		if status.Reason == "" {
			status.Reason = "repair: " + string(f.repairReason)
		}
	}
	if now.Sub(f.lastContact) > CutOffTimeout {
		status.State = CutOff
	}
	return status
}
