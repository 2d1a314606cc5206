package supervise

// Event is something that happened to the process or to its desired state.
type Event interface{ event() }

type (
	// DesiredState sets the spec that is to run; nil: no process.
	DesiredState struct{ Spec *Spec }
	// Adopted reports that a process of an earlier driver runs with Spec. It is the desired spec until DesiredState
	// sets another.
	Adopted struct{ Spec Spec }
	// Started reports that a Spawn succeeded.
	Started struct{}
	// StartFailed reports that a Spawn failed. It counts as a crash.
	StartFailed struct{ Reason string }
	// ReloadFailed reports that the files of a Reload could not be written: the process runs with Previous still.
	ReloadFailed struct {
		Previous Spec
		Reason   string
	}
	// Exited reports that the process has ended, for whatever reason.
	Exited struct{ Reason string }
	// Health is the result of a health check.
	Health struct{ Ready bool }
	// Tick lets time pass: without another event one must come when Due has come.
	Tick struct{}
)

func (DesiredState) event() {}
func (Adopted) event()      {}
func (Started) event()      {}
func (StartFailed) event()  {}
func (ReloadFailed) event() {}
func (Exited) event()       {}
func (Health) event()       {}
func (Tick) event()         {}

// Action is something that the driver must do.
type Action interface{ action() }

type (
	// Spawn writes the files of a spec and starts the process. The driver answers with Started or StartFailed.
	Spawn struct{ Spec Spec }
	// Reload writes the files of a spec and has the process read them. The driver answers with ReloadFailed if it fails.
	Reload struct{ Spec, Previous Spec }
	// SetRevision records that the process runs another revision, whose files are the same.
	SetRevision struct{ Spec Spec }
	// Terminate starts the graceful shutdown of the process.
	Terminate struct{}
	// Kill ends the process at once.
	Kill struct{}
)

func (Spawn) action()       {}
func (Reload) action()      {}
func (SetRevision) action() {}
func (Terminate) action()   {}
func (Kill) action()        {}
