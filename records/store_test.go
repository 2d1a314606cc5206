package records

import (
	"errors"
	"strings"
	"testing"
)

func TestKeyText(t *testing.T) {
	for _, text := range []string{"route/a", "tenant/00ff", "plan/Gold_2.x-y:z", "service/" + strings.Repeat("a", MaxNameBytes)} {
		parsed, err := ParseKey(text)
		if err != nil || parsed.String() != text {
			t.Errorf("%s: %v, %v", text, parsed, err)
		}
	}
	for _, text := range []string{"", "route", "route/", "router/a", "/a", "route/-a", "route/a b", "route/a/b", "route/ä",
		"Route/a", "route/" + strings.Repeat("a", MaxNameBytes+1)} {
		if parsed, err := ParseKey(text); err == nil {
			t.Errorf("%q was read as %v", text, parsed)
		}
	}
}

// A bad change is refused whole, with the record and the field named.
func TestInvalidChange(t *testing.T) {
	long := strings.Repeat("x", 2*MaxValueBytes)
	for _, test := range []struct {
		name       string
		change     Change
		status     Status
		key, field string
		reason     string
	}{
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
	} {
		t.Run(test.name, func(t *testing.T) {
			store := smallStore(t)
			before := store.Digest()
			bad := test.change
			if len(bad.Operations) > 0 && len(bad.Operations) < MaxOperations && bad.Operations[0].Key.Validate() == nil {
				// A good operation ahead of the bad one must not take effect either.
				bad.Operations = append([]Operation{put("service/good", serviceValue)}, bad.Operations...)
			}
			if status, problem := store.Check(bad); status != test.status || problem == nil {
				t.Errorf("checked as %s (%v)", status, problem)
			}
			result := apply(t, store, 2, bad, test.status)
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

func TestApply(t *testing.T) {
	store := smallStore(t)
	one := store.Digest()
	apply(t, store, 3, change(put("tenant/acme", `{ "requests_per_second": 50, "plan": "gold" }`), remove("plan/none")), Unchanged)
	if store.Version() != 1 || store.Digest() != one {
		t.Error("a change without effect has changed the store")
	}
	apply(t, store, 4, change(onlyIf(1, put("tenant/acme", `{"plan":"gold"}`)), put("tenant/zoo", `{"plan":"gold"}`)), Accepted)
	apply(t, store, 5, change(onlyIf(1, put("tenant/acme", tenantValue))), Conflict)
	// The plan goes together with all that need it.
	apply(t, store, 6, change(remove("plan/gold"), remove("tenant/acme"), put("plan/new", planValue), put("tenant/zoo", `{"plan":"new"}`)), Accepted)
	if _, found := store.Get(key("tenant/acme")); found || store.Len() != 4 {
		t.Errorf("%d records", store.Len())
	}
	if record, found := store.Get(key("tenant/zoo")); !found || record.Version != 6 || string(record.Value) != `{"plan":"new"}` {
		t.Errorf("tenant/zoo: %+v", record)
	}
	if _, err := store.Apply(6, change(remove("plan/x"))); !errors.Is(err, ErrVersion) {
		t.Errorf("the same version again: %v", err)
	}
	history := store.History(2)
	if len(history) != 2 || history[0].Version != 6 || history[0].Operations != 4 || history[1].Version != 4 || history[1].Author != "anna" {
		t.Errorf("history: %+v", history)
	}
	if digest, found := store.DigestAt(1); !found || digest != one {
		t.Errorf("digest at 1: %v, %t", digest, found)
	}
	if _, found := store.DigestAt(5); found {
		t.Error("a refused change has a digest")
	}
}

func TestList(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 2, change(put("tenant/b2", tenantValue), put("tenant/b1", tenantValue), put("tenant/a", tenantValue)), Accepted)
	for _, test := range []struct {
		kind   Kind
		prefix string
		limit  int
		want   string
	}{
		{Tenant, "", 0, "a acme b1 b2"}, {Tenant, "b", 0, "b1 b2"}, {Tenant, "", 1, "a"}, {Plan, "", 9, "gold"}, {Route, "x", 0, ""},
	} {
		var names []string
		for _, record := range store.List(test.kind, test.prefix, test.limit) {
			names = append(names, record.Key.Name)
		}
		if got := strings.Join(names, " "); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

// A repeat of a request gets the answer that the first got, also if the store has
// changed since and after a snapshot, as long as it is remembered.
func TestRepeatedIdempotencyKey(t *testing.T) {
	store := smallStore(t)
	first := change(onlyIf(1, put("tenant/acme", `{"plan":"gold"}`)))
	first.IdempotencyKey = "r-1"
	refused := change(remove("plan/gold"))
	refused.IdempotencyKey = "r-2"
	apply(t, store, 2, first, Accepted)
	apply(t, store, 3, refused, Invalid)
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &Store{}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*Store{store, restored} {
		if result := apply(t, each, 4, first, Accepted); result.Version != 2 || each.Version() != 2 {
			t.Errorf("repeated at version %d", result.Version)
		}
		if result := apply(t, each, 5, refused, Invalid); result.Problem == nil || result.Problem.Key != "plan/gold" {
			t.Errorf("repeat of a refused one: %+v", result)
		}
		other := change(remove("tenant/acme"))
		other.IdempotencyKey = "r-1"
		if result := apply(t, each, 6, other, Invalid); result.Problem.Field != "request" {
			t.Errorf("another change under the same key: %+v", result.Problem)
		}
	}
	for i := range MaxRequests {
		filler := change(remove("plan/none"))
		filler.IdempotencyKey = "f-" + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		apply(t, store, uint64(10+i), filler, Unchanged)
	}
	apply(t, store, 5000, first, Conflict)
	if len(store.results.order) != MaxRequests || len(store.results.byKey) != MaxRequests {
		t.Errorf("%d requests are remembered", len(store.results.order))
	}
}
