package lab

import (
	"reflect"
	"sync"
)

// overlappingFaults combines the faults that are active at one place. T is a struct of numbers, durations and flags;
// of each field the worst value holds.
type overlappingFaults[T any] struct {
	mu     sync.Mutex
	active map[int]T
	last   int // number of the last one added
}

// add adds a fault and returns the function that removes it.
func (o *overlappingFaults[T]) add(v T) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active == nil {
		o.active = map[int]T{}
	}
	o.last++
	number := o.last
	o.active[number] = v
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.active, number)
	}
}

// worst returns the combination of all active faults.
func (o *overlappingFaults[T]) worst() (worst T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := reflect.ValueOf(&worst).Elem()
	for _, v := range o.active {
		from := reflect.ValueOf(v)
		for i := range w.NumField() {
			to, f := w.Field(i), from.Field(i)
			switch f.Kind() {
			case reflect.Float64:
				to.SetFloat(max(to.Float(), f.Float()))
			case reflect.Int64:
				to.SetInt(max(to.Int(), f.Int()))
			case reflect.Bool:
				to.SetBool(to.Bool() || f.Bool())
			}
		}
	}
	return worst
}
