package capacity

// maxVoters limits the number of voters: each voter makes every write more expensive, and five tolerate the loss
// of two.
const maxVoters = 5

// ControlMachine is the location of a control machine and whether it is a voter.
type ControlMachine struct {
	Region int  `json:"region"` // from 1
	Zone   int  `json:"zone"`   // from 1, numbered over all regions
	Votes  bool `json:"votes"`
}

// Placement is the distribution of the control machines over regions and zones.
type Placement struct {
	Machines []ControlMachine `json:"machines"`
	Voters   int              `json:"voters"`
	Quorum   int              `json:"majority"` // voters that have to agree: more than half of them
}

// NewPlacement spreads control machines evenly over regions, and over the zones of each. The number of voters is
// odd, so that a partition between two regions leaves one side with a quorum; further machines hold the state
// without a vote. Zones are numbered over all regions and assigned to the regions round-robin.
func NewPlacement(machines, regions, zones int) Placement {
	voters := min(machines, maxVoters)
	if voters%2 == 0 {
		voters--
	}
	placement := Placement{Voters: voters, Quorum: voters/2 + 1}
	machinesByRegion := make([]int, regions)
	for i := range machines {
		region := indexOfSmallest(machinesByRegion)
		zonesHere := (zones - region + regions - 1) / regions
		zone := machinesByRegion[region]%zonesHere*regions + region
		machinesByRegion[region]++
		placement.Machines = append(placement.Machines, ControlMachine{region + 1, zone + 1, i < voters})
	}
	return placement
}

// indexOfSmallest returns the first index of the smallest number.
func indexOfSmallest(counts []int) int {
	best := 0
	for i, n := range counts {
		if n < counts[best] {
			best = i
		}
	}
	return best
}

// VotersInRegion returns the number of voters in a region.
func (p *Placement) VotersInRegion(region int) int {
	return p.count(func(m ControlMachine) bool { return m.Votes && m.Region == region })
}

// MaxVotersInZone returns the largest number of voters that share a zone.
func (p *Placement) MaxVotersInZone() int {
	maxVotersInZone := 0
	for _, machine := range p.Machines {
		maxVotersInZone = max(maxVotersInZone, p.count(func(m ControlMachine) bool { return m.Votes && m.Zone == machine.Zone }))
	}
	return maxVotersInZone
}

// QuorumRegion returns the region that has a quorum while all regions are partitioned from each other, or 0 if
// none has.
func (p *Placement) QuorumRegion() int {
	for _, m := range p.Machines {
		if p.VotersInRegion(m.Region) >= p.Quorum {
			return m.Region
		}
	}
	return 0
}

// count returns the number of control machines that match.
func (p *Placement) count(matches func(ControlMachine) bool) int {
	n := 0
	for _, m := range p.Machines {
		if matches(m) {
			n++
		}
	}
	return n
}
