package members

// Compare returns what brings this machine to the detector's whole list of those
// living. Some events may have found no room, and the detector tells nobody that a
// suspicion was denied. Lost says that an event is known to have been lost: only then
// does a name that is not on the list count as gone, since its end may be on its way.
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
