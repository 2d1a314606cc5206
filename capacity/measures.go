package capacity

// Dimension is the size over which a measure is taken.
type Dimension string

// Dimensions of slopes.
const (
	Gateways          Dimension = "gateways"             // gateways of the site, each with its agent
	Records           Dimension = "records"              // routes and tenants of the site's configuration
	SiteBackends      Dimension = "backends of the site" // backends of the site, all of which a full discovery list contains
	CandidateBackends Dimension = "backends in one list" // backends among which one request is routed
	GatewaysPerTenant Dimension = "gateways a tenant comes to"
	SizeIndependent   Dimension = "one" // independent of any size; all points have size 1
)

// Measure is a quantity that can be measured at several sizes. Slope files refer to it by name.
type Measure struct {
	Name        string
	Unit        string
	Dimension   Dimension
	Form        Form // expected growth with the dimension
	Description string
}

// Names of the measures. A value for one gateway is the mean over all gateways of the run, unless the name says
// worst.
const (
	AgentBytes    = "agent.bytes_per_second"
	AgentMessages = "agent.messages_per_second"
	AgentCPU      = "agent.cpu_cores"
	AgentMemory   = "agent.memory_mb"

	LeaderCPU    = "leader.cpu_cores"
	LeaderMemory = "leader.memory_mb"
	LeaderBytes  = "leader.bytes_per_second"
	VoterCPU     = "voter.cpu_cores"
	VoterMemory  = "voter.memory_mb"
	VoterBytes   = "voter.bytes_per_second"

	MembersBytes                 = "members.bytes_per_second"
	MembersMessages              = "members.datagrams_per_second"
	MembersCPU                   = "members.cpu_cores"
	MembersMemory                = "members.memory_mb"
	MembersDetectionTime         = "members.agree_seconds"
	MembersPartitionRecoveryTime = "members.heal_seconds"

	FileBytesPerChange   = "file.bytes_per_change"
	FileLeaderPeakMemory = "file.leader_peak_mb"
	FilePropagationTime  = "file.in_force_seconds"
	FileBytesPerSecond   = "file.bytes_per_second"
	FileWorstMinute      = "file.worst_minute_bytes_per_second"
	FileLeaderCPU        = "file.leader_cpu_cores"
	FileLeaderBytesRate  = "file.leader_bytes_per_second"

	RecordsBytes             = "records.bytes_per_second"
	RecordsWorstMinute       = "records.worst_minute_bytes_per_second"
	RecordsMessages          = "records.messages_per_second"
	RecordsBytesPerChange    = "records.bytes_per_change"
	RecordsPropagationMedian = "records.in_force_median_seconds"
	RecordsPropagationP99    = "records.in_force_p99_seconds"
	RecordsPropagationMax    = "records.in_force_most_seconds"
	RecordsAgentCPU          = "records.agent_cpu_cores"
	RecordsAgentMemory       = "records.agent_memory_mb"
	RecordsSnapshotBytes     = "records.snapshot_bytes"
	RecordsServerCPU         = "records.server_cpu_cores"
	RecordsServerMemory      = "records.server_memory_mb"
	RecordsServerBytes       = "records.server_bytes_per_second"

	RequestDecisionTime = "request.decision_us"
	RequestAddedLatency = "request.added_p99_ms"
	RequestCPU          = "request.cpu_us"

	DiscoveryListBytes      = "discovery.list_bytes"
	DiscoveryChangeBytes    = "discovery.bytes_per_change"
	DiscoveryIdleWatchBytes = "discovery.bytes_per_empty_watch"

	CounterCalls = "counter.calls_per_request"
	CounterBytes = "counter.bytes_per_call"
	CounterCPU   = "counter.cpu_us_per_call"

	OperatorStatusBytes   = "operator.status_bytes"
	OperatorStatusSeconds = "operator.status_seconds"
)

// measures lists the measures that a slope file may name, in the order of the page.
var measures = []Measure{
	{AgentBytes, "B/s", Gateways, Constant, "one agent's reports and the orders it gets, both directions, on a site at rest"},
	{AgentMessages, "1/s", Gateways, Constant, "one agent's reports, on a site at rest"},
	{AgentCPU, "cores", Gateways, Constant, "one agent on a site at rest, without records"},
	{AgentMemory, "MB", Gateways, Constant, "one agent's resident memory on a site at rest, without records"},

	{LeaderCPU, "cores", Gateways, Linear, "the leader's process on a site at rest"},
	{LeaderMemory, "MB", Gateways, Linear, "the leader's resident memory on a site at rest"},
	{LeaderBytes, "B/s", Gateways, Linear, "all that the leader sends and receives on a site at rest"},
	{VoterCPU, "cores", Gateways, Linear, "a voter that does not lead, on a site at rest"},
	{VoterMemory, "MB", Gateways, Linear, "resident memory of a voter that does not lead"},
	{VoterBytes, "B/s", Gateways, Linear, "all that a voter that does not lead sends and receives on a site at rest"},

	{MembersBytes, "B/s", Gateways, Constant, "one gateway's datagrams and connections for membership, sent, at rest"},
	{MembersMessages, "1/s", Gateways, Constant, "one gateway's datagrams for membership, sent, at rest"},
	{MembersCPU, "cores", Gateways, Linear, "one idle gateway that knows the others of its site"},
	{MembersMemory, "MB", Gateways, Linear, "the largest resident memory of an idle gateway that knows the others"},
	{MembersDetectionTime, "s", Gateways, Logarithmic, "from a kill until every other gateway has given the killed one up; the longest"},
	{MembersPartitionRecoveryTime, "s", Gateways, Logarithmic, "from the end of a cut into halves until all hear all; the longest"},

	{FileBytesPerChange, "B", Records, Linear, "whole file, sent as revisions are: bytes one agent receives for one change"},
	{FileLeaderPeakMemory, "MB", Records, Linear, "whole file: the leader's largest resident memory over a change"},
	{FilePropagationTime, "s", Gateways, Linear, "whole file: from accepted until in force at every gateway; the longest"},
	{FileBytesPerSecond, "B/s", Gateways, Constant, "whole file: one gateway's control bytes over the day of changes, pressed rate turned back to the day's"},
	{FileWorstMinute, "B/s", Gateways, Constant, "whole file: the worst 60 s of any gateway"},
	{FileLeaderCPU, "cores", Gateways, Linear, "whole file: the leader's process over the day of changes"},
	{FileLeaderBytesRate, "B/s", Gateways, Linear, "whole file: what the leader sends over the day of changes"},

	{RecordsBytes, "B/s", Gateways, Constant, "records: one gateway's bytes for records, both directions, mean over the day of changes"},
	{RecordsWorstMinute, "B/s", Gateways, Constant, "records: the worst 60 s of any gateway"},
	{RecordsMessages, "1/s", Gateways, Constant, "records: requests of one gateway's agent to the control machines"},
	{RecordsBytesPerChange, "B", Records, Constant, "records: bytes one agent receives for one change of one record"},
	{RecordsPropagationMedian, "s", Gateways, Logarithmic, "records: from accepted until in force at every gateway; median of the day's changes"},
	{RecordsPropagationP99, "s", Gateways, Logarithmic, "records: the same; 99th of 100"},
	{RecordsPropagationMax, "s", Gateways, Logarithmic, "records: the same; the longest"},
	{RecordsAgentCPU, "cores", Gateways, Constant, "records: one agent's part for records"},
	{RecordsAgentMemory, "MB", Records, Linear, "records: one agent's resident memory for a replica of so many records, with the copy on its way to disk"},
	{RecordsSnapshotBytes, "B", Records, Linear, "records: bytes an empty replica receives until it is whole"},
	{RecordsServerCPU, "cores", Gateways, Linear, "records: the busiest control process"},
	{RecordsServerMemory, "MB", Gateways, Linear, "records: the largest resident memory of a control process"},
	{RecordsServerBytes, "B/s", Gateways, Linear, "records: what the busiest control process sends and receives"},

	{RequestDecisionTime, "us", CandidateBackends, Linear, "CPU of one request's decisions, with the housekeeping of its share, in a site of 610 gateways"},
	{RequestAddedLatency, "ms", CandidateBackends, Linear, "time added to a request at the 99th of 100"},
	{RequestCPU, "us", CandidateBackends, Linear, "CPU of the gateway's process for one request, sockets and all"},

	{DiscoveryListBytes, "B", SiteBackends, Linear, "one whole list, call and answer"},
	{DiscoveryChangeBytes, "B", SiteBackends, Constant, "one backend's change, call and answer"},
	{DiscoveryIdleWatchBytes, "B", SiteBackends, Constant, "one watch that ends without news, call and answer"},

	{CounterCalls, "1", GatewaysPerTenant, Interpolated, "calls to the counter for one request, at a gateway's 279 requests a second"},
	{CounterBytes, "B", SizeIndependent, Constant, "one call to the counter with its answer, without headers of TCP and IP"},
	{CounterCPU, "us", SizeIndependent, Constant, "the counter's CPU for one call"},

	{OperatorStatusBytes, "B", Gateways, Linear, "one answer to elderctl instances --json"},
	{OperatorStatusSeconds, "s", Gateways, Linear, "one run of elderctl instances --json"},
}

// Measures returns all measures that a slope file may name.
func Measures() []Measure { return append([]Measure(nil), measures...) }

// findMeasure returns the measure with this name.
func findMeasure(name string) (Measure, bool) {
	for _, m := range measures {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}
