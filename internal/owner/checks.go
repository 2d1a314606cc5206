package owner

import "linnetbend/rules"

// Check is a question to the module about a quota, and where its answer goes. Its
// functions run in the owner's goroutine and must not wait.
type Check struct {
	// Ask makes the event from the id that the owner gives; nil where none is needed any more.
	Ask func(rules.RequestID) rules.Event
	// Answered is told the module's answer.
	Answered func(rules.Checked)
	// Left tells whether to call the check off when its asker has gone; nil: always.
	Left func() bool

	id rules.RequestID
}

// Batch hands several checks to the module in order, in one message.
type Batch struct {
	Owner  *Owner
	Checks []*Check
}

// Take asks the module.
func (b Batch) Take() {
	for _, c := range b.Checks {
		id := b.Owner.NewID()
		if ev := c.Ask(id); ev != nil {
			c.id = id
			b.Owner.checks[id] = c
			b.Owner.Handle(ev)
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
		if l.Owner.checks[c.id] == c && (c.Left == nil || c.Left()) {
			delete(l.Owner.checks, c.id)
			l.Owner.Handle(rules.ClientGone{Request: c.id})
		}
	}
}

// checked passes an answer on.
func (o *Owner) checked(a rules.Checked) {
	if c := o.checks[a.ID]; c != nil {
		delete(o.checks, a.ID)
		c.Answered(a)
	}
}
