package scale

import (
	"math/rand/v2"
	"slices"
	"time"
)

// What a day brings to a site of dayGateways gateways.
const (
	dayGateways = 610
	dayChanges  = 510
	dayFailures = 38   // machines that are lost with their disk
	dayRestarts = 1100 // of agents that keep their disk
)

// DayEvent is what happens at a time of the day.
type DayEvent struct {
	At      time.Duration // from the day's beginning
	Kind    DayEventKind
	Gateway int // of a restart or a failure
}

// DayEventKind tells events of a day apart.
type DayEventKind string

// The kinds of events.
const (
	ChangeEvent  DayEventKind = "change"
	FailureEvent DayEventKind = "failure"
	RestartEvent DayEventKind = "restart"
)

// Day returns the events of a day that is pressed into a shorter time. Failures and
// restarts go with the number of gateways; changes do not. Same seed, same day.
func Day(gateways int, pressed time.Duration, seed uint64) []DayEvent {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []DayEvent
	add := func(kind DayEventKind, count int) {
		for range count {
			events = append(events, DayEvent{time.Duration(random.Int64N(int64(pressed))), kind, random.IntN(gateways)})
		}
	}
	add(ChangeEvent, dayChanges)
	add(FailureEvent, max(1, dayFailures*gateways/dayGateways))
	add(RestartEvent, max(1, dayRestarts*gateways/dayGateways))
	slices.SortStableFunc(events, func(a, b DayEvent) int { return int(a.At - b.At) })
	return events
}
