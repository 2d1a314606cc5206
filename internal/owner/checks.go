package owner

import "elderyard/rules"

// Asker has a question to the module about a quota, and takes its answer. Its methods
// run in the owner's goroutine and must not wait.
type Asker interface {
	// Ask makes the event from the id that the owner gives; nil where none is needed any more.
	Ask(rules.RequestID) rules.Event
	// Answered is told the module's answer.
	Answered(rules.CheckResult)
	// Left tells whether to call the check off now that its asker's client has gone.
	Left() bool
}

// Check is one asker's question.
type Check struct {
	Asker
	id rules.RequestID
}

// Batch hands several checks to the module in order, in one message.
type Batch struct {
	Owner  *Owner
	Checks []*Check
}

// Take asks the module.
func (b Batch) Take() {
	b.Owner.moment = b.Owner.Clock.Now() // one for all of them
	defer func() { b.Owner.moment = 0 }()
	for _, c := range b.Checks {
		id := b.Owner.NewID()
		if ev := c.Ask(id); ev != nil {
			// Most are answered at once and need no place in the map.
			c.id, b.Owner.asking = id, c
			b.Owner.Handle(ev)
			if b.Owner.asking != nil {
				b.Owner.asking = nil
				b.Owner.checks[id] = c
			}
		}
	}
}

// Leave calls off checks whose asker has gone: those that are not decided yet
// spend nothing.
type Leave struct {
	Owner  *Owner
	Checks []*Check
}

// Take tells the module of those that still wait.
func (l Leave) Take() {
	for _, c := range l.Checks {
		if l.Owner.checks[c.id] == c && c.Left() {
			delete(l.Owner.checks, c.id)
			l.Owner.Handle(rules.ClientDisconnected{Request: c.id})
		}
	}
}

// checked passes an answer on.
func (o *Owner) checked(a rules.CheckResult) {
	if c := o.asking; c != nil && c.id == a.ID {
		o.asking = nil
		c.Answered(a)
		return
	}
	if c := o.checks[a.ID]; c != nil {
		delete(o.checks, a.ID)
		c.Answered(a)
	}
}
