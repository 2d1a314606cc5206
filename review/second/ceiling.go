package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// work is how long a backend works on a request.
func work() time.Duration { return time.Duration(74+rand.IntN(56)) * time.Millisecond }

// ceilingSite is a small site with a plan that has a ceiling.
type ceilingSite struct {
	plan     plan
	gateways int
	spoil    func() bool
	accounts []account
	length   time.Duration
}

// play starts the site and plays its accounts.
func (s ceilingSite) play(r *rig) (*backends, error) {
	b, list, err := r.serveBackends(12, work)
	if err != nil {
		return nil, err
	}
	discovery, err := r.serveDiscovery(list)
	if err != nil {
		return nil, err
	}
	_, counter, err := r.serveCounter(s.spoil)
	if err != nil {
		return nil, err
	}
	basic := plan{"name": "basic", "unitsPerS": 1.0, "depth": 4.0, "pays": 0.45, "beyondCosts": 1.2}
	var gateways []*process
	for n := range s.gateways {
		g, err := r.startGateway(fmt.Sprint("g", n), discovery.address, counter, "", settings(n, s.gateways, basic, s.plan))
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.length)
	defer cancel()
	c := r.newClients(b, gateways)
	c.play(ctx, s.accounts)
	r.say("answers by status: %v", c.answers)
	for _, g := range gateways {
		if g.hasEnded() {
			return nil, errors.New(g.name + " has ended")
		}
	}
	if c.answers[200] == 0 {
		return nil, errors.New("nothing was served")
	}
	return b, nil
}

// playCeilingCounter has a share of the counter's answers come without a number while some accounts press against their ceiling.
func playCeilingCounter(r *rig) error {
	const spell, spellEvery = 1200 * time.Millisecond, 6 * time.Second
	top := ceiling{rate: 10, burst: 10, slack: 1}
	site := ceilingSite{gateways: 2, length: 85 * time.Second,
		plan: plan{"name": "council", "unitsPerS": 10.0, "depth": 10.0, "neverOverRate": top.rate, "ceilingBurst": top.burst, "capSlack": top.slack, "pays": 1.1}}
	for n := range 90 {
		a := account{key: accountKey(n), plan: "basic", rate: 0.4}
		if n < 12 { // 13% of the accounts
			a.plan, a.rate = "council", 4.2*10
		}
		site.accounts = append(site.accounts, a)
	}
	site.spoil = func() bool {
		since := time.Since(r.start) % spellEvery
		return r.trouble && since > spellEvery-spell
	}
	b, err := site.play(r)
	if err != nil {
		return err
	}
	return top.check(b, site.accounts, "council")
}

// playCeilingOpen has accounts ask for more than the ceiling of a plan that has no rate.
func playCeilingOpen(r *rig) error {
	top := ceiling{rate: 5, burst: 10, slack: 1}
	asked := 0.6 * top.rate
	if r.trouble {
		asked = 4.2 * top.rate
	}
	site := ceilingSite{gateways: 2, length: 20 * time.Second,
		plan: plan{"name": "council", "unitsPerS": 0.0, "depth": 0.0, "atOnce": 6, "neverOverRate": top.rate, "ceilingBurst": top.burst, "capSlack": top.slack, "pays": 1.1}}
	for n := range 30 {
		a := account{key: accountKey(n), plan: "basic", rate: 0.4}
		if n < 4 { // 13% of the accounts
			a.plan, a.rate = "council", asked
		}
		site.accounts = append(site.accounts, a)
	}
	b, err := site.play(r)
	if err != nil {
		return err
	}
	return top.check(b, site.accounts, "council")
}
