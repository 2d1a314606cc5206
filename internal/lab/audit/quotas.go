package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// use is an amount of units that an account consumed at a time.
type use struct {
	at    time.Time
	units float64
	worth float64 // of all units, before the plan's price
	id    string
}

// bucket is a token bucket whose level may fall below zero. The deepest level below zero is the excess over the quota:
// the maximum of units(s, t) - (burst + rate * (t - s)) over all windows [s, t].
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	full        time.Time // when the bucket was last full: the start of the window
}

func newBucket(rate, burst float64, at time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, at: at, full: at}
}

func (b *bucket) take(at time.Time, units float64) {
	if at.After(b.at) {
		filled := b.level + b.rate*at.Sub(b.at).Seconds()
		if filled >= b.burst {
			filled, b.full = b.burst, at
		}
		b.level, b.at = filled, at
	}
	b.level = min(b.level-units, b.burst) // negative units are returned ones
}

// usageByAccount returns the use of each account in time order. A try that was forwarded counts once, with the units that
// its client named, at the time of the first attempt that reached a backend whole. A take counts what its client
// learned that it was granted, and returned units are subtracted. A repeat under a token does not count again.
func (j *judge) usageByAccount() map[uint64][]use {
	usage := map[uint64][]use{}
	for id, list := range j.attemptsByID {
		t := j.triesByID[id]
		if t == nil || t.Bad != "" {
			continue
		}
		usage[t.Customer] = append(usage[t.Customer], use{list[0].First, t.Units, j.rules.Classes[t.Class].Worth, id})
	}
	type tokenKey struct{ front, id string }
	counted := map[tokenKey]bool{}
	for i := range j.log.Takes {
		switch t := &j.log.Takes[i]; {
		case t.Granted == 0 || t.Token != "" && !t.Returns && counted[tokenKey{t.Front, t.Token}]:
		case t.Returns:
			usage[t.Customer] = append(usage[t.Customer], use{t.Sent, -t.Granted, -j.rules.TakeWorth * t.Granted, t.Token})
		default:
			counted[tokenKey{t.Front, t.Token}] = true
			usage[t.Customer] = append(usage[t.Customer], use{t.Over, t.Granted, j.rules.TakeWorth * t.Granted, t.Token})
		}
	}
	for _, list := range usage {
		slices.SortFunc(list, func(a, b use) int { return a.at.Compare(b.at) })
	}
	return usage
}

// planByAccount returns the index of the plan of each account.
func (j *judge) planByAccount() map[uint64]int {
	plans := map[uint64]int{}
	for i := range j.log.Tries {
		if j.log.Tries[i].Bad == "" {
			plans[j.log.Tries[i].Customer] = j.log.Tries[i].Plan
		}
	}
	for i := range j.log.Takes {
		plans[j.log.Takes[i].Customer] = j.log.Takes[i].Plan
	}
	return plans
}

// overQuotaByPlan sums by plan the units that were forwarded while the account's token bucket was too low. Such use is
// not deducted from the bucket, so it counts once, unlike in the excess of the worst window.
func (j *judge) overQuotaByPlan(asked []Service) []Beyond {
	total := Service{}
	for _, s := range asked {
		total.add(s)
	}
	plans, all := j.planByAccount(), make([]Beyond, len(j.rules.Plans))
	for i := range all {
		all[i].Plan = j.rules.Plans[i].Name
	}
	for customer, list := range j.usageByAccount() {
		plan, sum := &j.rules.Plans[plans[customer]], &all[plans[customer]]
		b := newBucket(plan.Rate, plan.Burst, j.log.From)
		for _, u := range list {
			sum.Units += u.units
			if b.take(u.at, 0); plan.Rate <= 0 || u.units <= b.level {
				b.take(u.at, u.units)
				continue
			}
			sum.Beyond += u.units
			if total.Asked > 0 {
				sum.Cost += plan.OverCost * plan.Price * u.worth / total.Asked
			}
		}
	}
	return all
}

// checkQuotas checks the use of each account over all gateways against its quota and ceiling.
func (j *judge) checkQuotas(v *Verdict) {
	plans := j.planByAccount()
	v.Worst.Percent = math.Inf(-1)
	for customer, list := range j.usageByAccount() {
		plan := &j.rules.Plans[plans[customer]]
		if plan.Rate > 0 {
			q := j.worstWindow(customer, plan.Name, plan.Rate, plan.Burst, list)
			if q.Percent > v.Worst.Percent || q.Percent == v.Worst.Percent && customer < v.Worst.Customer {
				v.Worst = q
			}
			if q.Units > plan.Burst*j.rules.Overshoot/100+j.rules.SpareUnits {
				v.Over = append(v.Over, q)
			}
		}
		if plan.CeilingRate > 0 {
			q := j.worstWindow(customer, plan.Name, plan.CeilingRate, plan.CeilingBurst, list)
			if q.Units > plan.CeilingSlack {
				j.recordViolation(RuleCeiling, Evidence{At: q.To, Text: fmt.Sprintf(
					"account %016x (%s): %.1f units beyond its ceiling of %.1f between %v and %v, with a slack of %.1f",
					customer, plan.Name, q.Units, q.Allowed, q.From.Round(time.Millisecond), q.To.Round(time.Millisecond), plan.CeilingSlack)})
			}
		}
	}
	if math.IsInf(v.Worst.Percent, -1) {
		v.Worst = Quota{}
	}
	slices.SortFunc(v.Over, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(b.Percent, a.Percent), cmp.Compare(a.Customer, b.Customer))
	})
	for _, q := range v.Over {
		j.recordViolation(RuleQuota, Evidence{At: q.To, Text: fmt.Sprintf(
			"account %016x (%s): %.1f units (%.0f%%) beyond its quota of %.1f between %v and %v; %.0f%% of its burst and %.1f units are let pass",
			q.Customer, q.Plan, q.Units, q.Percent, q.Allowed, q.From.Round(time.Millisecond), q.To.Round(time.Millisecond),
			j.rules.Overshoot, j.rules.SpareUnits)})
	}
}

// worstWindow returns the window in which an account exceeded rate and burst the most. Units and Percent are 0 or below
// if it never did.
func (j *judge) worstWindow(customer uint64, plan string, rate, burst float64, list []use) Quota {
	b := newBucket(rate, burst, j.log.From)
	q := Quota{Customer: customer, Plan: plan, Units: math.Inf(-1)}
	for _, u := range list {
		b.take(u.at, u.units)
		if -b.level > q.Units {
			q.Units, q.From, q.To = -b.level, j.sinceStart(b.full), j.sinceStart(u.at)
			q.Allowed = burst + rate*u.at.Sub(b.full).Seconds()
		}
	}
	if q.Allowed > 0 {
		q.Percent = 100 * q.Units / q.Allowed
	}
	return q
}

// account is the demand and service of one customer.
type account struct {
	plan                 int
	askedUnits, inside   float64
	servedUnits          float64
	askedWorth, gotWorth map[int]float64 // by class
}

// computeService compares the worth answered within the aim with the worth requested within the quotas. Retries belong to
// their first try. Demand beyond the quota of an account earns nothing: its worth, requested and served, is scaled
// down to the quota.
func (j *judge) computeService(v *Verdict) {
	type first struct {
		arrived time.Time
		t       *Try
		served  bool
		take    *Take // set instead of t for a limit command
	}
	firsts := map[int]*first{}
	var order []*first
	for i := range j.log.Tries {
		t := &j.log.Tries[i]
		if t.Bad != "" {
			continue
		}
		f := firsts[t.First]
		if f == nil {
			f = &first{arrived: t.Arrived, t: t}
			firsts[t.First] = f
			order = append(order, f)
		}
		if t.Outcome == Served && t.Over.Sub(t.Arrived) <= j.rules.Classes[t.Class].Aim {
			f.served = true
		}
	}
	for i := range j.log.Takes {
		if t := &j.log.Takes[i]; t.Number == 0 {
			order = append(order, &first{arrived: t.Arrived, take: t})
		}
	}
	slices.SortStableFunc(order, func(a, b *first) int { return a.arrived.Compare(b.arrived) })
	accounts, buckets := map[uint64]*account{}, map[uint64]*bucket{}
	takes := len(j.rules.Classes) // index of the additional class for limit commands
	for _, f := range order {
		customer, in, units := uint64(0), 0, 0.0
		if f.take != nil {
			customer, in, units = f.take.Customer, f.take.Plan, f.take.Asked
		} else {
			customer, in, units = f.t.Customer, f.t.Plan, f.t.Units
		}
		plan := &j.rules.Plans[in]
		a := accounts[customer]
		if a == nil {
			a = &account{plan: in, askedWorth: map[int]float64{}, gotWorth: map[int]float64{}}
			accounts[customer] = a
			buckets[customer] = newBucket(plan.Rate, plan.Burst, j.log.From)
		}
		a.askedUnits += units
		if f.take != nil {
			worth := j.rules.TakeWorth * plan.Price
			a.askedWorth[takes] += worth * units
			a.servedUnits += f.take.Granted
			a.gotWorth[takes] += worth * f.take.Granted
		} else {
			worth := j.rules.Classes[f.t.Class].Worth * plan.Price
			a.askedWorth[f.t.Class] += worth
			if f.served {
				a.servedUnits += units
				a.gotWorth[f.t.Class] += worth
			}
		}
		b := buckets[customer]
		if plan.Rate <= 0 {
			a.inside += units
			continue
		}
		if b.take(f.arrived, 0); b.level >= units {
			b.level -= units
			a.inside += units
		}
	}
	classes, plans := make([]Service, len(j.rules.Classes)), make([]Service, len(j.rules.Plans))
	for i := range classes {
		classes[i].Name = j.rules.Classes[i].Name
	}
	if len(j.log.Takes) > 0 {
		classes = append(classes, Service{Name: "limit commands"})
	}
	for i := range plans {
		plans[i].Name = j.rules.Plans[i].Name
	}
	total := Service{}
	for _, a := range accounts {
		askedScale, servedScale := scale(a.inside, a.askedUnits), scale(a.inside, a.servedUnits)
		whole := Service{}
		for class := range classes {
			s := Service{Asked: a.askedWorth[class] * askedScale, Served: a.gotWorth[class] * servedScale}
			whole.add(s)
			// An account beyond its quota may be served more of one class than the scaled demand for that class;
			// the excess does not count.
			s.Served = min(s.Served, s.Asked)
			classes[class].add(s)
		}
		whole.Served = min(whole.Served, whole.Asked)
		plans[a.plan].add(whole)
		total.add(whole)
	}
	v.Classes, v.Plans, v.Service = classes, plans, total.Share()
}

func (s *Service) add(more Service) {
	s.Asked += more.Asked
	s.Served += more.Served
}

// scale returns the fraction of units that lies within the quota, at most 1.
func scale(inside, units float64) float64 {
	if units <= inside || units == 0 {
		return 1
	}
	return inside / units
}
