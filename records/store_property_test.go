package records

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// machine is a rapid state machine: a store, its model, and replicas whose deltas are lost, repeated and damaged.
type machine struct {
	store           *Store
	model           model
	index           uint64
	accepted        map[uint64]Digest // digest of each accepted version
	deltas          []Delta           // that were sent
	replicas        []*Replica
	repairs         []*Repair
	highestVersions []uint64 // of the replicas, whose versions must never decrease
}

func newMachine() *machine {
	m := &machine{store: &Store{}, model: model{values: map[Key]string{}, versions: map[Key]uint64{}}}
	m.accepted = map[uint64]Digest{0: m.store.Digest()}
	for range 3 {
		m.replicas = append(m.replicas, &Replica{})
	}
	m.repairs = make([]*Repair, len(m.replicas))
	m.highestVersions = make([]uint64, len(m.replicas))
	return m
}

// change applies a change to the store and to the model, and compares the results.
func (m *machine) change(t *rapid.T) {
	operations := drawOperations(t)
	m.index += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	want := Unchanged
	after := m.model.clone()
	for i, operation := range operations {
		if rapid.IntRange(0, 4).Draw(t, "conditional") == 0 {
			expected := rapid.SampledFrom([]uint64{0, m.store.Version(), m.model.versions[operation.Key]}).Draw(t, "expected")
			operations[i].IfVersion = &expected
			if expected != m.model.versions[operation.Key] {
				want = Conflict
			}
		}
		value, found := m.model.values[operation.Key]
		if operation.Delete && !found || !operation.Delete && value == string(operation.Value) {
			continue
		}
		if want == Unchanged {
			want = Accepted
		}
		delete(after.values, operation.Key)
		delete(after.versions, operation.Key)
		if !operation.Delete {
			after.values[operation.Key] = string(operation.Value)
			after.versions[operation.Key] = m.index
		}
	}
	if want == Accepted && !after.isValid() {
		want = Invalid
	}
	result, err := m.store.Apply(m.index, change(operations...))
	if err != nil {
		t.Fatal(err)
	}
	if result.Status != want {
		t.Fatalf("%s (%v), want %s", result.Status, result.Problem, want)
	}
	if want == Accepted {
		m.model = after
		m.accepted[m.index] = m.store.Digest()
	}
}

// drawReplica draws the index of a replica.
func (m *machine) drawReplica(t *rapid.T) int {
	return rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")
}

// send applies the changes since any version to a replica.
func (m *machine) send(t *rapid.T) {
	replica := m.replicas[m.drawReplica(t)]
	from := replica.Version()
	if rapid.Bool().Draw(t, "any version") {
		from = rapid.Uint64Range(0, m.store.Version()).Draw(t, "from")
	}
	delta, err := m.store.ChangesSince(from)
	if err != nil {
		if !errors.Is(err, ErrCompacted) || from >= m.store.log.compactedVersion {
			t.Fatal(err)
		}
		return
	}
	m.deltas = append(m.deltas, delta)
	err = replica.ApplyDelta(delta)
	if from > replica.Version() && !errors.Is(err, ErrGap) || from <= replica.Version() && err != nil {
		t.Fatalf("from %d: %v", from, err)
	}
}

// resend applies an earlier delta to a replica, sometimes damaged.
func (m *machine) resend(t *rapid.T) {
	if len(m.deltas) == 0 {
		t.Skip("no delta has been sent")
	}
	delta := rapid.SampledFrom(m.deltas).Draw(t, "delta")
	switch rapid.IntRange(0, 4).Draw(t, "damage") {
	case 0:
		delta.Puts = delta.Puts[:len(delta.Puts)/2]
	case 1:
		delta.Deletes = delta.Deletes[:len(delta.Deletes)/2]
	case 2:
		if delta.Puts = slices.Clone(delta.Puts); len(delta.Puts) > 0 {
			delta.Puts[0].Version = max(1, delta.Puts[0].Version-1)
		}
	case 3:
		delta.From = min(delta.From+1, delta.To)
	}
	_ = m.replicas[m.drawReplica(t)].ApplyDelta(delta) // check verifies the outcome
}

// compact drops a random number of the oldest entries of the log.
func (m *machine) compact(t *rapid.T) {
	m.store.log.compact(rapid.IntRange(0, len(m.store.log.entries)).Draw(t, "count"))
}

// restart restores the store and a replica from their snapshots.
func (m *machine) restart(t *rapid.T) {
	data, err := m.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &Store{}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	m.store = restored
	i := m.drawReplica(t)
	data, err = m.replicas[i].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m.replicas[i], m.repairs[i] = &Replica{}, nil
	if err := m.replicas[i].Restore(data); err != nil {
		t.Fatal(err)
	}
}

// repair performs one step of a replica's repair.
func (m *machine) repair(t *rapid.T) {
	i := m.drawReplica(t)
	if m.repairs[i] == nil {
		m.repairs[i] = NewRepair(m.replicas[i])
	}
	m.repairStep(t, i, rapid.IntRange(1, 400).Draw(t, "bytes"))
}

func (m *machine) repairStep(t *rapid.T, i, maxBytes int) {
	repair := m.repairs[i]
	switch repair.Next() {
	case NeedDigests:
		if err := repair.CompareDigests(m.store.RangeDigests()); err != nil {
			t.Fatal(err)
		}
	case NeedContent:
		chunk := m.store.Chunk(ContentRequest{Ranges: repair.Pending(), MaxBytes: maxBytes})
		if err := repair.StageChunk(chunk); err != nil {
			t.Fatal(err)
		}
	case NeedChanges:
		delta, err := m.store.ChangesSince(repair.Since())
		if err != nil {
			repair.Recompare()
			return
		}
		if err := repair.Finish(m.replicas[i], delta); err != nil {
			t.Fatalf("finish: %v", err)
		}
		m.repairs[i] = nil
	}
}

// check compares the store with the model, and each replica with the accepted versions.
func (m *machine) check(t *rapid.T) {
	if m.store.Len() != len(m.model.values) {
		t.Fatalf("%d records, want %d", m.store.Len(), len(m.model.values))
	}
	for key, value := range m.model.values {
		record, found := m.store.Get(key)
		if !found || string(record.Value) != value || record.Version != m.model.versions[key] {
			t.Fatalf("%s: %+v", key, record)
		}
	}
	for i, replica := range m.replicas {
		digest, found := m.accepted[replica.Version()]
		if !found || digest != replica.Digest() {
			t.Fatalf("replica %d at version %d does not have the digest of an accepted version", i, replica.Version())
		}
		if replica.Version() < m.highestVersions[i] {
			t.Fatalf("the version of replica %d decreased from %d to %d", i, m.highestVersions[i], replica.Version())
		}
		m.highestVersions[i] = replica.Version()
	}
}

// If deltas are lost, repeated, reordered or damaged, a replica always has the content of an accepted version, its
// version never decreases, and a repair brings it to the newest version.
func TestReplicasHaveAcceptedContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"change":  m.change,
			"change2": m.change,
			"send":    m.send,
			"resend":  m.resend,
			"compact": m.compact,
			"restart": m.restart,
			"repair":  m.repair,
			"repair2": m.repair,
			"":        m.check,
		})
		m.store.log.compact(len(m.store.log.entries))
		for i, replica := range m.replicas {
			m.repairs[i] = NewRepair(replica)
			for steps := 0; m.repairs[i] != nil; steps++ {
				if steps > 2*RangeCount {
					t.Fatalf("the repair has not finished after %d steps", steps)
				}
				m.repairStep(t, i, MaxChunkBytes)
			}
			if replica.Version() != m.store.Version() || replica.Digest() != m.store.Digest() {
				t.Fatalf("replica %d is at %d after the repair, the store at %d", i, replica.Version(), m.store.Version())
			}
		}
		m.check(t)
	})
}

// Conditional changes prevent lost updates: of two operators who change a record that they read at the same version,
// only the first one succeeds.
func TestConditionalChangesPreventLostUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &Store{}
		if _, err := store.Apply(1, change(put("plan/a", planValue))); err != nil {
			t.Fatal(err)
		}
		read := [2]uint64{1, 1}
		succeeded := 0
		for index := uint64(2); index < 20; index++ {
			who := rapid.IntRange(0, 1).Draw(t, "who")
			if rapid.Bool().Draw(t, "read again") {
				record, _ := store.Get(key("plan/a"))
				read[who] = record.Version
				continue
			}
			before := store.Version()
			value := fmt.Sprintf(`{"price_weight":1,"requests_per_second":%d}`, index)
			result, err := store.Apply(index, change(onlyIf(read[who], put("plan/a", value))))
			if err != nil {
				t.Fatal(err)
			}
			want := Conflict
			if read[who] == before {
				want = Accepted
				succeeded++
			}
			if result.Status != want {
				t.Fatalf("%s, want %s", result.Status, want)
			}
		}
		if len(store.History(0)) != 1+succeeded {
			t.Fatalf("%d changes, %d succeeded", len(store.History(0)), succeeded)
		}
	})
}
