package owner

import "elderyard/rules"

// CheckRequester submits a quota check to the module and receives its result. Its methods
// run in the event loop's goroutine and must not block.
type CheckRequester interface {
	// NewEvent builds the event for the assigned id. It returns nil if no event is needed any more.
	NewEvent(rules.RequestID) rules.Event
	// Complete receives the module's result.
	Complete(rules.CheckResult)
	// ShouldCancel reports whether to cancel the check now that the requester's client has disconnected.
	ShouldCancel() bool
}

// Check is a quota check of one requester.
type Check struct {
	CheckRequester
	id rules.RequestID
}

// CheckBatch submits several checks to the module in order, in one message.
type CheckBatch struct {
	Loop   *EventLoop
	Checks []*Check
}

// Process submits the checks.
func (b CheckBatch) Process() {
	b.Loop.batchTime = b.Loop.Clock.Now() // the same time for all checks
	defer func() { b.Loop.batchTime = 0 }()
	for _, c := range b.Checks {
		id := b.Loop.NewRequestID()
		if ev := c.NewEvent(id); ev != nil {
			// Most checks complete within Handle and never enter the map.
			c.id, b.Loop.submitting = id, c
			b.Loop.Handle(ev)
			if b.Loop.submitting != nil {
				b.Loop.submitting = nil
				b.Loop.checks[id] = c
			}
		}
	}
}

// CancelChecks cancels checks whose client has disconnected. Checks that are not decided
// yet spend nothing.
type CancelChecks struct {
	Loop   *EventLoop
	Checks []*Check
}

// Process cancels the checks that are still pending.
func (c CancelChecks) Process() {
	for _, check := range c.Checks {
		if c.Loop.checks[check.id] == check && check.ShouldCancel() {
			delete(c.Loop.checks, check.id)
			c.Loop.Handle(rules.ClientDisconnected{Request: check.id})
		}
	}
}

// ExpireChecks decides all pending checks as at their deadlines. Only messages may call it.
func (l *EventLoop) ExpireChecks() {
	for id := range l.checks {
		l.Handle(rules.ExpireRequest(id))
	}
}

// completeCheck passes a result to the requester of its check.
func (l *EventLoop) completeCheck(result rules.CheckResult) {
	if c := l.submitting; c != nil && c.id == result.ID {
		l.submitting = nil
		c.Complete(result)
		return
	}
	if c := l.checks[result.ID]; c != nil {
		delete(l.checks, result.ID)
		c.Complete(result)
	}
}
