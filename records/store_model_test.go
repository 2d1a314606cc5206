package records

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"
)

// model is a reference model of the store's content.
type model struct {
	values   map[Key]string
	versions map[Key]uint64
}

func (m model) clone() model {
	return model{values: maps.Clone(m.values), versions: maps.Clone(m.versions)}
}

// isValid reports whether every record is valid and refers to an existing record.
func (m model) isValid() bool {
	for key, value := range m.values {
		parsed, _, problem := ParseValue(key.Kind, []byte(value))
		if problem != nil {
			return false
		}
		if referenced, _, ok := parsed.Reference(); ok {
			if _, found := m.values[referenced]; !found {
				return false
			}
		}
	}
	return true
}

func drawOperation(t *rapid.T) Operation {
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	operation := Operation{Key: Key{Kind: kind, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")}}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		operation.Delete = true
		return operation
	}
	other := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "other")
	number := rapid.IntRange(1, 3).Draw(t, "number")
	switch kind {
	case Plan:
		operation.Value = fmt.Appendf(nil, `{"price_weight":%d,"requests_per_second":1}`, number)
	case Tenant:
		operation.Value = fmt.Appendf(nil, `{"plan":"%s","burst":%d}`, other, number)
	case Service:
		operation.Value = fmt.Appendf(nil, `{"class":"c%d"}`, number)
	case Route:
		operation.Value = fmt.Appendf(nil, `{"service":"%s","prefix":"/%d"}`, other, number)
	}
	return operation
}

func drawOperations(t *rapid.T) []Operation {
	operations := rapid.SliceOfN(rapid.Custom(drawOperation), 1, 6).Draw(t, "operations")
	seen := map[Key]bool{}
	return slices.DeleteFunc(operations, func(operation Operation) bool {
		again := seen[operation.Key]
		seen[operation.Key] = true
		return again
	})
}
