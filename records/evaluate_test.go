package records

import (
	"strings"
	"testing"
)

// invalidChange is a change that a store with one record of each kind rejects.
type invalidChange struct {
	name       string
	change     Change
	status     Status
	key, field string
	reason     string
}

func invalidChanges() []invalidChange {
	long := strings.Repeat("x", 2*MaxValueBytes)
	return []invalidChange{
		{"no operations", change(), Invalid, "", "operations", "none"},
		{"no author", Change{Operations: []Operation{remove("plan/x")}}, Invalid, "", "author", "missing"},
		{"author", Change{Author: "\xff", Operations: []Operation{remove("plan/x")}}, Invalid, "", "author", "UTF-8"},
		{"request", Change{Author: "a", IdempotencyKey: long, Operations: []Operation{remove("plan/x")}}, Invalid, "", "request", "at most"},
		{"message", Change{Author: "a", Message: long, Operations: []Operation{remove("plan/x")}}, Invalid, "", "message", "at most"},
		{"many", change(make([]Operation, MaxOperations+1)...), Invalid, "", "operations", "at most"},
		{"kind", change(Operation{Key: Key{"planet", "x"}}), Invalid, "planet/x", "", "unknown kind"},
		{"name", change(Operation{Key: Key{Plan, "x y"}}), Invalid, "plan/x y", "", "want letters"},
		{"twice", change(remove("plan/x"), remove("plan/x")), Invalid, "plan/x", "", "twice"},
		{"no value", change(put("plan/x", "")), Invalid, "plan/x", "", "not a JSON object"},
		{"null", change(put("plan/x", "null")), Invalid, "plan/x", "price_weight", "not above 0"},
		{"cut", change(put("plan/x", `{"price_weight":1`)), Invalid, "plan/x", "", "unexpected EOF"},
		{"more", change(put("plan/x", planValue+"{}")), Invalid, "plan/x", "", "more behind"},
		{"long", change(put("plan/x", `{"price_weight":1`+strings.Repeat(" ", MaxValueBytes)+`}`)), Invalid, "plan/x", "", "at most"},
		{"unknown field", change(put("plan/x", `{"price":1}`)), Invalid, "plan/x", "price", "unknown field"},
		{"field's type", change(put("plan/x", `{"price_weight":"1"}`)), Invalid, "plan/x", "price_weight", "string"},
		{"weight", change(put("plan/x", `{"price_weight":-1,"requests_per_second":1}`)), Invalid, "plan/x", "price_weight", "not above 0"},
		{"plan's limit", change(put("plan/x", `{"price_weight":1}`)), Invalid, "plan/x", "requests_per_second", "at least 1"},
		{"plan's burst", change(put("plan/x", `{"price_weight":1,"requests_per_second":1,"burst":-1}`)), Invalid, "plan/x", "burst", "-1"},
		{"tenant's limit", change(put("tenant/x", `{"plan":"gold","requests_per_second":10000001}`)), Invalid, "tenant/x", "requests_per_second", "10000001"},
		{"tenant's plan", change(put("tenant/x", `{}`)), Invalid, "tenant/x", "plan", "empty"},
		{"no such plan", change(put("tenant/x", `{"plan":"iron"}`)), Invalid, "tenant/x", "plan", "no plan/iron"},
		{"no such service", change(put("route/x", `{"service":"x","prefix":"/"}`)), Invalid, "route/x", "service", "no service/x"},
		{"host", change(put("route/x", `{"service":"search","host":"A.b","prefix":"/"}`)), Invalid, "route/x", "host", "host name"},
		{"prefix", change(put("route/x", `{"service":"search","prefix":"x"}`)), Invalid, "route/x", "prefix", "begin with /"},
		{"prefix's bytes", change(put("route/x", `{"service":"search","prefix":"/a?b"}`)), Invalid, "route/x", "prefix", "byte 2"},
		{"timeout", change(put("route/x", `{"service":"search","prefix":"/","timeout_ms":600001}`)), Invalid, "route/x", "timeout_ms", "600001"},
		{"retries", change(put("route/x", `{"service":"search","prefix":"/","retries":11}`)), Invalid, "route/x", "retries", "11"},
		{"class", change(put("service/x", `{}`)), Invalid, "service/x", "class", "empty"},
		{"zones", change(put("service/x", `{"class":"a","zones":["a","a"]}`)), Invalid, "service/x", "zones", "twice"},
		{"needed plan", change(remove("plan/gold")), Invalid, "plan/gold", "", "1 records still need it"},
		{"needed service", change(remove("service/search"), remove("tenant/acme")), Invalid, "service/search", "", "still need it"},
		{"delete with value", change(Operation{Key: key("plan/x"), Delete: true, Value: []byte("{}")}), Invalid, "plan/x", "value", "no value"},
		{"must not exist", change(onlyIf(0, put("plan/gold", planValue))), Conflict, "plan/gold", "", "exists at version 1"},
		{"other version", change(onlyIf(7, remove("route/search"))), Conflict, "route/search", "", "at version 1, the change expects 7"},
		{"must exist", change(onlyIf(1, remove("route/other"))), Conflict, "route/other", "", "does not exist"},
	}
}

// An invalid change is rejected entirely, and the problem names the record and the field.
func TestInvalidChange(t *testing.T) {
	for _, test := range invalidChanges() {
		t.Run(test.name, func(t *testing.T) {
			store := smallStore(t)
			before := store.Digest()
			invalid := test.change
			if len(invalid.Operations) > 0 && len(invalid.Operations) < MaxOperations && invalid.Operations[0].Key.Validate() == nil {
				// A valid operation before the invalid one must have no effect either.
				invalid.Operations = append([]Operation{put("service/good", serviceValue)}, invalid.Operations...)
			}
			if status, problem := store.Check(invalid); status != test.status || problem == nil {
				t.Errorf("checked as %s (%v)", status, problem)
			}
			result := apply(t, store, 2, invalid, test.status)
			problem := result.Problem
			if problem.Key != test.key || problem.Field != test.field || !strings.Contains(problem.Reason, test.reason) {
				t.Errorf("problem %+v", problem)
			}
			if result.Version != 1 || store.Version() != 1 || store.Digest() != before || store.Len() != 4 {
				t.Errorf("the store has changed: version %d, %d records", store.Version(), store.Len())
			}
		})
	}
}
