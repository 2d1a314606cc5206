package capacity

import "fmt"

// Failure is what a kind of failure does to the site.
type Failure struct {
	Name   string `json:"name"`
	Often  string `json:"often"`
	Hits   string `json:"hits"`    // how many of what are gone, by arithmetic
	GoesOn string `json:"goes_on"` // what goes on
	Stops  string `json:"stops"`   // what stops
	Stale  string `json:"stale"`   // how old what is known may be
	Heals  string `json:"heals"`   // how it heals, and how long that takes
}

const (
	daysPerYear   = 365.0
	minutesPerDay = 1440.0
	silentAfter   = 10.0 // seconds, silent_after of a rollout that names none
	firstRestart  = 0.5  // seconds before an agent starts an ended gateway again
	settleAtMost  = 10.0 // seconds that a new leader waits to hear all agents
)

func (b *builder) failures(placement Placement) []Failure {
	return []Failure{
		b.oneMachine(placement),
		b.ordinaryDay(),
		b.restartsOfADay(),
		b.restartBurstAtOnce(),
		b.rack(placement),
		b.zone(placement),
		b.region(placement),
		b.regionCut(placement),
	}
}

// share is the number of gateways and backends among so many machines, drawn
// evenly.
func (b *builder) share(machines float64) (gateways, backends float64) {
	part := machines / float64(b.size.Machines())
	return part * float64(b.size.Site.Gateways), part * float64(b.size.Site.Backends)
}

// load is what each gateway that is left has to take.
func (b *builder) load(lost float64) string {
	left := max(float64(b.size.Site.Gateways)-lost, 1)
	rate := float64(b.size.Site.RequestsPerSecond) / left
	more := 100 * (rate/b.requestsPerGateway() - 1)
	return fmt.Sprintf("at %s requests a second each (%s%% more)", number(rate), number(more))
}

// after is when something is done.
func after(q quantity) string {
	if q.unknown != "" {
		return "after a time that is not known"
	}
	return "after " + q.text("s")
}

// amount is a number of bytes, or of bytes a second.
func amount(q quantity, unit string) string {
	if q.unknown != "" {
		return "bytes that are not known"
	}
	return q.text(unit)
}

func (b *builder) detection() string {
	return fmt.Sprintf("members: all have given it up %s; the leader calls it silent after %s s", after(b.of(MembersAgree)), number(silentAfter))
}

// wholeAgain is when an empty replica is whole, at the budget's bytes a second.
func (b *builder) wholeAgain() string {
	return after(b.of(RecordsSnapshotBytes).times(1 / b.size.Budget.GatewayBytesPerSecond))
}

func (b *builder) oneMachine(p Placement) Failure {
	perDay := b.size.Failures.MachinesPerDay
	total := float64(b.size.Machines())
	control := total / max(perDay*float64(b.size.Budget.ControlMachines), 1e-9)
	return Failure{
		Name:  "a machine",
		Often: fmt.Sprintf("a given one every %s days; one of the control machines every %s days", number(total/max(perDay, 1e-9)), number(control)),
		Hits:  "a gateway, a backend or a control machine",
		GoesOn: fmt.Sprintf("all other gateways, %s; %d voters bear the loss of %d",
			b.load(1), p.Voters, p.Voters-p.Majority),
		Stops: "what the gateway held; with the leader, changes until another leads",
		Stale: "nobody else",
		Heals: fmt.Sprintf("%s; a new leader goes on after at most %s s; a gateway with its replica on disk asks for the changes since, an empty one is whole %s",
			b.detection(), number(settleAtMost), b.wholeAgain()),
	}
}

func (b *builder) ordinaryDay() Failure {
	perDay := b.size.Failures.MachinesPerDay
	gateways, backends := b.share(perDay)
	return Failure{
		Name:   fmt.Sprintf("%s machines a day", number(perDay)),
		Often:  "every day",
		Hits:   fmt.Sprintf("%s gateways and %s backends of %s machines, drawn evenly", number(gateways), number(backends), number(float64(b.size.Machines()))),
		GoesOn: "all else; each is one machine by itself",
		Stops:  "what each held",
		Stale:  "nobody else",
		Heals: fmt.Sprintf("as one machine; a rollout by waves with most_silent = 1 meets %s lost gateways an hour",
			number(gateways/hoursPerDay)),
	}
}

func (b *builder) restartsOfADay() Failure {
	perDay := b.size.Failures.RestartsPerDay
	gateways, backends := b.share(perDay)
	list := b.of(DiscoveryListBytes).times(gateways / secondsPerDay / float64(b.size.Site.Gateways))
	return Failure{
		Name:   fmt.Sprintf("%s restarts a day", number(perDay)),
		Often:  fmt.Sprintf("one every %s s", number(secondsPerDay/max(perDay, 1e-9))),
		Hits:   fmt.Sprintf("%s gateways and %s backends, drawn evenly", number(gateways), number(backends)),
		GoesOn: "a gateway that ends in order answers what it holds",
		Stops:  "nothing that has been taken, where the restart is one in order",
		Stale:  "a gateway starts with the configuration on its disk; with none, it waits for one",
		Heals: fmt.Sprintf("an ended gateway is started after %s s; its list of backends costs %s by the mean of the day; an empty replica is whole %s",
			number(firstRestart), amount(list, "B/s"), b.wholeAgain()),
	}
}

func (b *builder) restartBurstAtOnce() Failure {
	burst := b.restartBurst()
	snapshot := b.of(RecordsSnapshotBytes)
	each := snapshot.times(burst / max(float64(b.size.Budget.ControlMachines), 1))
	return Failure{
		Name:   "a burst of restarts",
		Often:  "an assumption of this page",
		Hits:   fmt.Sprintf("%s gateways in one instant, all empty", number(burst)),
		GoesOn: fmt.Sprintf("the others, %s, until they are back", b.load(burst)),
		Stops:  "what they held",
		Stale:  "the empty ones take nothing before they are whole",
		Heals: fmt.Sprintf("each control machine sends %s; at the budget each gateway is whole %s; discovery sends %s of lists",
			amount(each, "B"), b.wholeAgain(), amount(b.of(DiscoveryListBytes).times(burst), "B")),
	}
}

func (b *builder) rack(p Placement) Failure {
	machines := float64(b.size.Assumptions.RackMachines)
	gateways, backends := b.share(machines)
	return Failure{
		Name:   "a rack or switch",
		Often:  fmt.Sprintf("every %s days", number(daysPerYear/max(b.size.Failures.RacksPerYear, 1e-9))),
		Hits:   fmt.Sprintf("%s machines: %s gateways and %s backends, and one control machine at most, if no rack has two", number(machines), number(gateways), number(backends)),
		GoesOn: fmt.Sprintf("the others, %s; %d voters of %d", b.load(gateways), p.Voters-1, p.Voters),
		Stops:  "what its gateways held; a rollout by waves ends with some missing, or goes back where two that were told are silent",
		Stale:  "its gateways, for as long as they are away, if it was the switch alone",
		Heals:  b.detection() + "; on their return they ask for the changes since",
	}
}

func (b *builder) zone(p Placement) Failure {
	zones := float64(b.size.Site.Zones)
	gateways := float64(b.size.Site.Gateways) / zones
	lost := p.MostVotersInZone()
	decides := fmt.Sprintf("%d voters of %d at least: changes go on", p.Voters-lost, p.Voters)
	stops := "what its gateways held"
	if p.Voters-lost < p.Majority {
		decides = "requests, with the configuration in force"
		stops += fmt.Sprintf("; with %d voters in the zone, all changes", lost)
	}
	return Failure{
		Name:   "a zone",
		Often:  fmt.Sprintf("%s times a year", number(b.size.Failures.ZonesPerYear)),
		Hits:   fmt.Sprintf("%s gateways, %s backends, %d voters at most", number(gateways), number(float64(b.size.Site.Backends)/zones), lost),
		GoesOn: fmt.Sprintf("the others, %s; %s", b.load(gateways), decides),
		Stops:  stops,
		Stale:  "its gateways, for as long as they are away",
		Heals:  b.detection() + "; on their return they ask for the changes since, or repair by ranges",
	}
}

func (b *builder) region(p Placement) Failure {
	regions := float64(b.size.Site.Regions)
	gateways := float64(b.size.Site.Gateways) / regions
	deciding := p.DecidingRegion()
	stops := "what its gateways held"
	goes := "changes, whichever region it is"
	switch {
	case b.size.Site.Regions == 1:
		return Failure{Name: "a region", Often: "not planned for", Hits: "the whole site", GoesOn: "nothing", Stops: "everything", Stale: "-", Heals: "a new site from `elderctl snapshot restore`"}
	case deciding != 0:
		goes = fmt.Sprintf("changes, if it is not region %d", deciding)
		stops += fmt.Sprintf("; if it is region %d, all changes until it is back, or until an operator runs one voter of the other with --recover", deciding)
	}
	return Failure{
		Name:   "a whole region",
		Often:  "not planned for",
		Hits:   fmt.Sprintf("%s gateways, %s backends", number(gateways), number(float64(b.size.Site.Backends)/regions)),
		GoesOn: fmt.Sprintf("the other gateways, %s; %s", b.load(gateways), goes),
		Stops:  stops,
		Stale:  "if it decided, all that is left, until one side decides again",
		Heals:  "as a zone",
	}
}

func (b *builder) regionCut(p Placement) Failure {
	minutes := b.size.Failures.RegionCutMinutes
	changes := float64(b.size.Site.ChangesPerDay) * minutes / minutesPerDay
	gateways := float64(b.size.Site.Gateways) / float64(b.size.Site.Regions)
	failure := Failure{
		Name:   "regions cut from each other",
		Often:  fmt.Sprintf("%s times a year, %s minutes each", number(b.size.Failures.RegionCutsPerYear), number(minutes)),
		Hits:   fmt.Sprintf("%s gateways on each side hear nothing of the others", number(gateways)),
		GoesOn: "requests on both sides, each with the backends that it reaches",
		Stale: fmt.Sprintf("the side that does not decide: up to %s minutes and %s changes (%s in the busiest minutes)",
			number(minutes), number(changes), number(changes*b.size.Assumptions.ChangePeakOverMean)),
		Heals: fmt.Sprintf("the changes since are in force everywhere %s from the heal on; members hear each other %s", after(b.of(RecordsInForceMost)), after(b.of(MembersHeal))),
	}
	if deciding := p.DecidingRegion(); deciding != 0 {
		failure.GoesOn += fmt.Sprintf("; changes in region %d, which has %d voters of %d", deciding, p.VotersIn(deciding), p.Voters)
		failure.Stops = fmt.Sprintf("changes, rollouts and orders on the other side: it has %d voters of %d", p.Voters-p.VotersIn(deciding), p.Voters)
	} else {
		failure.Stops = "changes, rollouts and orders on all sides: none has a majority"
	}
	if b.size.Site.Regions == 1 {
		failure.Hits, failure.Stops = "there is one region", "nothing"
	}
	return failure
}
