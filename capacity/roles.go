package capacity

import (
	"fmt"

	"elderyard/members"
	"elderyard/revisions"
)

// Time units, and the defaults and intervals of the present implementation.
const (
	secondsPerDay         = 86_400.0
	hoursPerDay           = 24.0
	microsPerSecond       = 1e6
	microsPerMilli        = 1e3
	defaultSoakSeconds    = 20.0 // default of a rollout's soak_for
	defaultWaves          = 3.0  // one instance, a quarter, all
	reportIntervalSeconds = 2.0  // between two reports of an agent
	watchTimeoutSeconds   = 4.0  // duration of a discovery watch that reports no change
)

// Mechanisms that several requirements name.
const (
	fullFile            = "a revision of one file, pulled whole by each agent in waves"
	plannedRecords      = "records, sent as changes, pulled from any control machine"
	plannedQuotaBatches = "calls to the counter in batches, by region"
	plannedPartialList  = "the list by service, and by change"
	plannedSubsetting   = "a gateway's choice among few backends of a service"
	swim                = "SWIM with Lifeguard (elderyard-peers)"
	reportsAndOrders    = "a report every 2 s, orders with the answer"
)

// requestsPerGateway returns the peak request rate of a gateway, with the load evenly spread.
func (b *builder) requestsPerGateway() float64 {
	return float64(b.size.Site.RequestsPerSecond) / float64(b.size.Site.Gateways)
}

// meanServiceBackends returns the mean number of backends of a service.
func (b *builder) meanServiceBackends() float64 {
	return float64(b.size.Site.Backends) / float64(b.size.Site.Services)
}

// largestServiceBackends returns the number of backends of the largest service.
func (b *builder) largestServiceBackends() float64 {
	return max(b.size.Assumptions.LargestServiceShare*float64(b.size.Site.Backends), 1)
}

// requestPath adds the requirements of the request path of a gateway.
func (b *builder) requestPath() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, planned, comment string) {
		b.add(requirementSpec{RequestPath, kind, item, "rules/, one pure module a gateway", planned, unit, value, budget, comment})
	}
	rate := b.requestsPerGateway()
	add(Messages, "requests at the peak, evenly spread", "1/s", computed(rate), 0, "", "")
	for _, list := range []struct {
		backends float64
		item     string
		planned  string
	}{
		{b.meanServiceBackends(), "a service of mean size", ""},
		{b.largestServiceBackends(), "the largest service", plannedSubsetting},
	} {
		decision := b.estimates.estimate(RequestDecisionTime, list.backends)
		item := fmt.Sprintf("%s, %s backends", list.item, formatNumber(list.backends))
		add(Time, "one decision, "+item, "ms", decision.scale(1/microsPerMilli), b.size.Budget.AddedMilliseconds, list.planned, "the decision's CPU alone, beside the whole of what may be added")
		add(CPU, "decisions, "+item, "cores", decision.scale(rate/microsPerSecond), 0, list.planned, "not of the budget for control")
	}
	add(Time, "added to a request, 99 in 100", "ms", b.estimate(RequestAddedLatency), b.size.Budget.AddedMilliseconds, "", "")
	add(CPU, "all of a request, sockets too", "cores", b.estimate(RequestCPU).scale(rate/microsPerSecond), 0, "", "not of the budget for control")
}

// membership adds the requirements of a gateway as a member of the site.
func (b *builder) membership() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Membership, kind, item, swim, "", unit, value, budget, comment})
	}
	add(State, "members that a gateway knows", "", computed(float64(b.size.Site.Gateways)), members.MaxRosterSize, "the budget is the largest roster that is accepted today")
	add(Messages, "datagrams", "1/s", b.estimate(MembersMessages), 0, "")
	add(Bytes, "sent", "B/s", b.estimate(MembersBytes), b.size.Budget.GatewayBytesPerSecond, "")
	add(CPU, "an idle gateway with members", "cores", b.estimate(MembersCPU), b.size.Budget.GatewayCores, "the whole idle gateway")
	add(Memory, "an idle gateway with members", "MB", b.estimate(MembersMemory), b.size.Budget.GatewayMemoryMB, "the whole idle gateway")
	add(Time, "until all have given a killed one up", "s", b.estimate(MembersDetectionTime), 0, "")
	add(Time, "until all hear all after a cut in halves", "s", b.estimate(MembersPartitionRecoveryTime), 0, "")
}

// discovery adds the requirements of a gateway's discovery client.
func (b *builder) discovery() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, planned, comment string) {
		b.add(requirementSpec{Discovery, kind, item, "the whole list at a start, then changes", planned, unit, value, budget, comment})
	}
	list := b.estimate(DiscoveryListBytes)
	add(State, "backends in a gateway's list", "", computed(float64(b.size.Site.Backends)), 0, "", "")
	add(Bytes, "one whole list", "B", list, 0, plannedPartialList, "")
	add(Time, "one whole list at the budget's bytes a second", "s", list.scale(1/b.size.Budget.GatewayBytesPerSecond), b.size.Assumptions.ListSeconds, plannedPartialList, "each start, and each time that discovery has dropped the version; the bound is ours")
	add(Bytes, "lists, mean of the day's starts", "B/s", b.listBytesPerSecond(), b.size.Budget.GatewayBytesPerSecond, plannedPartialList, "")
	add(Bytes, "watches without news", "B/s", b.idleWatchBytesPerSecond(), b.size.Budget.GatewayBytesPerSecond, "", "each ends after 4 s")
	add(Bytes, "changes, mean of the day", "B/s", b.backendChangeBytesPerSecond(), b.size.Budget.GatewayBytesPerSecond, "", "a backend that fails or restarts is two changes")
}

// eventsPerMachineDay returns how many failures and process restarts a machine of the site has per day.
func (b *builder) eventsPerMachineDay() float64 {
	return (b.size.Failures.MachinesPerDay + b.size.Failures.RestartsPerDay) / float64(b.size.Machines())
}

// listBytesPerSecond returns the byte rate of the full lists that a gateway fetches when it starts, averaged
// over the day.
func (b *builder) listBytesPerSecond() quantity {
	return b.estimate(DiscoveryListBytes).scale(b.eventsPerMachineDay() / secondsPerDay)
}

// backendChangeBytesPerSecond returns the byte rate of backend changes that a gateway receives.
func (b *builder) backendChangeBytesPerSecond() quantity {
	changes := 2 * b.eventsPerMachineDay() * float64(b.size.Site.Backends)
	return b.estimate(DiscoveryChangeBytes).scale(changes / secondsPerDay)
}

// idleWatchBytesPerSecond returns the byte rate of watches that end without a change, for one gateway.
func (b *builder) idleWatchBytesPerSecond() quantity {
	return b.estimate(DiscoveryIdleWatchBytes).scale(1 / watchTimeoutSeconds)
}

func (b *builder) configuration() {
	b.configurationByFile()
	b.configurationByRecords()
}

// fileBytesPerSecond returns the byte rate of a gateway that receives the full file at each change, averaged
// over the day.
func (b *builder) fileBytesPerSecond() quantity {
	return b.estimate(FileBytesPerChange).scale(float64(b.size.Site.ChangesPerDay) / secondsPerDay)
}

// configurationByFile adds the requirements of configuration that is distributed as full files.
func (b *builder) configurationByFile() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Configuration, kind, "whole file: " + item, fullFile, plannedRecords, unit, value, budget, comment})
	}
	budget := &b.size.Budget
	change := b.estimate(FileBytesPerChange)
	fileBytes := computed(float64(b.size.Entries()) * b.size.Assumptions.RecordBytes)
	add(State, "all entries in one file", "B", fileBytes, revisions.MaxFileBytes, "the budget is the largest file that is accepted today")
	add(Bytes, "mean of the day's changes", "B/s", b.fileBytesPerSecond(), budget.GatewayBytesPerSecond, "")
	add(Time, "one change at the budget's bytes a second", "s", change.scale(1/budget.GatewayBytesPerSecond), budget.InForceSeconds, "")
	add(Time, "one change by waves, no soak, all away at once", "s", b.estimate(FilePropagationTime), budget.InForceSeconds, "")
	add(Time, "one change by waves, with the default soaks, all away at once", "s", b.estimate(FilePropagationTime).add(computed(defaultWaves*defaultSoakSeconds)), budget.InForceSeconds, "20 s in each of 3 waves")
	add(Time, "one change by waves, with the default policy", "s", b.defaultRolloutSeconds(), budget.InForceSeconds, "most_away = 1: the next is told when the one before has reported that it is ready")
	add(Time, "changes that the history holds, at the day's rate", "h", b.historyHours(), 0, "")
	add(Bytes, "mean of a day as measured", "B/s", b.estimate(FileBytesPerSecond), budget.GatewayBytesPerSecond, "")
	add(Bytes, "worst 60 s of any gateway", "B/s", b.estimate(FileWorstMinute), budget.GatewayBytesPerSecond, "")
}

// configurationByRecords adds the requirements of configuration that is distributed as records.
func (b *builder) configurationByRecords() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Configuration, kind, "records: " + item, plannedRecords, "", unit, value, budget, comment})
	}
	budget := &b.size.Budget
	add(State, "records in a gateway's replica", "", computed(float64(b.size.Entries())), 0, "")
	add(Messages, "requests", "1/s", b.estimate(RecordsMessages), 0, "")
	add(Bytes, "mean of the day", "B/s", b.estimate(RecordsBytes), budget.GatewayBytesPerSecond, "")
	add(Bytes, "worst 60 s of any gateway", "B/s", b.estimate(RecordsWorstMinute), budget.GatewayBytesPerSecond, "")
	add(Bytes, "one change", "B", b.estimate(RecordsBytesPerChange), 0, "")
	add(CPU, "the agent's part", "cores", b.estimate(RecordsAgentCPU), budget.GatewayCores, "")
	add(Memory, "the agent with its replica", "MB", b.estimate(RecordsAgentMemory), budget.GatewayMemoryMB, "")
	add(Time, "in force everywhere, median", "s", b.estimate(RecordsPropagationMedian), budget.InForceSeconds, "")
	add(Time, "in force everywhere, 99 in 100", "s", b.estimate(RecordsPropagationP99), budget.InForceSeconds, "")
	add(Time, "in force everywhere, longest", "s", b.estimate(RecordsPropagationMax), budget.InForceSeconds, "")
	add(Time, "an empty replica whole, at the budget's bytes a second", "s", b.estimate(RecordsSnapshotBytes).scale(1/budget.GatewayBytesPerSecond), 0, "the newest changes come first meanwhile")
}

// defaultRolloutSeconds returns a lower bound of the duration of a rollout with the default policy: one report
// interval per gateway, since only one may be away at a time, plus the soak time of each wave.
func (b *builder) defaultRolloutSeconds() quantity {
	return quantity{
		lowerBound:    reportIntervalSeconds*float64(b.size.Site.Gateways) + defaultWaves*defaultSoakSeconds,
		unknownReason: "a lower bound",
	}
}

// historyHours returns the time span that the history of full files covers.
func (b *builder) historyHours() quantity {
	size := b.estimate(FileBytesPerChange)
	if size.unknownReason != "" {
		return size
	}
	changes := min(revisions.MaxHistoryBytes/size.value, revisions.MaxRevisions)
	size.value = changes * hoursPerDay / float64(b.size.Site.ChangesPerDay)
	size.upperBound, size.lowerBound = size.value, size.value
	return size
}

// counterCallsPerSecond returns the peak call rate of all gateways to the counter.
func (b *builder) counterCallsPerSecond() quantity {
	return b.estimate(CounterCalls).scale(float64(b.size.Site.RequestsPerSecond))
}

// quotaBytesPerSecond returns the peak byte rate of one gateway's calls to the counter.
func (b *builder) quotaBytesPerSecond() quantity {
	return b.estimate(CounterCalls).scale(b.requestsPerGateway()).multiply(b.estimate(CounterBytes))
}

// quotas adds the requirements of a gateway's calls to the counter.
func (b *builder) quotas() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Quotas, kind, item, "calls to the shared counter; local shares while it is away", plannedQuotaBatches, unit, value, budget, comment})
	}
	calls := b.estimate(CounterCalls).scale(b.requestsPerGateway())
	bytes := b.quotaBytesPerSecond()
	budget, comment := 0.0, fmt.Sprintf("counted as control it would be %s times the budget", ratioText(bytes, b.size.Budget.GatewayBytesPerSecond))
	if b.size.Assumptions.QuotaCallsAreControl {
		budget, comment = b.size.Budget.GatewayBytesPerSecond, "counted as control"
	}
	add(State, "tenants, of which a gateway keeps those that come to it", "", computed(float64(b.size.Site.Tenants)), 0, "")
	add(Messages, fmt.Sprintf("calls at the peak, a tenant at %s gateways", formatNumber(float64(b.size.Assumptions.GatewaysPerTenant))), "1/s", calls, 0, "")
	add(Bytes, "calls at the peak", "B/s", bytes, budget, comment)
}

// ratioText formats the ratio of a quantity to a budget.
func ratioText(q quantity, budget float64) string {
	if q.unknownReason != "" {
		return "an unknown number of"
	}
	return formatNumber(q.value / budget)
}

// agent adds the requirements of an agent without records.
func (b *builder) agent() {
	add := func(kind Kind, item, unit string, value quantity, budget float64) {
		b.add(requirementSpec{Agent, kind, item, reportsAndOrders, "", unit, value, budget, "without records"})
	}
	budget := &b.size.Budget
	add(State, "gateways of its machine", "", computed(1), 0)
	add(Messages, "reports", "1/s", b.estimate(AgentMessages), 0)
	add(Bytes, "reports and orders", "B/s", b.estimate(AgentBytes), budget.GatewayBytesPerSecond)
	add(CPU, "at rest", "cores", b.estimate(AgentCPU), budget.GatewayCores)
	add(Memory, "at rest", "MB", b.estimate(AgentMemory), budget.GatewayMemoryMB)
}

// gatewayTotal adds up what counts as control on a gateway's machine, for each of the two ways to distribute the
// configuration.
func (b *builder) gatewayTotal() {
	budget := &b.size.Budget
	bytes := b.estimate(AgentBytes).add(b.estimate(MembersBytes)).add(b.listBytesPerSecond()).add(b.idleWatchBytesPerSecond()).add(b.backendChangeBytesPerSecond())
	if b.size.Assumptions.QuotaCallsAreControl {
		bytes = bytes.add(b.quotaBytesPerSecond())
	}
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{GatewayTotal, kind, item, "the sum of the roles above", "", unit, value, budget, comment})
	}
	add(Bytes, "configuration as whole files", "B/s", bytes.add(b.fileBytesPerSecond()), budget.GatewayBytesPerSecond, "mean of the day")
	add(Bytes, "configuration as records", "B/s", bytes.add(b.estimate(RecordsBytes)), budget.GatewayBytesPerSecond, "mean of the day")
	add(CPU, "configuration as records", "cores", b.estimate(AgentCPU).add(b.estimate(MembersCPU)).add(b.estimate(RecordsAgentCPU)), budget.GatewayCores, "with the whole idle gateway")
	add(Memory, "configuration as records", "MB", b.estimate(RecordsAgentMemory).add(b.estimate(MembersMemory)), budget.GatewayMemoryMB, "with the whole idle gateway; the agent's memory is in that of its replica")
}

// voter adds the requirements of a control machine, as the leader and as another voter.
func (b *builder) voter() {
	add := func(kind Kind, item, mechanism, planned, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Voter, kind, item, mechanism, planned, unit, value, budget, comment})
	}
	machine := &b.size.Assumptions
	const raft = "raft among the voters; the leader hears all agents"
	add(State, "agents that the leader hears", raft, "", "", computed(float64(b.size.Site.Gateways)), 0, "")
	add(Messages, "reports to the leader", raft, "", "1/s", b.estimate(AgentMessages).scale(float64(b.size.Site.Gateways)), 0, "")
	add(Bytes, "leader at rest", raft, "", "B/s", b.estimate(LeaderBytes), machine.ControlBytesPerSecond, "")
	add(CPU, "leader at rest", raft, "", "cores", b.estimate(LeaderCPU), machine.ControlCores, "")
	add(Memory, "leader at rest", raft, "", "MB", b.estimate(LeaderMemory), machine.ControlMemoryMB, "")
	add(Bytes, "another voter at rest", raft, "", "B/s", b.estimate(VoterBytes), machine.ControlBytesPerSecond, "")
	add(CPU, "another voter at rest", raft, "", "cores", b.estimate(VoterCPU), machine.ControlCores, "")
	add(Memory, "another voter at rest", raft, "", "MB", b.estimate(VoterMemory), machine.ControlMemoryMB, "")

	sent := b.estimate(FileBytesPerChange).scale(float64(b.size.Site.Gateways))
	add(Bytes, "whole file: one change, from the leader to all", fullFile, plannedRecords, "B", sent, 0, "")
	add(Time, "whole file: that at the machine's bytes a second", fullFile, plannedRecords, "s", sent.scale(1/machine.ControlBytesPerSecond), b.size.Budget.InForceSeconds, "nothing else on the link")
	add(Memory, "whole file: leader's peak in a change", fullFile, plannedRecords, "MB", b.estimate(FileLeaderPeakMemory), machine.ControlMemoryMB, "")
	add(Bytes, "whole file: leader over the day", fullFile, plannedRecords, "B/s", b.estimate(FileLeaderBytesRate), machine.ControlBytesPerSecond, "")
	add(CPU, "whole file: leader over the day", fullFile, plannedRecords, "cores", b.estimate(FileLeaderCPU), machine.ControlCores, "")
	add(Bytes, "records: the busiest control process", plannedRecords, "", "B/s", b.estimate(RecordsServerBytes), machine.ControlBytesPerSecond, "")
	add(CPU, "records: the busiest control process", plannedRecords, "", "cores", b.estimate(RecordsServerCPU), machine.ControlCores, "")
	add(Memory, "records: a control process", plannedRecords, "", "MB", b.estimate(RecordsServerMemory), machine.ControlMemoryMB, "")
	burst := b.estimate(RecordsSnapshotBytes).scale(b.restartBurst())
	add(Bytes, "records: a burst of empty replicas, all of their bytes", plannedRecords, "", "B", burst, 0, fmt.Sprintf("%s gateways in one instant", formatNumber(b.restartBurst())))
}

// restartBurst returns the number of gateways that may be restarted at the same time.
func (b *builder) restartBurst() float64 {
	return b.size.Assumptions.RestartBurstShare * float64(b.size.Site.Gateways)
}

// counter adds the requirements of the shared counter.
func (b *builder) counter() {
	add := func(kind Kind, item, unit string, value quantity, comment string) {
		b.add(requirementSpec{Counter, kind, item, "one counter for all gateways", plannedQuotaBatches, unit, value, 0, comment})
	}
	calls := b.counterCallsPerSecond()
	add(State, "tenants with a window each", "", computed(float64(b.size.Site.Tenants)), "")
	add(Messages, "calls at the peak", "1/s", calls, "the counter is the platform's; what it bears is not given")
	add(Bytes, "calls at the peak", "B/s", calls.multiply(b.estimate(CounterBytes)), "")
	add(CPU, "calls at the peak", "cores", calls.multiply(b.estimate(CounterCPU)).scale(1/microsPerSecond), "")
}

// registry adds the requirements of the discovery server.
func (b *builder) registry() {
	add := func(kind Kind, item, unit string, value quantity, budget float64, comment string) {
		b.add(requirementSpec{Registry, kind, item, "one watch a gateway", plannedPartialList, unit, value, budget, comment})
	}
	watches := float64(b.size.Site.Gateways)
	burst := b.estimate(DiscoveryListBytes).scale(b.restartBurst())
	add(State, "watches held", "", computed(watches), 0, "")
	add(Messages, "changes told to all gateways, mean of the day", "1/s", computed(2*b.eventsPerMachineDay()*float64(b.size.Site.Backends)*watches/secondsPerDay), 0, "a backend that fails or restarts is two changes")
	add(Bytes, "whole lists to a burst of starts", "B", burst, 0, fmt.Sprintf("%s gateways in one instant", formatNumber(b.restartBurst())))
	add(Time, "that at a control machine's bytes a second", "s", burst.scale(1/b.size.Assumptions.ControlBytesPerSecond), b.size.Assumptions.ListSeconds, "the platform's discovery may have another link")
}

// tool adds the requirements of the operator's tool.
func (b *builder) tool() {
	add := func(kind Kind, item, unit string, value quantity) {
		b.add(requirementSpec{Tool, kind, item, "one call to any agent, which has the leader answer", "", unit, value, 0, ""})
	}
	add(State, "gateways in one answer", "", computed(float64(b.size.Site.Gateways)))
	add(Bytes, "elderctl instances --json", "B", b.estimate(OperatorStatusBytes))
	add(Time, "elderctl instances --json", "s", b.estimate(OperatorStatusSeconds))
}
