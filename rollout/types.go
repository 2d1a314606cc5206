// Package rollout decides how a new revision is rolled out to the instances of a site: in which order, how many at a
// time, whether the rollout continues, and when it is rolled back. It is a pure state machine without I/O, goroutines
// or a clock: events go in with the time at which they happened, actions come out.
//
// A rollout ends with one desired revision for all instances: the new one or the previous one. The status shows which
// instances do not have it yet; they are assigned it as soon as they report again.
//
// Revisions are numbers here: what they contain, whether they are valid and how an instance is updated is decided
// elsewhere. The driver, package internal/leader, owns the Machine in one goroutine. It must
//   - pass on the reports of all instances, and a Tick at least every half Policy.SilenceTimeout,
//   - have each instance run its InstanceRevision, whose changes are announced by Assign,
//   - store every Transition of the rollout, so that another machine can take over with Start, and
//   - use only one machine for a site at a time: each one would allow MaxUnavailable instances to be unavailable.
package rollout

// Revision is the number of a revision; 0 means none.
type Revision uint64

// State is the state of a rollout.
type State string

// The states of a rollout. The last four are terminal. PartlyApplied becomes Applied, and PartlyRolledBack becomes
// RolledBack, once the missing instances have the revision.
const (
	Idle             State = "idle"                      // no rollout has been started
	Advancing        State = "advancing"                 // waves are being assigned
	Paused           State = "paused"                    // by an operator, see Pause
	RollingBack      State = "rolling back"              // the previous revision is assigned to instances that may have the new one
	Applied          State = "applied"                   // all instances have the new revision
	PartlyApplied    State = "applied, some missing"     // some instances do not have the new revision yet
	RolledBack       State = "rolled back"               // all instances have the previous revision
	PartlyRolledBack State = "rolled back, some missing" // some instances do not have the previous revision yet
)

// Ended reports whether a state is terminal: the rollout neither advances nor rolls back any more.
func (s State) Ended() bool {
	return s == Applied || s == PartlyApplied || s == RolledBack || s == PartlyRolledBack
}

// Phase is the state of one instance in a rollout.
type Phase string

// The phases of an instance.
const (
	PhasePending     Phase = "waiting"       // has the previous revision and no assignment yet
	PhaseUpdating    Phase = "taking"        // was assigned a revision and is not ready with it yet
	PhaseSoaking     Phase = "being watched" // has been ready for less than Policy.SoakDuration
	PhaseUpdated     Phase = "took it"       // has been ready for Policy.SoakDuration
	PhaseRejected    Phase = "refused it"    // rejected the revision that it was assigned
	PhaseFailed      Phase = "broke"         // crashed, or was not ready in time
	PhaseSilent      Phase = "silent"        // has not reported for Policy.SilenceTimeout
	PhaseRollingBack Phase = "going back"    // was assigned the previous revision and is not ready with it yet
	PhaseRolledBack  Phase = "went back"     // is ready with the previous revision
)

// Observed is the state that an instance reports.
type Observed struct {
	Revision Revision // the one that it runs
	Ready    bool
	Crashes  int // since its first start; never decreases
}
