package rollout

// Event is something that happened.
type Event interface{ event() }

// Start begins a rollout of New in place of Previous. Instances are all instances of the site with the last report of
// each; one without a recent report is Unreachable, and left out of the rollout until it reports.
//
// If State is set, Start takes over a rollout that another machine began, in that state and with its Reason. If that is
// Advancing or Paused, instances that run New, or were assigned it, count as assigned. The waves are counted anew.
type Start struct {
	New, Previous Revision
	Instances     map[string]InitialInstance
	ServiceLevel  float64 // at the start, the baseline of Policy.MaxServiceDrop; 0: unknown
	State         State   // "": a new rollout
	Reason        string
}

// InitialInstance is an instance at the start of a rollout.
type InitialInstance struct {
	Observed
	Assigned    Revision // 0: none
	Unreachable bool     // it has not reported lately, so Observed is not known
}

// InstanceReported is the report of an instance. One that is unknown joins the site by it, last in the order.
type InstanceReported struct {
	Instance string
	Observed
}

// Rejected is an instance's rejection of the revision that it is assigned. It rolls back a rollout that is Advancing or
// Paused. A rejection of any other revision changes nothing.
type Rejected struct {
	Instance string
	Revision Revision
	Reason   string
}

// InstanceRemoved says that an instance is no longer part of the site.
type InstanceRemoved struct{ Instance string }

// ServiceReported is the site's present service level, on the scale of Start.ServiceLevel.
type ServiceReported struct{ Level float64 }

// Tick lets time pass.
type Tick struct{}

// Pause is an operator's command that is possible while the rollout is Advancing. Until Resume no instance is assigned
// the new revision, and the wave does not change. All else goes on: instances complete the update that they were assigned,
// silence is detected, the time until Policy.Deadline passes, and the gates are checked at every event, this one included.
// A rollback, whatever its cause, ends the pause.
type Pause struct{ By string }

// Resume is an operator's command that is possible while the rollout is Paused. The rollout is Advancing again, in the wave
// that it was in. The same event checks the gates and, unless they roll back, assigns the new revision to as many instances
// as the wave and Policy.MaxUnavailable allow. Time that instances were ready during the pause counts.
type Resume struct{ By string }

// Abort is an operator's command that is possible while the rollout is Advancing or Paused. It is RollingBack from then on,
// with no way forward again, and the same event assigns the previous revision to instances that may have the new one, as
// far as Policy.MaxUnavailable allows. It ends with the same event if there is no such instance or no previous revision.
type Abort struct{ By string }

func (Start) event()            {}
func (InstanceReported) event() {}
func (Rejected) event()         {}
func (InstanceRemoved) event()  {}
func (ServiceReported) event()  {}
func (Tick) event()             {}
func (Pause) event()            {}
func (Resume) event()           {}
func (Abort) event()            {}

// Action is something that the driver must do.
type Action interface{ action() }

// Assign assigns a revision to an instance. It may repeat an assignment, which then changes nothing at the instance.
type Assign struct {
	Instance string
	Revision Revision
}

// Transition reports that the state of the rollout or the phase of an instance has changed, and why.
type Transition struct {
	Instance string // "": the rollout
	From, To string // states of the rollout, or phases of the instance
	Reason   string
}

func (Assign) action()     {}
func (Transition) action() {}
