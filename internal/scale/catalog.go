package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"elderyard/records"
)

const (
	serviceCount = 200
	planCount    = 20
	// routeFraction is the fraction of routes among routes and tenants: 14,000 of 26,000.
	routeFraction = 14.0 / 26.0
)

// Catalog generates the records of a site and changes to them, deterministically for a seed.
type Catalog struct {
	routes, tenants int
	random          *rand.Rand
	edits           int
}

// NewCatalog returns the catalog of a site with size routes and tenants in total.
func NewCatalog(size int, seed uint64) *Catalog {
	routes := int(float64(size) * routeFraction)
	return &Catalog{routes: routes, tenants: size - routes, random: rand.New(rand.NewPCG(seed, seed))}
}

func putOperation(kind records.Kind, name string, value any) records.Operation {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: the values are plain structs
	}
	return records.Operation{Key: records.Key{Kind: kind, Name: name}, Value: encoded}
}

func routeOperation(i, timeoutMillis int) records.Operation {
	return putOperation(records.Route, fmt.Sprintf("route-%05d", i), records.RouteValue{Service: fmt.Sprintf("service-%03d", i%serviceCount),
		Host: fmt.Sprintf("h%05d.shop.example", i), Prefix: fmt.Sprintf("/v1/%d", i%7), TimeoutMillis: timeoutMillis, Retries: i % 3})
}

func tenantOperation(i, requestsPerSecond int) records.Operation {
	return putOperation(records.Tenant, fmt.Sprintf("tenant-%05d", i), records.TenantValue{Plan: fmt.Sprintf("plan-%02d", i%planCount), RequestsPerSecond: requestsPerSecond, Burst: 2 * requestsPerSecond})
}

// Initial returns the operations that create all records of the site, split into changes of at most
// records.MaxOperations.
func (c *Catalog) Initial() (changes [][]records.Operation) {
	var operations []records.Operation
	for i := range serviceCount {
		operations = append(operations, putOperation(records.Service, fmt.Sprintf("service-%03d", i), records.ServiceValue{Class: "standard"}))
	}
	for i := range planCount {
		operations = append(operations, putOperation(records.Plan, fmt.Sprintf("plan-%02d", i), records.PlanValue{PriceWeight: 1, RequestsPerSecond: 100}))
	}
	for i := range c.routes {
		operations = append(operations, routeOperation(i, 1000))
	}
	for i := range c.tenants {
		operations = append(operations, tenantOperation(i, 100))
	}
	for len(operations) > 0 {
		n := min(len(operations), records.MaxOperations)
		changes = append(changes, operations[:n])
		operations = operations[n:]
	}
	return changes
}

// Edit returns a change of one record that differs from all earlier ones.
func (c *Catalog) Edit() []records.Operation {
	c.edits++
	if c.random.Float64() < routeFraction {
		return []records.Operation{routeOperation(c.random.IntN(c.routes), 1000+c.edits)}
	}
	return []records.Operation{tenantOperation(c.random.IntN(c.tenants), 100+c.edits)}
}
