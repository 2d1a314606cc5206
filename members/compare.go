package members

// Compare returns the events that reconcile this machine with the failure detector's complete list of living members.
// Events may have been dropped, and the detector does not report denied suspicions. Lost says that an event is known to
// have been dropped: only then does a name that is missing from the list count as gone, as its end may still be queued.
func (m *Machine) Compare(living []Alive, lost bool) (events []Event) {
	latest := map[string]Alive{}
	for _, a := range living {
		if a.Life >= latest[a.Name].Life {
			latest[a.Name] = a
		}
	}
	for _, v := range m.Picture(m.now).Members {
		a, listed := latest[v.Name]
		switch {
		case v.Self:
		case listed && (!v.State.There() || a.Life != v.Life || a.Epoch != v.Epoch):
			events = append(events, a)
		case !listed && v.State.There() && lost:
			events = append(events, Failed{Name: v.Name, Life: v.Life})
		}
	}
	return events
}
