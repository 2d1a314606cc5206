// Package rollout decides how a new revision is rolled out to the instances of a site: in which order, how many at a
// time, whether the rollout goes on, and when it is rolled back. It is a pure state machine without I/O, goroutine or
// clock: events go in with the time at which they happened, actions come out.
//
// A rollout ends with one revision that is wanted everywhere: the new one or the previous one. Instances that do not
// have it yet are named in the status, and are assigned it as soon as they report again.
//
// It knows revisions by number alone: what they contain, whether they are valid, and how an instance is updated is not its
// concern. The driver, package internal/agent, owns the Machine in one goroutine. It passes on the reports of all instances
// and a Tick at least every half Policy.SilenceTimeout, has each instance run its InstanceRevision, whose changes Assign
// announces, and stores every Changed of the rollout, so that another machine can take over with Start. It must not use
// two machines for one site at a time: each would allow MaxUnavailable instances.
package rollout

// Revision is the number of a revision; 0 is none.
type Revision uint64

// State is the state of a rollout.
type State string

// The states of a rollout. The last four are ends. One with instances missing becomes the complete one as soon as they have
// the revision.
const (
	Idle             State = "idle"         // none has been started
	Advancing        State = "advancing"    // waves are being assigned
	Paused           State = "paused"       // by an operator, see Pause
	RollingBack      State = "rolling back" // instances that may have the new revision are assigned the previous one
	Applied          State = "applied"      // all have the new revision
	PartlyApplied    State = "applied, some missing"
	RolledBack       State = "rolled back" // all have the previous revision
	PartlyRolledBack State = "rolled back, some missing"
)

// Ended reports whether a state is an end, from which a rollout goes neither forward nor back.
func (s State) Ended() bool {
	return s == Applied || s == PartlyApplied || s == RolledBack || s == PartlyRolledBack
}

// Phase is the state of one instance in a rollout.
type Phase string

// The phases of an instance.
const (
	PhasePending     Phase = "waiting"       // it has the previous revision and no assignment yet
	PhaseUpdating    Phase = "taking"        // it was assigned a revision and is not ready with it yet
	PhaseSoaking     Phase = "being watched" // it is ready, for less than Policy.SoakDuration so far
	PhaseUpdated     Phase = "took it"       // it has been ready for Policy.SoakDuration
	PhaseRejected    Phase = "refused it"    // it can't run the revision it was assigned
	PhaseFailed      Phase = "broke"         // it crashed, or was not ready in time
	PhaseSilent      Phase = "silent"        // it has not reported for Policy.SilenceTimeout
	PhaseRollingBack Phase = "going back"    // it was assigned the previous revision and is not ready with it yet
	PhaseRolledBack  Phase = "went back"     // it is ready with the previous revision
)

// Observed is what an instance reports.
type Observed struct {
	Revision Revision // that it runs
	Ready    bool
	Crashes  int // since its first start; never decreases
}
