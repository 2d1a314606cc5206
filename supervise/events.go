package supervise

// Event is an input of the Machine: something that happened to the process, or a new desired state.
type Event interface{ event() }

type (
	// DesiredState sets the spec to run; nil means no process.
	DesiredState struct{ Spec *Spec }
	// Adopted reports that a process started by an earlier driver runs with Spec. Unless DesiredState has set another
	// one, this is the desired spec.
	Adopted struct{ Spec Spec }
	// Started reports that a Spawn succeeded.
	Started struct{}
	// StartFailed reports that a Spawn failed. It counts as a crash.
	StartFailed struct{ Reason string }
	// ReloadFailed reports that the files of a Reload could not be written: the process still runs with Previous.
	ReloadFailed struct {
		Previous Spec
		Reason   string
	}
	// Exited reports that the process has ended, for any reason.
	Exited struct{ Reason string }
	// Health is the result of a health check.
	Health struct{ Ready bool }
	// Tick reports only the time. The driver sends it if no other event happens before Due.
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

// Action is an output of the Machine that the driver must carry out.
type Action interface{ action() }

type (
	// Spawn writes the files of a spec and starts the process. The driver responds with Started or StartFailed.
	Spawn struct{ Spec Spec }
	// Reload writes the files of a spec and makes the process reload them. If it fails, the driver responds with
	// ReloadFailed.
	Reload struct{ Spec, Previous Spec }
	// SetRevision records that the process runs another revision with the same files.
	SetRevision struct{ Spec Spec }
	// Terminate starts a graceful shutdown of the process.
	Terminate struct{}
	// Kill ends the process immediately.
	Kill struct{}
)

func (Spawn) action()       {}
func (Reload) action()      {}
func (SetRevision) action() {}
func (Terminate) action()   {}
func (Kill) action()        {}
