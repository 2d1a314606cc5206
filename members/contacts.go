package members

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxJoinTargets      = 4  // at a time: any of them knows all the others
	firstJoinIntervals  = 2  // intervals; the pause between requests doubles
	maxJoinIntervals    = 20 // intervals
	rosterSendIntervals = 5  // intervals between rosters sent to one member
)

// Contacts decides which addresses a process asks to rejoin, and which members it sends its roster, in addition to what
// the failure detector does. It is not safe for concurrent use.
type Contacts struct {
	interval     time.Duration // the detector's interval
	nextJoin     Time
	joinDelay    time.Duration
	rosterSentAt map[string]Time
}

// NewContacts returns Contacts whose first request is due at once.
func NewContacts(interval time.Duration, now Time) *Contacts {
	return &Contacts{interval: interval, nextJoin: now, joinDelay: firstJoinIntervals * interval, rosterSentAt: map[string]Time{}}
}

// JoinTargets returns the addresses to ask now, in any order: of members that are not heard of, as the failure detector forgets
// members after a long partition, and seeds while too few are known. Address returns the last known address of a member,
// "" for none. The pauses grow while members are missing.
func (c *Contacts) JoinTargets(now Time, view *View, address func(name string) string, seeds []string, rng *rand.Rand) (targets []string) {
	if now < c.nextJoin {
		return nil
	}
	for _, v := range view.Members {
		if at := address(v.Name); at != "" && !v.Self && v.IsMember && !v.State.Alive() {
			targets = append(targets, at)
		}
	}
	if view.LikelyCount <= 1 || len(targets) < view.RosterSize-view.LikelyCount {
		targets = append(targets, seeds...)
	}
	c.nextJoin = now + c.joinDelay + time.Duration(rng.Int64N(int64(c.joinDelay/2)))
	if len(targets) == 0 {
		c.joinDelay = firstJoinIntervals * c.interval
		return nil
	}
	c.joinDelay = min(2*c.joinDelay, maxJoinIntervals*c.interval)
	slices.Sort(targets)
	targets = slices.Compact(targets)
	rng.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
	return targets[:min(len(targets), maxJoinTargets)]
}

// ShouldSendRoster reports whether to send a member this process's roster: it has an older or different one, and was not sent it
// lately.
func (c *Contacts) ShouldSendRoster(now Time, mine Roster, a Alive) bool {
	if a.Epoch > mine.Epoch || a.Epoch == mine.Epoch && a.Sum == mine.Sum() {
		return false
	}
	if last, sent := c.rosterSentAt[a.Name]; sent && now-last < rosterSendIntervals*c.interval {
		return false
	}
	if len(c.rosterSentAt) > 2*MaxRosterSize {
		clear(c.rosterSentAt)
	}
	c.rosterSentAt[a.Name] = now
	return true
}
