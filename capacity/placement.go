package capacity

// maxVoters bounds the voters: each further one makes every write dearer, and
// five bear the loss of two.
const maxVoters = 5

// ControlMachine is where one control machine stands, and whether it votes.
type ControlMachine struct {
	Region int  `json:"region"` // from 1
	Zone   int  `json:"zone"`   // from 1, over all regions
	Votes  bool `json:"votes"`
}

// Placement is where the control machines stand.
type Placement struct {
	Machines []ControlMachine `json:"machines"`
	Voters   int              `json:"voters"`
	Quorum   int              `json:"majority"` // voters that have to agree
}

// PlaceControlMachines spreads control machines over regions, and over the zones of each. The
// number of voters is odd, so that a cut between two regions leaves one side that
// decides; machines beyond it hold the state and don't vote. Zones are numbered
// through and dealt out to the regions in turn.
func PlaceControlMachines(machines, regions, zones int) Placement {
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

// indexOfSmallest is the first index of the smallest number.
func indexOfSmallest(counts []int) int {
	best := 0
	for i, n := range counts {
		if n < counts[best] {
			best = i
		}
	}
	return best
}

// VotersInRegion counts the voters of a region.
func (p *Placement) VotersInRegion(region int) int {
	return p.count(func(m ControlMachine) bool { return m.Votes && m.Region == region })
}

// MaxVotersInZone is the number of voters of the zone that has most of them.
func (p *Placement) MaxVotersInZone() int {
	maxVotersInZone := 0
	for _, machine := range p.Machines {
		maxVotersInZone = max(maxVotersInZone, p.count(func(m ControlMachine) bool { return m.Votes && m.Zone == machine.Zone }))
	}
	return maxVotersInZone
}

// QuorumRegion is the region that decides while all regions are cut from each
// other; 0 if none has a majority of the voters.
func (p *Placement) QuorumRegion() int {
	for _, m := range p.Machines {
		if p.VotersInRegion(m.Region) >= p.Quorum {
			return m.Region
		}
	}
	return 0
}

func (p *Placement) count(matches func(ControlMachine) bool) int {
	n := 0
	for _, m := range p.Machines {
		if matches(m) {
			n++
		}
	}
	return n
}
