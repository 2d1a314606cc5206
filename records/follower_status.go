package records

import "time"

// FollowerState is the state of a follower.
type FollowerState string

// The states of a follower.
const (
	Following    FollowerState = "following" // applies changes as they arrive
	Repairing    FollowerState = "repairing" // fetches the ranges that differ
	Disconnected FollowerState = "cut_off"   // no useful response for DisconnectTimeout
)

// FollowerStatus is a snapshot of a follower's state.
type FollowerStatus struct {
	State   FollowerState `json:"state"`
	Version uint64        `json:"version"`
	Digest  Digest        `json:"digest"`
	Head    uint64        `json:"head"` // newest version known to exist
	Records int           `json:"records"`
	// ConfirmedAt is when the replica was last known to be at the newest version. It is zero if unknown.
	ConfirmedAt time.Time `json:"confirmed,omitzero"`
	LastContact time.Time `json:"contact"`          // last useful response, or the start
	Server      string    `json:"server,omitempty"` // of the request in flight
	Reason      string    `json:"reason,omitempty"` // why the replica may be behind
	// Numbers of ranges that a repair has fetched and has yet to fetch.
	RangesFetched int `json:"ranges_taken,omitempty"`
	RangesPending int `json:"ranges_wanted,omitempty"`
}

// Age returns the time since the replica was last known to be at the newest version, and
// whether that is known.
func (s FollowerStatus) Age(now time.Time) (time.Duration, bool) {
	if s.ConfirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.ConfirmedAt), true
}

// Status returns the follower's state at a time, which may be later than the last event's.
func (f *Follower) Status(now time.Time) FollowerStatus {
	status := FollowerStatus{
		State:       Following,
		Version:     f.replica.Version(),
		Digest:      f.replica.Digest(),
		Head:        max(f.head, f.replica.Version()),
		Records:     f.replica.Len(),
		ConfirmedAt: f.confirmedAt,
		LastContact: f.lastContact,
		Reason:      f.lastError,
	}
	if f.inFlight != nil {
		status.Server = f.inFlight.Server
	}
	if f.repair != nil {
		status.State = Repairing
		status.RangesFetched, status.RangesPending = f.repair.Progress()
		if status.Reason == "" {
			status.Reason = "repair: " + string(f.repairReason)
		}
	}
	if now.Sub(f.lastContact) > DisconnectTimeout {
		status.State = Disconnected
	}
	return status
}
