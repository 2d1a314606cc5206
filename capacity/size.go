package capacity

import (
	"fmt"
	"math"
	"reflect"

	"elderyard/internal/strict"
)

// Size is the size of a site, its budgets, its failure rates, and assumptions about figures that its plan does
// not give. TOML errors name the Go types and fields, so these are part of the messages.
type Size struct {
	Site        Site        `toml:"site" json:"site" doc:"what the site has and does"`
	Budget      Budget      `toml:"budget" json:"budget" doc:"what may be spent"`
	Failures    Failures    `toml:"failures" json:"failures" doc:"what fails, and how often"`
	Assumptions Assumptions `toml:"assumptions" json:"assumptions" doc:"what is assumed where nothing says"`
}

// Site is what a site consists of, and its load.
type Site struct {
	Gateways          int `toml:"gateways" json:"gateways" doc:"gateways, one a machine, each with its agent"`
	Backends          int `toml:"backends" json:"backends" doc:"backends, one a machine"`
	Services          int `toml:"services" json:"services" doc:"services that the backends make up"`
	RequestsPerSecond int `toml:"requests_per_second" json:"requests_per_second" doc:"requests a second at the peak, over all gateways"`
	Routes            int `toml:"routes" json:"routes" doc:"routes of the configuration"`
	Tenants           int `toml:"tenants" json:"tenants" doc:"tenants of the configuration"`
	Regions           int `toml:"regions" json:"regions" doc:"regions"`
	Zones             int `toml:"zones" json:"zones" doc:"zones over all regions"`
	ChangesPerDay     int `toml:"changes_per_day" json:"changes_per_day" doc:"changes of configuration a day"`
}

// Budget is what control may cost and how much latency it may add.
type Budget struct {
	InForceSeconds        float64 `toml:"in_force_seconds" json:"in_force_seconds" doc:"from a change's acceptance until it is in force at every gateway"`
	AddedMilliseconds     float64 `toml:"added_ms" json:"added_ms" doc:"ms added to a request, for 99 in 100"`
	GatewayCores          float64 `toml:"gateway_cores" json:"gateway_cores" doc:"cores of one gateway's machine for control"`
	GatewayMemoryMB       float64 `toml:"gateway_memory_mb" json:"gateway_memory_mb" doc:"MB of one gateway's machine for control"`
	GatewayBytesPerSecond float64 `toml:"gateway_bytes_per_second" json:"gateway_bytes_per_second" doc:"bytes a second of one gateway's machine for control"`
	ControlMachines       int     `toml:"control_machines" json:"control_machines" doc:"machines set aside for control"`
}

// Failures is how often machines, racks, zones and regions fail.
type Failures struct {
	MachinesPerDay    float64 `toml:"machines_per_day" json:"machines_per_day" doc:"machines that fail on an ordinary day"`
	RestartsPerDay    float64 `toml:"restarts_per_day" json:"restarts_per_day" doc:"processes that are restarted or replaced on a day"`
	RacksPerYear      float64 `toml:"racks_per_year" json:"racks_per_year" doc:"racks or switches that go in a year"`
	ZonesPerYear      float64 `toml:"zones_per_year" json:"zones_per_year" doc:"zones that go in a year"`
	RegionCutsPerYear float64 `toml:"region_cuts_per_year" json:"region_cuts_per_year" doc:"times a year that regions lose each other"`
	RegionCutMinutes  float64 `toml:"region_cut_minutes" json:"region_cut_minutes" doc:"minutes that regions lose each other for"`
}

// Assumptions are figures that the plan of the site does not give.
type Assumptions struct {
	RecordBytes           float64 `toml:"record_bytes" json:"record_bytes" doc:"bytes of a route's or tenant's plain entry"`
	ChangePeakOverMean    float64 `toml:"change_peak_over_mean" json:"change_peak_over_mean" doc:"changes in the busiest minutes over the day's mean"`
	RestartBurstShare     float64 `toml:"restart_burst_share" json:"restart_burst_share" doc:"share of the gateways that may be restarted in one instant"`
	RackMachines          int     `toml:"rack_machines" json:"rack_machines" doc:"machines in a rack"`
	LargestServiceShare   float64 `toml:"largest_service_share" json:"largest_service_share" doc:"share of all backends that the largest service may have"`
	GatewaysPerTenant     int     `toml:"gateways_per_tenant" json:"gateways_per_tenant" doc:"gateways that a tenant's requests come to"`
	QuotaCallsAreControl  bool    `toml:"quota_calls_are_control" json:"quota_calls_are_control" doc:"calls to the counter count against the bytes for control"`
	ListSeconds           float64 `toml:"list_seconds" json:"list_seconds" doc:"a whole list of backends must have arrived after so many seconds"`
	ControlCores          float64 `toml:"control_cores" json:"control_cores" doc:"cores of a control machine"`
	ControlMemoryMB       float64 `toml:"control_memory_mb" json:"control_memory_mb" doc:"MB of a control machine"`
	ControlBytesPerSecond float64 `toml:"control_bytes_per_second" json:"control_bytes_per_second" doc:"bytes a second that a control machine may send and receive"`
}

// Entries returns the number of records in the configuration.
func (s *Size) Entries() int { return s.Site.Routes + s.Site.Tenants }

// Machines returns the number of machines: one for each gateway, backend and control process.
func (s *Size) Machines() int { return s.Site.Gateways + s.Site.Backends + s.Budget.ControlMachines }

// DecodeSize decodes and validates a size in TOML. A missing key counts as 0, which most keys reject. Errors are
// *strict.Error and name the file, the key and, if known, the line.
func DecodeSize(file string, text []byte) (Size, error) {
	var size Size
	if err := strict.Decode(file, text, &size); err != nil {
		return Size{}, err
	}
	if err := size.validate(file, text); err != nil {
		return Size{}, err
	}
	return size, nil
}

// valueRange is the range of values that a key accepts.
type valueRange struct {
	minimum, maximum float64
	exclusiveMinimum bool // the minimum itself is rejected
}

// maxNumber limits every number and size; it is far above that of any site.
const maxNumber = 1e12

// maxTopologyCount limits the numbers of regions, zones and control machines.
const maxTopologyCount = 1000

// keyRanges has the ranges of the keys that differ from the default, which is above 0 and at most maxNumber.
var keyRanges = map[string]valueRange{
	"site.regions":                      {minimum: 1, maximum: maxTopologyCount},
	"site.zones":                        {minimum: 1, maximum: maxTopologyCount},
	"budget.control_machines":           {minimum: 1, maximum: maxTopologyCount},
	"failures.machines_per_day":         {minimum: 0, maximum: maxNumber},
	"failures.restarts_per_day":         {minimum: 0, maximum: maxNumber},
	"failures.racks_per_year":           {minimum: 0, maximum: maxNumber},
	"failures.zones_per_year":           {minimum: 0, maximum: maxNumber},
	"failures.region_cuts_per_year":     {minimum: 0, maximum: maxNumber},
	"failures.region_cut_minutes":       {minimum: 0, maximum: maxNumber},
	"assumptions.change_peak_over_mean": {minimum: 1, maximum: maxNumber},
	"assumptions.restart_burst_share":   {minimum: 0, maximum: 1, exclusiveMinimum: true},
	"assumptions.largest_service_share": {minimum: 0, maximum: 1, exclusiveMinimum: true},
}

// validate checks each key, and keys that depend on each other.
func (s *Size) validate(file string, text []byte) error {
	root := reflect.ValueOf(s).Elem()
	for i := range root.NumField() {
		table := root.Type().Field(i).Tag.Get("toml")
		if err := validateTable(file, text, table, root.Field(i)); err != nil {
			return err
		}
	}
	switch site := &s.Site; {
	case site.Zones < site.Regions:
		return strict.ErrorAt(file, text, "site.zones", "%d zones can't make up %d regions", site.Zones, site.Regions)
	case site.Services > site.Backends:
		return strict.ErrorAt(file, text, "site.services", "%d services of %d backends", site.Services, site.Backends)
	case s.Assumptions.GatewaysPerTenant > site.Gateways:
		return strict.ErrorAt(file, text, "assumptions.gateways_per_tenant", "%d, and there are %d gateways", s.Assumptions.GatewaysPerTenant, site.Gateways)
	}
	return nil
}

// validateTable checks the range of each number of one table.
func validateTable(file string, text []byte, table string, value reflect.Value) error {
	for i := range value.NumField() {
		key := table + "." + value.Type().Field(i).Tag.Get("toml")
		var number float64
		switch field := value.Field(i); field.Kind() {
		case reflect.Int:
			number = float64(field.Int())
		case reflect.Float64:
			number = field.Float()
		default:
			continue
		}
		allowed, listed := keyRanges[key]
		if !listed {
			allowed = valueRange{minimum: 0, maximum: maxNumber, exclusiveMinimum: true}
		}
		switch {
		case math.IsNaN(number), number < allowed.minimum, number > allowed.maximum:
			return strict.ErrorAt(file, text, key, "%g is not between %g and %g", number, allowed.minimum, allowed.maximum)
		case allowed.exclusiveMinimum && number == allowed.minimum:
			return strict.ErrorAt(file, text, key, "it must be given, and above %g: %s", allowed.minimum, value.Type().Field(i).Tag.Get("doc"))
		}
	}
	return nil
}

// sizeKey is one key of a size with its value, as a row of a table.
type sizeKey struct{ name, value, description string }

// keys returns all keys of the size, in the order of the struct fields.
func (s *Size) keys() (list []sizeKey) {
	root := reflect.ValueOf(s).Elem()
	for i := range root.NumField() {
		table := root.Type().Field(i).Tag.Get("toml")
		value := root.Field(i)
		for k := range value.NumField() {
			tag := value.Type().Field(k).Tag
			list = append(list, sizeKey{table + "." + tag.Get("toml"), formatValue(value.Field(k)), tag.Get("doc")})
		}
	}
	return list
}

func formatValue(value reflect.Value) string {
	switch value.Kind() {
	case reflect.Int:
		return formatNumber(float64(value.Int()))
	case reflect.Float64:
		return formatNumber(value.Float())
	}
	return fmt.Sprint(value.Interface())
}
