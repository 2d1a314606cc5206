package members

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxJoinTargets      = 4  // per attempt: each of them knows all other members
	firstJoinIntervals  = 2  // probe intervals; the delay between attempts doubles
	maxJoinIntervals    = 20 // probe intervals
	rosterSendIntervals = 5  // probe intervals between rosters sent to one member
)

// Contacts decides to which addresses a process sends join requests and to which members it sends its roster, in
// addition to the messages of the failure detector. It is not safe for concurrent use.
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

// JoinTargets returns the addresses to which join requests are due at now, in random order: those of members that are
// not alive, since the failure detector forgets members after a long partition, and the seeds while too few members are
// known. The function address returns the last known address of a member, "" if there is none. The delay between
// attempts backs off while members are missing.
func (c *Contacts) JoinTargets(now Time, view *View, address func(name string) string, seeds []string, rng *rand.Rand) (targets []string) {
	if now < c.nextJoin {
		return nil
	}
	for _, v := range view.Members {
		if addr := address(v.Name); addr != "" && !v.Self && v.IsMember && !v.State.Alive() {
			targets = append(targets, addr)
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

// ShouldSendRoster reports whether this process should send its roster to a member: the member has an older or a
// conflicting one and was not sent one within rosterSendIntervals. If so, it records the roster as sent.
func (c *Contacts) ShouldSendRoster(now Time, own Roster, member Alive) bool {
	if member.Epoch > own.Epoch || member.Epoch == own.Epoch && member.Sum == own.Sum() {
		return false
	}
	if last, sent := c.rosterSentAt[member.Name]; sent && now-last < rosterSendIntervals*c.interval {
		return false
	}
	if len(c.rosterSentAt) > 2*MaxRosterSize {
		clear(c.rosterSentAt)
	}
	c.rosterSentAt[member.Name] = now
	return true
}
