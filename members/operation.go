package members

// Operation is an action that depends on the state of other members.
type Operation int

// The operations. Their texts, returned by String, are part of elderctl's output.
const (
	ExerciseLease        Operation = iota // act as the holder of a lease that was granted elsewhere
	RaiseQuota                            // decrease the divisor of quotas to the safe count
	CountPeerUsage                        // count the usage that peers report
	DivideWarmUpCapacity                  // divide the capacity of a backend that is warming up by the likely count
	EjectForAll                           // eject a backend on behalf of all gateways
	AnswerOperator                        // report the view with its verdict and age
	operationCount
)

var operationNames = [operationCount]string{"hold a duty", "widen a local share", "count another's use", "hand out a cold backend's share",
	"take a backend out for all", "answer an operator"}

// String returns the operation's text in JSON and in elderctl's output.
func (op Operation) String() string { return operationNames[op] }

// Operations returns all operations, in order.
func Operations() (list []Operation) {
	for op := range operationCount {
		list = append(list, op)
	}
	return list
}

// decision is one entry of the table of decisions.
type decision struct {
	allowed bool
	reason  string
}

// decisions states which operations each verdict allows. All code whose effects depend on the state of other members
// consults it through Permission.Allows or Machine.Allows. A better verdict never forbids what a worse one allows.
var decisions = [operationCount][verdictCount]decision{
	ExerciseLease: {
		Unsure:   {false, "the lease may have run out while this one slept, and another may hold the duty"},
		Alone:    {false, "who grants duties can't be reached either, most likely; the others will hand them on"},
		Minority: {false, "the majority hands the duties of those it does not hear on"},
		Even:     {false, "the other half may think the same of this one"},
		Majority: {true, "no other part can be a majority of this roster; the lease decides"},
		Complete: {true, "all are heard; the lease decides"},
	},
	RaiseQuota: {
		Unsure:   {false, "the roster that allows it may be an old one"},
		Alone:    {false, "a newer roster with more members could not be heard of"},
		Minority: {false, "the majority may have added members that this part can't hear of"},
		Even:     {false, "the other half may have added members that this one can't hear of"},
		Majority: {true, "a newer roster would be known to one of those heard: the safe count holds"},
		Complete: {true, "all are heard: the safe count holds"},
	},
	CountPeerUsage: {
		Unsure:   {true, "spent counts only grow: an old one is too low, and never too high"},
		Alone:    {true, "what was heard before the cut was spent all the same"},
		Minority: {true, "spent counts only grow: those not heard are too low, and never too high"},
		Even:     {true, "spent counts only grow: those not heard are too low, and never too high"},
		Majority: {true, "spent counts only grow"},
		Complete: {true, "spent counts only grow"},
	},
	DivideWarmUpCapacity: {
		Unsure:   {false, "how many send to the backend is not known; the safe count is never too low"},
		Alone:    {false, "those not heard may send to the backend all the same; the safe count is never too low"},
		Minority: {false, "most of those that send to the backend are not heard; the safe count is never too low"},
		Even:     {false, "half of those that send to the backend are not heard; the safe count is never too low"},
		Majority: {true, "those not heard are few, and what a cold backend bears has room for them"},
		Complete: {true, "all that send to the backend are heard"},
	},
	EjectForAll: {
		Unsure:   {false, "what this one saw of the backend may be as old as its sleep"},
		Alone:    {false, "nobody confirms it, and its own way may be what is cut"},
		Minority: {false, "the way of this part may be what is cut, not the backend"},
		Even:     {false, "each half could take out what the other one reaches"},
		Majority: {true, "most gateways can be asked what they see"},
		Complete: {true, "all gateways can be asked what they see"},
	},
	AnswerOperator: {
		Unsure:   {true, "an answer that says how sure and how old it is misleads nobody"},
		Alone:    {true, "an answer that says how sure and how old it is misleads nobody"},
		Minority: {true, "an answer that says how sure and how old it is misleads nobody"},
		Even:     {true, "an answer that says how sure and how old it is misleads nobody"},
		Majority: {true, "an answer that says how sure and how old it is misleads nobody"},
		Complete: {true, "an answer that says how sure and how old it is misleads nobody"},
	},
}

// Allows reports whether a verdict allows an operation, and the reason.
func Allows(op Operation, v Verdict) (allowed bool, reason string) {
	d := decisions[op][v]
	return d.allowed, d.reason
}
