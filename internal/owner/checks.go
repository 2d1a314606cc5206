package owner

import "elderyard/rules"

// CheckRequester has a question to the module about a quota, and takes its answer. Its methods
// run in the owner's goroutine and must not wait.
type CheckRequester interface {
	// NewEvent makes the event from the id that the owner gives; nil where none is needed any more.
	NewEvent(rules.RequestID) rules.Event
	// Complete is told the module's answer.
	Complete(rules.CheckResult)
	// ShouldCancel tells whether to call the check off now that its asker's client has gone.
	ShouldCancel() bool
}

// Check is one asker's question.
type Check struct {
	CheckRequester
	id rules.RequestID
}

// CheckBatch hands several checks to the module in order, in one message.
type CheckBatch struct {
	Loop   *EventLoop
	Checks []*Check
}

// Process asks the module.
func (b CheckBatch) Process() {
	b.Loop.moment = b.Loop.Clock.Now() // one for all of them
	defer func() { b.Loop.moment = 0 }()
	for _, c := range b.Checks {
		id := b.Loop.NewRequestID()
		if ev := c.NewEvent(id); ev != nil {
			// Most are answered at once and need no place in the map.
			c.id, b.Loop.asking = id, c
			b.Loop.Handle(ev)
			if b.Loop.asking != nil {
				b.Loop.asking = nil
				b.Loop.checks[id] = c
			}
		}
	}
}

// CancelChecks calls off checks whose asker has gone: those that are not decided yet
// spend nothing.
type CancelChecks struct {
	Loop   *EventLoop
	Checks []*Check
}

// Process tells the module of those that still wait.
func (l CancelChecks) Process() {
	for _, c := range l.Checks {
		if l.Loop.checks[c.id] == c && c.ShouldCancel() {
			delete(l.Loop.checks, c.id)
			l.Loop.Handle(rules.ClientDisconnected{Request: c.id})
		}
	}
}

// checked passes an answer on.
func (o *EventLoop) checked(a rules.CheckResult) {
	if c := o.asking; c != nil && c.id == a.ID {
		o.asking = nil
		c.Complete(a)
		return
	}
	if c := o.checks[a.ID]; c != nil {
		delete(o.checks, a.ID)
		c.Complete(a)
	}
}
