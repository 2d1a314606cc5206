package records

import (
	"fmt"
	"slices"
	"strings"
)

// Limits of the fields of values.
const (
	MaxTimeoutMillis     = 600_000
	MaxRetries           = 10
	MaxRequestsPerSecond = 10_000_000
	MaxBurst             = 10_000_000
	MaxPriceWeight       = 1_000_000
	MaxZones             = 16
	maxPathBytes         = 512
	maxHostBytes         = 253
)

// RouteValue routes requests for a host and path prefix to a service.
type RouteValue struct {
	Service       string `json:"service"`
	Host          string `json:"host,omitempty"`       // empty means any host
	Prefix        string `json:"prefix"`               // of the path; begins with "/"
	TimeoutMillis int    `json:"timeout_ms,omitempty"` // 0 means the gateway's default
	Retries       int    `json:"retries,omitempty"`
}

// Validate implements Value.
func (v *RouteValue) Validate() *FieldError {
	if err := checkName(v.Service); err != nil {
		return fieldError("service", "%v", err)
	}
	if err := checkHost(v.Host); err != nil {
		return fieldError("host", "%v", err)
	}
	if err := checkPath(v.Prefix); err != nil {
		return fieldError("prefix", "%v", err)
	}
	if problem := checkRange("timeout_ms", v.TimeoutMillis, MaxTimeoutMillis); problem != nil {
		return problem
	}
	return checkRange("retries", v.Retries, MaxRetries)
}

// Reference implements Value: a route refers to its service.
func (v *RouteValue) Reference() (Key, string, bool) {
	return Key{Kind: Service, Name: v.Service}, "service", true
}

// TenantValue is a customer and its plan.
type TenantValue struct {
	Plan              string `json:"plan"`
	RequestsPerSecond int    `json:"requests_per_second,omitempty"` // 0 means the plan's limit
	Burst             int    `json:"burst,omitempty"`               // in requests; 0 means the plan's burst
}

// Validate implements Value.
func (v *TenantValue) Validate() *FieldError {
	if err := checkName(v.Plan); err != nil {
		return fieldError("plan", "%v", err)
	}
	if problem := checkRange("requests_per_second", v.RequestsPerSecond, MaxRequestsPerSecond); problem != nil {
		return problem
	}
	return checkRange("burst", v.Burst, MaxBurst)
}

// Reference implements Value: a tenant refers to its plan.
func (v *TenantValue) Reference() (Key, string, bool) {
	return Key{Kind: Plan, Name: v.Plan}, "plan", true
}

// PlanValue is the price weight and the rate limit of a class of customers.
type PlanValue struct {
	PriceWeight       float64 `json:"price_weight"`
	RequestsPerSecond int     `json:"requests_per_second"`
	Burst             int     `json:"burst,omitempty"` // in requests; 0 means the requests of one second
}

// Validate implements Value.
func (v *PlanValue) Validate() *FieldError {
	if v.PriceWeight <= 0 || v.PriceWeight > MaxPriceWeight {
		return fieldError("price_weight", "%v is not above 0 and at most %d", v.PriceWeight, MaxPriceWeight)
	}
	if v.RequestsPerSecond == 0 {
		return fieldError("requests_per_second", "want at least 1")
	}
	if problem := checkRange("requests_per_second", v.RequestsPerSecond, MaxRequestsPerSecond); problem != nil {
		return problem
	}
	return checkRange("burst", v.Burst, MaxBurst)
}

// Reference implements Value: a plan refers to no record.
func (v *PlanValue) Reference() (Key, string, bool) { return Key{}, "", false }

// ServiceValue is a group of backends.
type ServiceValue struct {
	Class string   `json:"class"`
	Zones []string `json:"zones,omitempty"` // preferred first; empty means no preference
}

// Validate implements Value.
func (v *ServiceValue) Validate() *FieldError {
	if err := checkName(v.Class); err != nil {
		return fieldError("class", "%v", err)
	}
	if len(v.Zones) > MaxZones {
		return fieldError("zones", "%d zones, at most %d are allowed", len(v.Zones), MaxZones)
	}
	for i, zone := range v.Zones {
		if err := checkName(zone); err != nil {
			return fieldError("zones", "zone %d: %v", i, err)
		}
		if slices.Contains(v.Zones[:i], zone) {
			return fieldError("zones", "%s is there twice", zone)
		}
	}
	return nil
}

// Reference implements Value: a service refers to no record.
func (v *ServiceValue) Reference() (Key, string, bool) { return Key{}, "", false }

// checkRange returns an error unless the value is between 0 and maxValue.
func checkRange(field string, value, maxValue int) *FieldError {
	if value < 0 || value > maxValue {
		return fieldError(field, "%d is not between 0 and %d", value, maxValue)
	}
	return nil
}

// checkHost accepts an empty host and host names in lower case.
func checkHost(host string) error {
	if host == "" {
		return nil
	}
	if len(host) > maxHostBytes {
		return fmt.Errorf("%d bytes, at most %d are allowed", len(host), maxHostBytes)
	}
	for label := range strings.SplitSeq(host, ".") {
		if strings.ContainsAny(label, "._:") || checkName(label) != nil || label != strings.ToLower(label) {
			return fmt.Errorf("%q is not a host name in lower case", host)
		}
	}
	return nil
}

// checkPath accepts a path of printable ASCII characters without query and fragment.
func checkPath(path string) error {
	if !strings.HasPrefix(path, "/") {
		return fmt.Errorf("%q does not begin with /", path)
	}
	if len(path) > maxPathBytes {
		return fmt.Errorf("%d bytes, at most %d are allowed", len(path), maxPathBytes)
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] > '~' || path[i] == '?' || path[i] == '#' {
			return fmt.Errorf("%q at byte %d does not belong to a path", path[i], i)
		}
	}
	return nil
}
