// Package load generates the client load of the lab: customers with plans and quotas whose requests arrive in open
// loop, retries, and clients that send invalid requests. All arrivals are drawn from one seed before the run starts,
// so a seed always yields the same timeline.
package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is a plan with its share of the load.
type Plan struct {
	Name  string
	Share float64 // of the load inside the quotas
	Rate  float64 // units a second that an account may use
	Burst float64
}

// Class is a request class with its share of the load.
type Class struct {
	Name     string
	Share    float64
	Deadline time.Duration // for a request over all its attempts
	Keyed    bool
	Post     bool // sent with a body
}

// Surge multiplies the demand of the accounts of a plan by Times between From and To.
type Surge struct {
	From, To time.Duration
	Plan     int
	Times    float64
}

// Config describes the load.
type Config struct {
	Seed     uint64
	Rate     float64 // requests a second inside the quotas, by all customers
	For      time.Duration
	Gateways int
	Plans    []Plan
	Classes  []Class
	Surges   []Surge
	Greedy   float64 // constant demand of one extra account, as a multiple of its quota; 0: no such account
	GreedyIn int     // plan of that account
	Takes    float64 // share of the arrivals that are limit commands
}

// The demand patterns of the accounts: the share of accounts with each pattern, and the demand as a multiple of the
// quota.
const (
	fullFraction  = 0.13
	heavyFraction = 0.10
	spikyFraction = 0.16
	calmUseMin    = 0.2
	calmUseMax    = 0.5
	fullUse       = 0.95
	heavyUseMin   = 2.3
	heavyUseMax   = 4.2
	spikeUseMin   = 3.0
	spikeUseMax   = 7.8
	meanQuotaUse  = 0.52 // mean use of an account inside its quota, over all patterns

	maxArrivals = 1 << 20
)

// Customer is one account with its demand and routing over time.
type Customer struct {
	ID            uint64
	Plan          int
	First         int // its set of gateways is Spread consecutive ones from here
	Spread        int
	rate          float64        // requests a second at its full quota
	usePeriods    []usePeriod    // its demand as a multiple of its quota
	weightPeriods []weightPeriod // how its requests are spread over its gateways
}

// usePeriod is a period of constant demand; it starts where the one before ends.
type usePeriod struct {
	until time.Duration
	use   float64
}

// weightPeriod is a period of constant routing weights; it starts where the one before ends.
type weightPeriod struct {
	until  time.Duration
	weight []float64 // cumulative weight of each gateway of the set; the last is 1
}

// Arrival is the first attempt of one request, or a limit command.
type Arrival struct {
	N        int
	At       time.Duration
	Customer *Customer
	Class    int
	Gateway  int
	Take     bool // sent as a limit command
}

// Timeline draws the customers and all arrivals, in order of time.
func Timeline(c Config) ([]*Customer, []Arrival, error) {
	switch {
	case c.Rate <= 0 || c.For <= 0 || c.Gateways < 1:
		return nil, nil, errors.New("load: rate, length and gateways must be above 0")
	case len(c.Plans) == 0 || len(c.Classes) == 0:
		return nil, nil, errors.New("load: no plans or no classes")
	case c.Rate*c.For.Seconds() > maxArrivals/8:
		return nil, nil, fmt.Errorf("load: %g requests a second for %v are more than the lab holds (%d)", c.Rate, c.For, maxArrivals/8)
	}
	r := rand.New(rand.NewPCG(c.Seed, 1))
	var all []*Customer
	for p, plan := range c.Plans {
		n := max(1, int(math.Round(c.Rate*plan.Share/(plan.Rate*meanQuotaUse))))
		for range n {
			all = append(all, c.customer(r, p, drawUse(r)))
		}
	}
	if c.Greedy > 0 {
		g := c.customer(r, c.GreedyIn, func(*rand.Rand, time.Duration) []usePeriod { return []usePeriod{{c.For, c.Greedy}} })
		g.Spread = c.Gateways
		g.weightPeriods = []weightPeriod{{c.For, evenWeights(c.Gateways)}}
		all = append(all, g)
	}
	var arrivals []Arrival
	for _, k := range all {
		arrivals = append(arrivals, c.arrivals(r, k)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	if len(arrivals) > maxArrivals {
		return nil, nil, fmt.Errorf("load: %d requests are more than the lab holds (%d)", len(arrivals), maxArrivals)
	}
	r = rand.New(rand.NewPCG(c.Seed, 2)) // own generator, so that Takes does not change the rest of the timeline
	for i := range arrivals {
		arrivals[i].N = i
		arrivals[i].Take = r.Float64() < c.Takes
	}
	return all, arrivals, nil
}

// uniform draws from the uniform distribution over [low, high).
func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

// randomDuration draws a duration between low and high seconds.
func randomDuration(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration(uniform(r, low, high) * float64(time.Second))
}

// drawUse draws the demand pattern of an account.
func drawUse(r *rand.Rand) func(*rand.Rand, time.Duration) []usePeriod {
	x := r.Float64()
	calm := uniform(r, calmUseMin, calmUseMax)
	switch {
	case x < fullFraction:
		return func(_ *rand.Rand, length time.Duration) []usePeriod { return []usePeriod{{length, fullUse}} }
	case x < fullFraction+heavyFraction:
		heavy := uniform(r, heavyUseMin, heavyUseMax)
		return alternate(calm, heavy, 6, 15, 8, 20)
	case x < fullFraction+heavyFraction+spikyFraction:
		spike := uniform(r, spikeUseMin, spikeUseMax)
		return alternate(calm, spike, 10, 19, 1, 4.9)
	}
	return func(_ *rand.Rand, length time.Duration) []usePeriod { return []usePeriod{{length, calm}} }
}

// alternate returns a pattern that alternates between two demands, each for a random time within its bounds in seconds.
func alternate(low, high, lowMin, lowMax, highMin, highMax float64) func(*rand.Rand, time.Duration) []usePeriod {
	return func(r *rand.Rand, length time.Duration) (s []usePeriod) {
		at := -randomDuration(r, 0, lowMin) // the first period began before the run
		for up := false; at < length; up = !up {
			use := low
			if up {
				at, use = at+randomDuration(r, highMin, highMax), high
			} else {
				at += randomDuration(r, lowMin, lowMax)
			}
			if at > 0 {
				s = append(s, usePeriod{at, use})
			}
		}
		return s
	}
}

// customer draws an account of a plan with its set of gateways, demand and routing weights.
func (c *Config) customer(r *rand.Rand, plan int, usePeriods func(*rand.Rand, time.Duration) []usePeriod) *Customer {
	spread := min(2+r.IntN(3), c.Gateways)
	k := &Customer{ID: r.Uint64() >> 31, Plan: plan, First: r.IntN(c.Gateways), Spread: spread, rate: c.Plans[plan].Rate}
	k.usePeriods = usePeriods(r, c.For)
	skew := uniform(r, 0.3, 1.2)
	for at := time.Duration(0); at < c.For; {
		at += randomDuration(r, 8, 22)
		weight := make([]float64, spread)
		for i := range weight {
			weight[i] = math.Pow(float64(i+1), -skew)
		}
		r.Shuffle(spread, func(i, j int) { weight[i], weight[j] = weight[j], weight[i] })
		k.weightPeriods = append(k.weightPeriods, weightPeriod{at, cumulative(weight)})
	}
	return k
}

// evenWeights returns the cumulative form of n equal weights.
func evenWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return cumulative(w)
}

// cumulative replaces weights by their normalized running sum, in place.
func cumulative(w []float64) []float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}
	up := 0.0
	for i, x := range w {
		up += x / sum
		w[i] = up
	}
	return w
}

// arrivals draws the arrivals of one account: a Poisson process whose rate changes from one period to the next.
func (c *Config) arrivals(r *rand.Rand, k *Customer) (list []Arrival) {
	most := 0.0
	for _, s := range k.usePeriods {
		most = max(most, s.use)
	}
	for _, s := range c.Surges {
		if s.Plan == k.Plan {
			most *= max(1, s.Times)
		}
	}
	peak := k.rate * most
	for at := 0.0; len(list) <= maxArrivals; {
		at += r.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= c.For {
			return list
		}
		// Thinning: the process stays Poisson at rates below the peak.
		if r.Float64()*peak > k.rate*c.useAt(k, t) {
			continue
		}
		list = append(list, Arrival{At: t, Customer: k, Class: c.class(r), Gateway: k.gateway(r, t, c.Gateways)})
	}
	return list
}

// useAt returns the demand of an account at time t, surges included.
func (c *Config) useAt(k *Customer, t time.Duration) float64 {
	use := k.usePeriods[len(k.usePeriods)-1].use
	for _, s := range k.usePeriods {
		if t < s.until {
			use = s.use
			break
		}
	}
	for _, s := range c.Surges {
		if s.Plan == k.Plan && t >= s.From && t < s.To {
			use *= s.Times
		}
	}
	return use
}

// class draws a request class by the shares of the classes.
func (c *Config) class(r *rand.Rand) int {
	x := r.Float64()
	for i, class := range c.Classes {
		if x -= class.Share; x < 0 {
			return i
		}
	}
	return len(c.Classes) - 1
}

// gateway draws the gateway of a request at time t.
func (k *Customer) gateway(r *rand.Rand, t time.Duration, gateways int) int {
	weight := k.weightPeriods[len(k.weightPeriods)-1].weight
	for _, s := range k.weightPeriods {
		if t < s.until {
			weight = s.weight
			break
		}
	}
	x := r.Float64()
	for i, w := range weight {
		if x < w {
			return (k.First + i) % gateways
		}
	}
	return (k.First + len(weight) - 1) % gateways
}
