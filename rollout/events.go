package rollout

// Event is an input of the Machine.
type Event interface{ event() }

// Start begins a rollout that replaces Previous with New. Instances has all instances of the site with the last report
// of each. An instance without a recent report is Unreachable, and is left out of the rollout until it reports.
//
// If State is set, Start takes over a rollout that another machine began, in that state and for that Reason. In
// Advancing and Paused, instances that run New or were assigned it count as assigned, and the waves restart at the
// first one.
type Start struct {
	New, Previous Revision
	Instances     map[string]InitialInstance
	ServiceLevel  float64 // baseline of Policy.MaxServiceDrop; 0: unknown
	State         State   // "" for a new rollout
	Reason        string
}

// InitialInstance is the state of an instance at the start of a rollout.
type InitialInstance struct {
	Observed
	Assigned    Revision // 0: none
	Unreachable bool     // there is no recent report, so Observed is unknown
}

// InstanceReported is the report of an instance. An unknown instance joins the site, last in the order of assignment.
type InstanceReported struct {
	Instance string
	Observed
}

// Rejected reports that an instance rejected the revision that it is assigned. It rolls back a rollout that is
// Advancing or Paused. A rejection of any other revision changes nothing.
type Rejected struct {
	Instance string
	Revision Revision
	Reason   string
}

// InstanceRemoved reports that an instance was removed from the site.
type InstanceRemoved struct{ Instance string }

// ServiceReported is the current service level of the site, on the scale of Start.ServiceLevel.
type ServiceReported struct{ Level float64 }

// Tick advances the machine's clock.
type Tick struct{}

// Pause is an operator's command, allowed while the rollout is Advancing. Until Resume no instance is assigned the new
// revision, and the wave does not change. Everything else continues: instances complete the update that they were
// assigned, silent instances are detected, the pause counts towards Policy.Timeout, and the gates are checked at every
// event, including this one. A rollback, whatever its cause, ends the pause.
type Pause struct{ By string }

// Resume is an operator's command, allowed while the rollout is Paused. The rollout is Advancing again, in the same
// wave as before. The same event checks the gates and, unless they roll back, assigns the new revision to as many
// instances as the wave and Policy.MaxUnavailable allow. The time for which instances were ready during the pause
// counts towards Policy.SoakDuration.
type Resume struct{ By string }

// Abort is an operator's command, allowed while the rollout is Advancing or Paused. The rollout is RollingBack from
// then on and can't advance again. The same event assigns the previous revision to instances that may have the new one,
// within Policy.MaxUnavailable. If there is no such instance or no previous revision, the rollout ends with the same
// event.
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

// Action is an output of the Machine that the driver must carry out.
type Action interface{ action() }

// Assign assigns a revision to an instance. It is idempotent: a repeated assignment changes nothing at the instance.
type Assign struct {
	Instance string
	Revision Revision
}

// Transition reports a change of the state of the rollout or of the phase of an instance, with its reason.
type Transition struct {
	Instance string // "" for the rollout itself
	From, To string // states of the rollout, or phases of the instance
	Reason   string
}

func (Assign) action()     {}
func (Transition) action() {}
