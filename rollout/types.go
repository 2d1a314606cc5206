// Package rollout decides how a new revision is rolled out to the instances of a site: in which order, how many at a
// time, whether the rollout goes on, and when it is rolled back. It is a pure state machine without I/O, goroutine or
// clock: events go in with the time at which they happened, actions come out.
//
// A rollout ends with one revision that is wanted everywhere: the new one or the previous one. Instances that do not
// have it yet are named in the status, and are assigned it as soon as they are heard of again.
package rollout

// Revision is the number of a revision; 0 is none.
type Revision uint64

// State is the state of a rollout.
type State string

// The states of a rollout. The last four are final.
const (
	Idle             State = "idle"         // none has been started
	Advancing        State = "advancing"    // waves are being assigned
	Paused           State = "paused"       // by an operator; there are no new assignments
	RollingBack      State = "rolling back" // assigned instances are assigned the previous revision
	Applied          State = "applied"      // all have the new revision
	PartlyApplied    State = "applied, some missing"
	RolledBack       State = "rolled back" // all have the previous revision
	PartlyRolledBack State = "rolled back, some missing"
)

// Ended reports whether a state is final.
func (s State) Ended() bool {
	return s == Applied || s == PartlyApplied || s == RolledBack || s == PartlyRolledBack
}

// Phase is the state of one instance in a rollout.
type Phase string

// The phases of an instance.
const (
	PhasePending     Phase = "waiting" // it has the previous revision and no assignment yet
	PhaseUpdating    Phase = "taking"  // it was assigned a revision and is not ready with it yet
	PhaseSoaking     Phase = "being watched"
	PhaseUpdated     Phase = "took it"
	PhaseRejected    Phase = "refused it"
	PhaseFailed      Phase = "broke" // it crashed, or was not ready in time
	PhaseSilent      Phase = "silent"
	PhaseRollingBack Phase = "going back"
	PhaseRolledBack  Phase = "went back"
)

// Observed is what an instance reports.
type Observed struct {
	Revision Revision // running
	Ready    bool
	Crashes  int // since its first start; never decreases
}

// Event is something that happened.
type Event interface{ event() }

// Start begins a rollout of New in place of Before. Instances are all instances of the site with what was last heard of
// each; one that has not been heard of lately is away, and left out until it returns.
//
// If State is set, Start takes over a rollout that another machine began, in that state: instances that have New already
// count as assigned.
type Start struct {
	New, Previous Revision
	Instances     map[string]InitialInstance
	ServiceLevel  float64 // service level at the start; 0: unknown
	State         State   // "": a new rollout
	Reason        string
}

// InitialInstance is an instance at the start of a rollout.
type InitialInstance struct {
	Observed
	Assigned    Revision // assigned
	Unreachable bool
}

// InstanceReported is news of an instance. It adds an instance that is new to the site.
type InstanceReported struct {
	Instance string
	Observed
}

// Rejected says that an instance rejects a revision, and why.
type Rejected struct {
	Instance string
	Revision Revision
	Reason   string
}

// InstanceRemoved says that an instance no longer belongs to the site.
type InstanceRemoved struct{ Instance string }

// ServiceReported is the site's present service level.
type ServiceReported struct{ Level float64 }

// Tick says that time has passed.
type Tick struct{}

// Pause is an operator's command to begin no further instance.
type Pause struct{ By string }

// Resume is an operator's command that ends a pause.
type Resume struct{ By string }

// Abort is an operator's command to roll back.
type Abort struct{ By string }

func (Start) event() {}

func (InstanceReported) event() {}

func (Rejected) event() {}

func (InstanceRemoved) event() {}

func (ServiceReported) event() {}

func (Tick) event() {}

func (Pause) event() {}

func (Resume) event() {}

func (Abort) event() {}

// Action is something to be done.
type Action interface{ action() }

// Assign assigns a revision to an instance. It may repeat an assignment, which changes nothing.
type Assign struct {
	Instance string
	Revision Revision
}

// Changed reports that the rollout, or one instance in it, has changed its state, and why.
type Changed struct {
	Instance string // "": the rollout
	From, To string
	Reason   string
}

func (Assign) action() {}

func (Changed) action() {}
