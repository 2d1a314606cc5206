package records

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTime = time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC)

func key(text string) Key {
	parsed, err := ParseKey(text)
	if err != nil {
		panic(err)
	}
	return parsed
}

func put(name, value string) Operation {
	return Operation{Key: key(name), Value: json.RawMessage(value)}
}

func remove(name string) Operation { return Operation{Key: key(name), Delete: true} }

func onlyIf(version uint64, operation Operation) Operation {
	operation.IfVersion = &version
	return operation
}

func change(operations ...Operation) Change {
	return Change{Author: "anna", At: testTime, Operations: operations}
}

// apply applies a change and fails the test unless the result has the wanted status.
func apply(t rapid.TB, store *Store, version uint64, change Change, want Status) Result {
	t.Helper()
	result, err := store.Apply(version, change)
	if err != nil {
		t.Fatalf("version %d: %v", version, err)
	}
	if result.Status != want {
		t.Fatalf("version %d: %s (%v), want %s", version, result.Status, result.Problem, want)
	}
	return result
}

const (
	planValue    = `{"price_weight":1.5,"requests_per_second":100}`
	serviceValue = `{"class":"interactive","zones":["a","b"]}`
	tenantValue  = `{"plan":"gold","requests_per_second":50}`
	routeValue   = `{"service":"search","prefix":"/v1/search","timeout_ms":2000,"retries":2}`
)

// smallStore returns a store with one record of each kind, all at version 1.
func smallStore(t rapid.TB) *Store {
	t.Helper()
	store := &Store{}
	apply(t, store, 1, change(
		put("plan/gold", planValue),
		put("service/search", serviceValue),
		put("tenant/acme", tenantValue),
		put("route/search", routeValue),
	), Accepted)
	return store
}

// largeStore returns a store with count records. Of 26,000 records, about 12,000 are tenants and 14,000 are routes.
func largeStore(t rapid.TB, count int) *Store {
	t.Helper()
	store := &Store{}
	version := uint64(1)
	apply(t, store, version, change(put("plan/gold", planValue), put("plan/free", planValue),
		put("service/search", serviceValue), put("service/cart", serviceValue)), Accepted)
	for done := 4; done < count; {
		var operations []Operation
		for len(operations) < 5000 && done < count {
			operations = append(operations, largeRecord(done))
			done++
		}
		version++
		apply(t, store, version, change(operations...), Accepted)
	}
	return store
}

func largeRecord(index int) Operation {
	scrambled := uint32(index) * 2654435761
	if index%26 < 12 {
		return put(fmt.Sprintf("tenant/%08x%08x", scrambled, index),
			fmt.Sprintf(`{"plan":"gold","requests_per_second":%d,"burst":%d}`, 1+scrambled%5000, 1+scrambled%9000))
	}
	return put(fmt.Sprintf("route/shop-%d.region-%d", index, index%9),
		fmt.Sprintf(`{"service":"search","host":"shop-%d.example.test","prefix":"/v1/%x","timeout_ms":%d,"retries":%d}`,
			index, scrambled, 500+scrambled%5000, index%4))
}

// fullReplica returns a replica with the content of a store.
func fullReplica(t testing.TB, store *Store) *Replica {
	t.Helper()
	replica := &Replica{}
	if err := replica.ApplyDelta(since(t, store, 0)); err != nil {
		t.Fatal(err)
	}
	return replica
}

// since returns the changes above a version.
func since(t testing.TB, store *Store, version uint64) Delta {
	t.Helper()
	delta, err := store.ChangesSince(version)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}
