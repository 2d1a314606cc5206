package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"elderyard/records"
)

const (
	services = 200
	plans    = 20
	// routesShare of the routes and tenants are routes: 14,000 of 26,000.
	routesShare = 14.0 / 26.0
)

// Catalog makes the records of a site and changes of them, the same for the same
// seed.
type Catalog struct {
	routes, tenants int
	random          *rand.Rand
	edits           int
}

// NewCatalog describes a site of so many routes and tenants.
func NewCatalog(size int, seed uint64) *Catalog {
	routes := int(float64(size) * routesShare)
	return &Catalog{routes: routes, tenants: size - routes, random: rand.New(rand.NewPCG(seed, seed))}
}

func put(kind records.Kind, name string, value any) records.Operation {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a plain struct
	}
	return records.Operation{Key: records.Key{Kind: kind, Name: name}, Value: text}
}

func route(i, timeout int) records.Operation {
	return put(records.Route, fmt.Sprintf("route-%05d", i), records.RouteValue{Service: fmt.Sprintf("service-%03d", i%services),
		Host: fmt.Sprintf("h%05d.shop.example", i), Prefix: fmt.Sprintf("/v1/%d", i%7), TimeoutMillis: timeout, Retries: i % 3})
}

func tenant(i, rate int) records.Operation {
	return put(records.Tenant, fmt.Sprintf("tenant-%05d", i), records.TenantValue{Plan: fmt.Sprintf("plan-%02d", i%plans), RequestsPerSecond: rate, Burst: 2 * rate})
}

// Initial returns the operations of the whole site, in as many changes as bounds
// make it.
func (c *Catalog) Initial() (changes [][]records.Operation) {
	var all []records.Operation
	for i := range services {
		all = append(all, put(records.Service, fmt.Sprintf("service-%03d", i), records.ServiceValue{Class: "standard"}))
	}
	for i := range plans {
		all = append(all, put(records.Plan, fmt.Sprintf("plan-%02d", i), records.PlanValue{PriceWeight: 1, RequestsPerSecond: 100}))
	}
	for i := range c.routes {
		all = append(all, route(i, 1000))
	}
	for i := range c.tenants {
		all = append(all, tenant(i, 100))
	}
	for len(all) > 0 {
		n := min(len(all), records.MaxOperations)
		changes = append(changes, all[:n])
		all = all[n:]
	}
	return changes
}

// Edit returns a change of one record that differs from all before.
func (c *Catalog) Edit() []records.Operation {
	c.edits++
	if c.random.Float64() < routesShare {
		return []records.Operation{route(c.random.IntN(c.routes), 1000+c.edits)}
	}
	return []records.Operation{tenant(c.random.IntN(c.tenants), 100+c.edits)}
}
