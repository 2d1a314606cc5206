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
		{"author not UTF-8", Change{Author: "\xff", Operations: []Operation{remove("plan/x")}}, Invalid, "", "author", "UTF-8"},
		{"idempotency key too long", Change{Author: "a", IdempotencyKey: long, Operations: []Operation{remove("plan/x")}}, Invalid, "", "request", "at most"},
		{"message too long", Change{Author: "a", Message: long, Operations: []Operation{remove("plan/x")}}, Invalid, "", "message", "at most"},
		{"too many operations", change(make([]Operation, MaxOperations+1)...), Invalid, "", "operations", "at most"},
		{"unknown kind", change(Operation{Key: Key{"planet", "x"}}), Invalid, "planet/x", "", "unknown kind"},
		{"invalid name", change(Operation{Key: Key{Plan, "x y"}}), Invalid, "plan/x y", "", "want letters"},
		{"duplicate key", change(remove("plan/x"), remove("plan/x")), Invalid, "plan/x", "", "twice"},
		{"no value", change(put("plan/x", "")), Invalid, "plan/x", "", "not a JSON object"},
		{"null value", change(put("plan/x", "null")), Invalid, "plan/x", "price_weight", "not above 0"},
		{"truncated value", change(put("plan/x", `{"price_weight":1`)), Invalid, "plan/x", "", "unexpected EOF"},
		{"trailing data", change(put("plan/x", planValue+"{}")), Invalid, "plan/x", "", "more behind"},
		{"value too long", change(put("plan/x", `{"price_weight":1`+strings.Repeat(" ", MaxValueBytes)+`}`)), Invalid, "plan/x", "", "at most"},
		{"unknown field", change(put("plan/x", `{"price":1}`)), Invalid, "plan/x", "price", "unknown field"},
		{"field of wrong type", change(put("plan/x", `{"price_weight":"1"}`)), Invalid, "plan/x", "price_weight", "string"},
		{"negative price weight", change(put("plan/x", `{"price_weight":-1,"requests_per_second":1}`)), Invalid, "plan/x", "price_weight", "not above 0"},
		{"plan without a rate limit", change(put("plan/x", `{"price_weight":1}`)), Invalid, "plan/x", "requests_per_second", "at least 1"},
		{"negative burst", change(put("plan/x", `{"price_weight":1,"requests_per_second":1,"burst":-1}`)), Invalid, "plan/x", "burst", "-1"},
		{"tenant's rate limit too high", change(put("tenant/x", `{"plan":"gold","requests_per_second":10000001}`)), Invalid, "tenant/x", "requests_per_second", "10000001"},
		{"tenant without a plan", change(put("tenant/x", `{}`)), Invalid, "tenant/x", "plan", "empty"},
		{"reference to unknown plan", change(put("tenant/x", `{"plan":"iron"}`)), Invalid, "tenant/x", "plan", "no plan/iron"},
		{"reference to unknown service", change(put("route/x", `{"service":"x","prefix":"/"}`)), Invalid, "route/x", "service", "no service/x"},
		{"invalid host", change(put("route/x", `{"service":"search","host":"A.b","prefix":"/"}`)), Invalid, "route/x", "host", "host name"},
		{"prefix without slash", change(put("route/x", `{"service":"search","prefix":"x"}`)), Invalid, "route/x", "prefix", "begin with /"},
		{"invalid byte in prefix", change(put("route/x", `{"service":"search","prefix":"/a?b"}`)), Invalid, "route/x", "prefix", "byte 2"},
		{"timeout too long", change(put("route/x", `{"service":"search","prefix":"/","timeout_ms":600001}`)), Invalid, "route/x", "timeout_ms", "600001"},
		{"too many retries", change(put("route/x", `{"service":"search","prefix":"/","retries":11}`)), Invalid, "route/x", "retries", "11"},
		{"service without a class", change(put("service/x", `{}`)), Invalid, "service/x", "class", "empty"},
		{"duplicate zone", change(put("service/x", `{"class":"a","zones":["a","a"]}`)), Invalid, "service/x", "zones", "twice"},
		{"delete of referenced plan", change(remove("plan/gold")), Invalid, "plan/gold", "", "1 records still need it"},
		{"delete of referenced service", change(remove("service/search"), remove("tenant/acme")), Invalid, "service/search", "", "still need it"},
		{"delete with value", change(Operation{Key: key("plan/x"), Delete: true, Value: []byte("{}")}), Invalid, "plan/x", "value", "no value"},
		{"condition: must not exist", change(onlyIf(0, put("plan/gold", planValue))), Conflict, "plan/gold", "", "exists at version 1"},
		{"condition: other version", change(onlyIf(7, remove("route/search"))), Conflict, "route/search", "", "at version 1, the change expects 7"},
		{"condition: must exist", change(onlyIf(1, remove("route/other"))), Conflict, "route/other", "", "does not exist"},
	}
}

// An invalid change is rejected as a whole, and the problem names the record and the field.
func TestInvalidChange(t *testing.T) {
	for _, test := range invalidChanges() {
		t.Run(test.name, func(t *testing.T) {
			store := smallStore(t)
			before := store.Digest()
			invalid := test.change
			if len(invalid.Operations) > 0 && len(invalid.Operations) < MaxOperations && invalid.Operations[0].Key.Validate() == nil {
				// A valid operation before the invalid one must not have an effect either.
				invalid.Operations = append([]Operation{put("service/good", serviceValue)}, invalid.Operations...)
			}
			if status, problem := store.Check(invalid); status != test.status || problem == nil {
				t.Errorf("Check: %s (%v), want %s", status, problem, test.status)
			}
			result := apply(t, store, 2, invalid, test.status)
			problem := result.Problem
			if problem.Key != test.key || problem.Field != test.field || !strings.Contains(problem.Reason, test.reason) {
				t.Errorf("problem %+v, want key %q, field %q and a reason with %q", problem, test.key, test.field, test.reason)
			}
			if result.Version != 1 || store.Version() != 1 || store.Digest() != before || store.Len() != 4 {
				t.Errorf("the store has changed: version %d, %d records", store.Version(), store.Len())
			}
		})
	}
}
