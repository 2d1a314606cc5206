// Package load plays clients: customers with plans and quotas whose requests
// arrive in open loop, retries, and bad clients. What arrives when is drawn from
// one seed before anything starts, so one seed is one timeline.
package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is a plan as the load sees it.
type Plan struct {
	Name  string
	Share float64 // of the use inside quotas
	Rate  float64 // units a second that an account may use
	Burst float64
}

// Class is a class of requests as the load sees it.
type Class struct {
	Name     string
	Share    float64
	Deadline time.Duration // a client's patience over all its tries
	Keyed    bool
	Post     bool // sent with a body
}

// Surge makes the accounts of a plan ask for more.
type Surge struct {
	From, To time.Duration
	Plan     int
	Times    float64
}

// Config states the load.
type Config struct {
	Seed     uint64
	Rate     float64 // requests a second inside the quotas, by all customers
	For      time.Duration
	Gateways int
	Plans    []Plan
	Classes  []Class
	Surges   []Surge
	Greedy   float64 // an extra account asks for so many times its quota, all the time; 0: none
	GreedyIn int     // its plan
	Takes    float64 // share of all that comes as limit commands
}

// The customers' habits: shares of accounts, and what part of its quota an
// account asks for.
const (
	fullShare  = 0.13
	heavyShare = 0.10
	spikyShare = 0.16
	calmLeast  = 0.2
	calmMost   = 0.5
	fullUse    = 0.95
	heavyLeast = 2.3
	heavyMost  = 4.2
	spikeLeast = 3.0
	spikeMost  = 7.8
	meanInside = 0.52 // of its quota that an account uses, over all habits

	mostArrivals = 1 << 20
)

// Customer is one account.
type Customer struct {
	ID     uint64
	Plan   int
	First  int // the gateways of its set are Spread in a row from here
	Spread int
	rate   float64 // requests a second when it asks for its whole quota
	spells []spell // what it asks for, in parts of its quota
	shifts []shift // where its requests go
}

type spell struct {
	until time.Duration
	use   float64
}

type shift struct {
	until  time.Duration
	weight []float64 // for each gateway of its set, rising to 1
}

// Arrival is one first try.
type Arrival struct {
	N        int
	At       time.Duration
	Customer *Customer
	Class    int
	Gateway  int
	Take     bool // a limit command, to whoever takes them
}

// Timeline draws the customers and all that they will first ask for.
func Timeline(c Config) ([]*Customer, []Arrival, error) {
	switch {
	case c.Rate <= 0 || c.For <= 0 || c.Gateways < 1:
		return nil, nil, errors.New("load: rate, length and gateways must be above 0")
	case len(c.Plans) == 0 || len(c.Classes) == 0:
		return nil, nil, errors.New("load: no plans or no classes")
	case c.Rate*c.For.Seconds() > mostArrivals/8:
		return nil, nil, fmt.Errorf("load: %g requests a second for %v are more than the lab holds (%d)", c.Rate, c.For, mostArrivals/8)
	}
	r := rand.New(rand.NewPCG(c.Seed, 1))
	var all []*Customer
	for p, plan := range c.Plans {
		n := max(1, int(math.Round(c.Rate*plan.Share/(plan.Rate*meanInside))))
		for range n {
			all = append(all, c.customer(r, p, habit(r)))
		}
	}
	if c.Greedy > 0 {
		g := c.customer(r, c.GreedyIn, func(*rand.Rand, time.Duration) []spell { return []spell{{c.For, c.Greedy}} })
		g.Spread = c.Gateways
		g.shifts = []shift{{c.For, even(c.Gateways)}}
		all = append(all, g)
	}
	var arrivals []Arrival
	for _, k := range all {
		arrivals = append(arrivals, c.arrivals(r, k)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	if len(arrivals) > mostArrivals {
		return nil, nil, fmt.Errorf("load: %d requests are more than the lab holds (%d)", len(arrivals), mostArrivals)
	}
	r = rand.New(rand.NewPCG(c.Seed, 2)) // its own, so that the rest is the same without limit commands
	for i := range arrivals {
		arrivals[i].N = i
		arrivals[i].Take = r.Float64() < c.Takes
	}
	return all, arrivals, nil
}

func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func span(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration(between(r, low, high) * float64(time.Second))
}

// habit draws what an account asks for over time.
func habit(r *rand.Rand) func(*rand.Rand, time.Duration) []spell {
	x := r.Float64()
	calm := between(r, calmLeast, calmMost)
	switch {
	case x < fullShare:
		return func(_ *rand.Rand, length time.Duration) []spell { return []spell{{length, fullUse}} }
	case x < fullShare+heavyShare:
		heavy := between(r, heavyLeast, heavyMost)
		return alternate(calm, heavy, 6, 15, 8, 20)
	case x < fullShare+heavyShare+spikyShare:
		spike := between(r, spikeLeast, spikeMost)
		return alternate(calm, spike, 10, 19, 1, 4.9)
	}
	return func(_ *rand.Rand, length time.Duration) []spell { return []spell{{length, calm}} }
}

// alternate goes between two uses, each for a time between its bounds in seconds.
func alternate(low, high, lowLeast, lowMost, highLeast, highMost float64) func(*rand.Rand, time.Duration) []spell {
	return func(r *rand.Rand, length time.Duration) (s []spell) {
		at := -span(r, 0, lowLeast) // it began before the run
		for up := false; at < length; up = !up {
			use := low
			if up {
				at, use = at+span(r, highLeast, highMost), high
			} else {
				at += span(r, lowLeast, lowMost)
			}
			if at > 0 {
				s = append(s, spell{at, use})
			}
		}
		return s
	}
}

func (c *Config) customer(r *rand.Rand, plan int, spells func(*rand.Rand, time.Duration) []spell) *Customer {
	spread := min(2+r.IntN(3), c.Gateways)
	k := &Customer{ID: r.Uint64() >> 31, Plan: plan, First: r.IntN(c.Gateways), Spread: spread, rate: c.Plans[plan].Rate}
	k.spells = spells(r, c.For)
	skew := between(r, 0.3, 1.2)
	for at := time.Duration(0); at < c.For; {
		at += span(r, 8, 22)
		weight := make([]float64, spread)
		for i := range weight {
			weight[i] = math.Pow(float64(i+1), -skew)
		}
		r.Shuffle(spread, func(i, j int) { weight[i], weight[j] = weight[j], weight[i] })
		k.shifts = append(k.shifts, shift{at, cumulate(weight)})
	}
	return k
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return cumulate(w)
}

func cumulate(w []float64) []float64 {
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

// arrivals draws one account's first tries: a Poisson stream whose rate changes
// from spell to spell.
func (c *Config) arrivals(r *rand.Rand, k *Customer) (list []Arrival) {
	most := 0.0
	for _, s := range k.spells {
		most = max(most, s.use)
	}
	for _, s := range c.Surges {
		if s.Plan == k.Plan {
			most *= max(1, s.Times)
		}
	}
	peak := k.rate * most
	for at := 0.0; len(list) <= mostArrivals; {
		at += r.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= c.For {
			return list
		}
		// Thinning keeps the stream Poisson while its rate is below the peak.
		if r.Float64()*peak > k.rate*c.useAt(k, t) {
			continue
		}
		list = append(list, Arrival{At: t, Customer: k, Class: c.class(r), Gateway: k.gateway(r, t, c.Gateways)})
	}
	return list
}

func (c *Config) useAt(k *Customer, t time.Duration) float64 {
	use := k.spells[len(k.spells)-1].use
	for _, s := range k.spells {
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

func (c *Config) class(r *rand.Rand) int {
	x := r.Float64()
	for i, class := range c.Classes {
		if x -= class.Share; x < 0 {
			return i
		}
	}
	return len(c.Classes) - 1
}

// gateway draws where a request at time t goes.
func (k *Customer) gateway(r *rand.Rand, t time.Duration, gateways int) int {
	weight := k.shifts[len(k.shifts)-1].weight
	for _, s := range k.shifts {
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
