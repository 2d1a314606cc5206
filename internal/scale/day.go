package scale

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Events per day at a site of dayGateways gateways.
const (
	dayGateways = 610
	dayChanges  = 510
	dayFailures = 38   // machines lost with their disk
	dayRestarts = 1100 // restarts of agents that keep their disk
)

// DayEvent is an event at an offset from the start of a day.
type DayEvent struct {
	At      time.Duration // offset from the start of the day
	Kind    DayEventKind
	Gateway int // index of the gateway that restarts or fails
}

// DayEventKind is the kind of a day's event.
type DayEventKind string

// Kinds of events.
const (
	ChangeEvent  DayEventKind = "change"
	FailureEvent DayEventKind = "failure"
	RestartEvent DayEventKind = "restart"
)

// Day returns the events of a day, compressed into the given duration. The numbers of failures and restarts are
// proportional to the number of gateways; the number of changes is not. The same seed gives the same events.
func Day(gateways int, duration time.Duration, seed uint64) []DayEvent {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []DayEvent
	add := func(kind DayEventKind, count int) {
		for range count {
			events = append(events, DayEvent{time.Duration(random.Int64N(int64(duration))), kind, random.IntN(gateways)})
		}
	}
	add(ChangeEvent, dayChanges)
	add(FailureEvent, max(1, dayFailures*gateways/dayGateways))
	add(RestartEvent, max(1, dayRestarts*gateways/dayGateways))
	slices.SortStableFunc(events, func(a, b DayEvent) int { return int(a.At - b.At) })
	return events
}
