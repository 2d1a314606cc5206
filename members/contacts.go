package members

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxJoinTargets      = 4  // per attempt: any of them knows all the others
	firstJoinIntervals  = 2  // probe intervals; the backoff between attempts doubles
	maxJoinIntervals    = 20 // probe intervals
	rosterSendIntervals = 5  // probe intervals between rosters sent to one member
)

// Contacts decides to which addresses a process sends join requests, and to which members its roster, in addition to what
// the failure detector sends. It is not safe for concurrent use.
type Contacts struct {
	interval     time.Duration // between probes
	nextJoin     Time
	joinDelay    time.Duration
	rosterSentAt map[string]Time
}

// NewContacts returns Contacts whose first join request is due at once. Interval is the probe interval.
func NewContacts(interval time.Duration, now Time) *Contacts {
	return &Contacts{interval: interval, nextJoin: now, joinDelay: firstJoinIntervals * interval, rosterSentAt: map[string]Time{}}
}

// JoinTargets returns the addresses to send join requests to now, in any order: those of members that are not alive, since
// the failure detector forgets members after a long partition, and the seeds while too few members are known. The function
// address returns the last known address of a member, "" for none. The delay between attempts backs off while members are
// missing.
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

// ShouldSendRoster reports whether to send a member this process's roster: it has an older or a conflicting one, and was
// sent none in the last intervals. If so, it records the roster as sent.
func (c *Contacts) ShouldSendRoster(now Time, own Roster, a Alive) bool {
	if a.Epoch > own.Epoch || a.Epoch == own.Epoch && a.Sum == own.Sum() {
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
