package members

// Verdict is how much of its roster a process hears.
type Verdict int

// The verdicts, those that allow least first. An even half is below a majority:
// the other half may think the same.
const (
	Unsure   Verdict = iota // what it holds may be old: it slept, has just started, or rosters disagree
	Alone                   // it hears nobody
	Minority                // it hears less than half, itself among them
	Even                    // just half
	Majority                // more than half, and not all
	Whole                   // all
	verdicts
)

var verdictNames = [verdicts]string{"unsure", "alone", "minority", "even", "majority", "whole"}

func (v Verdict) String() string { return verdictNames[v] }

// Use is something that is done by what is known of the others.
type Use int

// The uses.
const (
	HoldDuty       Use = iota // go on with a duty that only one may hold; the lease is granted elsewhere
	WidenShare                // take a larger local share of a quota than before, as the safe count allows
	CountOthers               // count what others say that they spent
	ShareCold                 // divide what a cold backend bears by the likely count
	TakeOut                   // take a backend out for all gateways
	AnswerOperator            // say what is known, with its verdict and its age
	uses
)

var useNames = [uses]string{"hold a duty", "widen a local share", "count another's use", "hand out a cold backend's share",
	"take a backend out for all", "answer an operator"}

func (u Use) String() string { return useNames[u] }

// cell is one decision with its reason.
type cell struct {
	may bool
	why string
}

// table is all that may be done in which verdict. Whoever acts on what is known
// of the others asks here (May, Machine.May) and nowhere else.
var table = [uses][verdicts]cell{
	HoldDuty: {
		Unsure:   {false, "the lease may have run out while this one slept, and another may hold the duty"},
		Alone:    {false, "who grants duties can't be reached either, most likely; the others will hand them on"},
		Minority: {false, "the majority hands the duties of those it does not hear on"},
		Even:     {false, "the other half may think the same of this one"},
		Majority: {true, "no other part can be a majority of this roster; the lease decides"},
		Whole:    {true, "all are heard; the lease decides"},
	},
	WidenShare: {
		Unsure:   {false, "the roster that allows it may be an old one"},
		Alone:    {false, "a newer roster with more members could not be heard of"},
		Minority: {false, "the majority may have added members that this part can't hear of"},
		Even:     {false, "the other half may have added members that this one can't hear of"},
		Majority: {true, "a newer roster would be known to one of those heard: the safe count holds"},
		Whole:    {true, "all are heard: the safe count holds"},
	},
	CountOthers: {
		Unsure:   {true, "spent counts only grow: an old one is too low, and never too high"},
		Alone:    {true, "what was heard before the cut was spent all the same"},
		Minority: {true, "spent counts only grow: those not heard are too low, and never too high"},
		Even:     {true, "spent counts only grow: those not heard are too low, and never too high"},
		Majority: {true, "spent counts only grow"},
		Whole:    {true, "spent counts only grow"},
	},
	ShareCold: {
		Unsure:   {false, "how many send to the backend is not known; the safe count is never too low"},
		Alone:    {false, "those not heard may send to the backend all the same; the safe count is never too low"},
		Minority: {false, "most of those that send to the backend are not heard; the safe count is never too low"},
		Even:     {false, "half of those that send to the backend are not heard; the safe count is never too low"},
		Majority: {true, "those not heard are few, and what a cold backend bears has room for them"},
		Whole:    {true, "all that send to the backend are heard"},
	},
	TakeOut: {
		Unsure:   {false, "what this one saw of the backend may be as old as its sleep"},
		Alone:    {false, "nobody confirms it, and its own way may be what is cut"},
		Minority: {false, "the way of this part may be what is cut, not the backend"},
		Even:     {false, "each half could take out what the other one reaches"},
		Majority: {true, "most gateways can be asked what they see"},
		Whole:    {true, "all gateways can be asked what they see"},
	},
	AnswerOperator: {
		Unsure:   {true, "an answer that says how sure and how old it is misleads nobody"},
		Alone:    {true, "an answer that says how sure and how old it is misleads nobody"},
		Minority: {true, "an answer that says how sure and how old it is misleads nobody"},
		Even:     {true, "an answer that says how sure and how old it is misleads nobody"},
		Majority: {true, "an answer that says how sure and how old it is misleads nobody"},
		Whole:    {true, "an answer that says how sure and how old it is misleads nobody"},
	},
}

// May tells whether something may be done in a verdict, and why.
func May(u Use, v Verdict) (may bool, why string) {
	c := table[u][v]
	return c.may, c.why
}

// Uses are all that there are.
func Uses() (list []Use) {
	for u := range uses {
		list = append(list, u)
	}
	return list
}
