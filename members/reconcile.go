package members

// Reconcile returns the events that bring the machine in line with the failure detector's complete list of living
// members: events may have been dropped, and the detector does not report refuted suspicions. The caller passes them to
// Handle. If eventsDropped is false, a name that is missing from the list does not count as failed, since the event of
// its end may still be queued.
func (m *Machine) Reconcile(alive []Alive, eventsDropped bool) (events []Event) {
	latest := map[string]Alive{}
	for _, a := range alive {
		if a.Incarnation >= latest[a.Name].Incarnation {
			latest[a.Name] = a
		}
	}
	for _, v := range m.View(m.now).Members {
		a, listed := latest[v.Name]
		switch {
		case v.Self:
		case listed && (!v.State.Alive() || a.Incarnation != v.Incarnation || a.Epoch != v.Epoch):
			events = append(events, a)
		case !listed && v.State.Alive() && eventsDropped:
			events = append(events, Failed{Name: v.Name, Incarnation: v.Incarnation})
		}
	}
	return events
}
