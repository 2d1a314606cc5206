package capacity

import "fmt"

// Failure describes the effect of one kind of failure on the site, as text.
type Failure struct {
	Name        string `json:"name"`
	Frequency   string `json:"often"`   // how often it occurs
	Affected    string `json:"hits"`    // how many of which machines it affects, computed from the size
	Unaffected  string `json:"goes_on"` // what continues to work
	Unavailable string `json:"stops"`   // what stops working
	Staleness   string `json:"stale"`   // how old the data of what still runs may be
	Recovery    string `json:"heals"`   // how the site recovers, and how long that takes
}

// Time units, and defaults of rollouts, agents and the leader that the texts quote.
const (
	daysPerYear              = 365.0
	minutesPerDay            = 1440.0
	silentAfterSeconds       = 10.0 // default of a rollout's silent_after
	firstRestartDelaySeconds = 0.5  // delay before an agent restarts a gateway that has exited
	maxNewLeaderWaitSeconds  = 10.0 // longest time that a new leader waits for reports of all agents
)

// failures lists the kinds of failures in the order of the page.
func (b *builder) failures(placement Placement) []Failure {
	return []Failure{
		b.singleMachine(placement),
		b.dailyMachineFailures(),
		b.dailyRestarts(),
		b.simultaneousRestarts(),
		b.rackOutage(placement),
		b.zoneOutage(placement),
		b.regionOutage(placement),
		b.regionPartition(placement),
	}
}

// expectedAmong returns how many of the given number of machines are gateways and backends, if the machines are
// drawn uniformly at random.
func (b *builder) expectedAmong(machines float64) (gateways, backends float64) {
	fraction := machines / float64(b.size.Machines())
	return fraction * float64(b.size.Site.Gateways), fraction * float64(b.size.Site.Backends)
}

// loadWithout describes the load of each remaining gateway after the loss of some.
func (b *builder) loadWithout(failedGateways float64) string {
	remaining := max(float64(b.size.Site.Gateways)-failedGateways, 1)
	rate := float64(b.size.Site.RequestsPerSecond) / remaining
	increasePercent := 100 * (rate/b.requestsPerGateway() - 1)
	return fmt.Sprintf("at %s requests a second each (%s%% more)", formatNumber(rate), formatNumber(increasePercent))
}

// afterText formats a duration in seconds as "after ...".
func afterText(q quantity) string {
	if q.unknownReason != "" {
		return "after a time that is not known"
	}
	return "after " + q.text("s")
}

// bytesText formats a number of bytes or a byte rate.
func bytesText(q quantity, unit string) string {
	if q.unknownReason != "" {
		return "bytes that are not known"
	}
	return q.text(unit)
}

// detectionText describes how soon members and the leader detect a lost gateway.
func (b *builder) detectionText() string {
	return fmt.Sprintf("members: all have given it up %s; the leader calls it silent after %s s", afterText(b.estimate(MembersDetectionTime)), formatNumber(silentAfterSeconds))
}

// snapshotTransferText says when an empty replica has all records, at the byte rate of the budget.
func (b *builder) snapshotTransferText() string {
	return afterText(b.estimate(RecordsSnapshotBytes).scale(1 / b.size.Budget.GatewayBytesPerSecond))
}

// singleMachine describes the failure of one machine.
func (b *builder) singleMachine(p Placement) Failure {
	perDay := b.size.Failures.MachinesPerDay
	total := float64(b.size.Machines())
	daysPerControlMachine := total / max(perDay*float64(b.size.Budget.ControlMachines), 1e-9)
	return Failure{
		Name:      "a machine",
		Frequency: fmt.Sprintf("a given one every %s days; one of the control machines every %s days", formatNumber(total/max(perDay, 1e-9)), formatNumber(daysPerControlMachine)),
		Affected:  "a gateway, a backend or a control machine",
		Unaffected: fmt.Sprintf("all other gateways, %s; %d voters bear the loss of %d",
			b.loadWithout(1), p.Voters, p.Voters-p.Quorum),
		Unavailable: "what the gateway held; with the leader, changes until another leads",
		Staleness:   "nobody else",
		Recovery: fmt.Sprintf("%s; a new leader goes on after at most %s s; a gateway with its replica on disk asks for the changes since, an empty one is whole %s",
			b.detectionText(), formatNumber(maxNewLeaderWaitSeconds), b.snapshotTransferText()),
	}
}

// dailyMachineFailures describes the machine failures of an ordinary day.
func (b *builder) dailyMachineFailures() Failure {
	perDay := b.size.Failures.MachinesPerDay
	gateways, backends := b.expectedAmong(perDay)
	return Failure{
		Name:        fmt.Sprintf("%s machines a day", formatNumber(perDay)),
		Frequency:   "every day",
		Affected:    fmt.Sprintf("%s gateways and %s backends of %s machines, drawn evenly", formatNumber(gateways), formatNumber(backends), formatNumber(float64(b.size.Machines()))),
		Unaffected:  "all else; each is one machine by itself",
		Unavailable: "what each held",
		Staleness:   "nobody else",
		Recovery: fmt.Sprintf("as one machine; a rollout by waves with most_silent = 1 meets %s lost gateways an hour",
			formatNumber(gateways/hoursPerDay)),
	}
}

// dailyRestarts describes the process restarts of an ordinary day.
func (b *builder) dailyRestarts() Failure {
	perDay := b.size.Failures.RestartsPerDay
	gateways, backends := b.expectedAmong(perDay)
	list := b.estimate(DiscoveryListBytes).scale(gateways / secondsPerDay / float64(b.size.Site.Gateways))
	return Failure{
		Name:        fmt.Sprintf("%s restarts a day", formatNumber(perDay)),
		Frequency:   fmt.Sprintf("one every %s s", formatNumber(secondsPerDay/max(perDay, 1e-9))),
		Affected:    fmt.Sprintf("%s gateways and %s backends, drawn evenly", formatNumber(gateways), formatNumber(backends)),
		Unaffected:  "a gateway that ends in order answers what it holds",
		Unavailable: "nothing that has been taken, where the restart is one in order",
		Staleness:   "a gateway starts with the configuration on its disk; with none, it waits for one",
		Recovery: fmt.Sprintf("an ended gateway is started after %s s; its list of backends costs %s by the mean of the day; an empty replica is whole %s",
			formatNumber(firstRestartDelaySeconds), bytesText(list, "B/s"), b.snapshotTransferText()),
	}
}

// simultaneousRestarts describes the restart of many gateways at once, all with empty replicas.
func (b *builder) simultaneousRestarts() Failure {
	burst := b.restartBurst()
	snapshot := b.estimate(RecordsSnapshotBytes)
	each := snapshot.scale(burst / max(float64(b.size.Budget.ControlMachines), 1))
	return Failure{
		Name:        "a burst of restarts",
		Frequency:   "an assumption of this page",
		Affected:    fmt.Sprintf("%s gateways in one instant, all empty", formatNumber(burst)),
		Unaffected:  fmt.Sprintf("the others, %s, until they are back", b.loadWithout(burst)),
		Unavailable: "what they held",
		Staleness:   "the empty ones take nothing before they are whole",
		Recovery: fmt.Sprintf("each control machine sends %s; at the budget each gateway is whole %s; discovery sends %s of lists",
			bytesText(each, "B"), b.snapshotTransferText(), bytesText(b.estimate(DiscoveryListBytes).scale(burst), "B")),
	}
}

// rackOutage describes the failure of a rack or its switch.
func (b *builder) rackOutage(p Placement) Failure {
	machines := float64(b.size.Assumptions.RackMachines)
	gateways, backends := b.expectedAmong(machines)
	return Failure{
		Name:        "a rack or switch",
		Frequency:   fmt.Sprintf("every %s days", formatNumber(daysPerYear/max(b.size.Failures.RacksPerYear, 1e-9))),
		Affected:    fmt.Sprintf("%s machines: %s gateways and %s backends, and one control machine at most, if no rack has two", formatNumber(machines), formatNumber(gateways), formatNumber(backends)),
		Unaffected:  fmt.Sprintf("the others, %s; %d voters of %d", b.loadWithout(gateways), p.Voters-1, p.Voters),
		Unavailable: "what its gateways held; a rollout by waves ends with some missing, or goes back where two that were told are silent",
		Staleness:   "its gateways, for as long as they are away, if it was the switch alone",
		Recovery:    b.detectionText() + "; on their return they ask for the changes since",
	}
}

// zoneOutage describes the failure of a zone, including the loss of its voters.
func (b *builder) zoneOutage(p Placement) Failure {
	zones := float64(b.size.Site.Zones)
	gateways := float64(b.size.Site.Gateways) / zones
	votersLost := p.MaxVotersInZone()
	stillWorking := fmt.Sprintf("%d voters of %d at least: changes go on", p.Voters-votersLost, p.Voters)
	unavailable := "what its gateways held"
	if p.Voters-votersLost < p.Quorum {
		stillWorking = "requests, with the configuration in force"
		unavailable += fmt.Sprintf("; with %d voters in the zone, all changes", votersLost)
	}
	return Failure{
		Name:        "a zone",
		Frequency:   fmt.Sprintf("%s times a year", formatNumber(b.size.Failures.ZonesPerYear)),
		Affected:    fmt.Sprintf("%s gateways, %s backends, %d voters at most", formatNumber(gateways), formatNumber(float64(b.size.Site.Backends)/zones), votersLost),
		Unaffected:  fmt.Sprintf("the others, %s; %s", b.loadWithout(gateways), stillWorking),
		Unavailable: unavailable,
		Staleness:   "its gateways, for as long as they are away",
		Recovery:    b.detectionText() + "; on their return they ask for the changes since, or repair by ranges",
	}
}

// regionOutage describes the failure of a region.
func (b *builder) regionOutage(p Placement) Failure {
	regions := float64(b.size.Site.Regions)
	gateways := float64(b.size.Site.Gateways) / regions
	quorumRegion := p.QuorumRegion()
	unavailable := "what its gateways held"
	unaffected := "changes, whichever region it is"
	switch {
	case b.size.Site.Regions == 1:
		return Failure{Name: "a region", Frequency: "not planned for", Affected: "the whole site", Unaffected: "nothing", Unavailable: "everything", Staleness: "-", Recovery: "a new site from `elderctl snapshot restore`"}
	case quorumRegion != 0:
		unaffected = fmt.Sprintf("changes, if it is not region %d", quorumRegion)
		unavailable += fmt.Sprintf("; if it is region %d, all changes until it is back, or until an operator runs one voter of the other with --recover", quorumRegion)
	}
	return Failure{
		Name:        "a whole region",
		Frequency:   "not planned for",
		Affected:    fmt.Sprintf("%s gateways, %s backends", formatNumber(gateways), formatNumber(float64(b.size.Site.Backends)/regions)),
		Unaffected:  fmt.Sprintf("the other gateways, %s; %s", b.loadWithout(gateways), unaffected),
		Unavailable: unavailable,
		Staleness:   "if it decided, all that is left, until one side decides again",
		Recovery:    "as a zone",
	}
}

// regionPartition describes a network partition between regions.
func (b *builder) regionPartition(p Placement) Failure {
	minutes := b.size.Failures.RegionCutMinutes
	changes := float64(b.size.Site.ChangesPerDay) * minutes / minutesPerDay
	gateways := float64(b.size.Site.Gateways) / float64(b.size.Site.Regions)
	failure := Failure{
		Name:       "regions cut from each other",
		Frequency:  fmt.Sprintf("%s times a year, %s minutes each", formatNumber(b.size.Failures.RegionCutsPerYear), formatNumber(minutes)),
		Affected:   fmt.Sprintf("%s gateways on each side hear nothing of the others", formatNumber(gateways)),
		Unaffected: "requests on both sides, each with the backends that it reaches",
		Staleness: fmt.Sprintf("the side that does not decide: up to %s minutes and %s changes (%s in the busiest minutes)",
			formatNumber(minutes), formatNumber(changes), formatNumber(changes*b.size.Assumptions.ChangePeakOverMean)),
		Recovery: fmt.Sprintf("the changes since are in force everywhere %s from the heal on; members hear each other %s", afterText(b.estimate(RecordsPropagationMax)), afterText(b.estimate(MembersPartitionRecoveryTime))),
	}
	if quorumRegion := p.QuorumRegion(); quorumRegion != 0 {
		failure.Unaffected += fmt.Sprintf("; changes in region %d, which has %d voters of %d", quorumRegion, p.VotersInRegion(quorumRegion), p.Voters)
		failure.Unavailable = fmt.Sprintf("changes, rollouts and orders on the other side: it has %d voters of %d", p.Voters-p.VotersInRegion(quorumRegion), p.Voters)
	} else {
		failure.Unavailable = "changes, rollouts and orders on all sides: none has a majority"
	}
	if b.size.Site.Regions == 1 {
		failure.Affected, failure.Unavailable = "there is one region", "nothing"
	}
	return failure
}
