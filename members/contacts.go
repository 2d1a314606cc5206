package members

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxAsked   = 4  // at a time: any of them knows all the others
	firstPause = 2  // intervals; the pause between requests doubles
	maxPause   = 20 // intervals
	tellPause  = 5  // intervals between rosters sent to one member
)

// Contacts decides which addresses a process asks to rejoin, and which members it sends its roster, in addition to what
// the failure detector does. It is not safe for concurrent use.
type Contacts struct {
	every time.Duration // the detector's interval
	askAt Time
	pause time.Duration
	sent  map[string]Time
}

// NewContacts returns Contacts whose first request is due at once.
func NewContacts(every time.Duration, now Time) *Contacts {
	return &Contacts{every: every, askAt: now, pause: firstPause * every, sent: map[string]Time{}}
}

// Ask returns the addresses to ask now, in any order: of members that are not heard of, as the failure detector forgets
// members after a long partition, and seeds while too few are known. Address returns the last known address of a member,
// "" for none. The pauses grow while members are missing.
func (c *Contacts) Ask(now Time, p *Picture, address func(name string) string, seeds []string, rng *rand.Rand) (targets []string) {
	if now < c.askAt {
		return nil
	}
	for _, v := range p.Members {
		if at := address(v.Name); at != "" && !v.Self && v.Belongs && !v.State.There() {
			targets = append(targets, at)
		}
	}
	if p.Likely <= 1 || len(targets) < p.Belong-p.Likely {
		targets = append(targets, seeds...)
	}
	c.askAt = now + c.pause + time.Duration(rng.Int64N(int64(c.pause/2)))
	if len(targets) == 0 {
		c.pause = firstPause * c.every
		return nil
	}
	c.pause = min(2*c.pause, maxPause*c.every)
	slices.Sort(targets)
	targets = slices.Compact(targets)
	rng.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
	return targets[:min(len(targets), maxAsked)]
}

// Tell reports whether to send a member this process's roster: it has an older or different one, and was not sent it
// lately.
func (c *Contacts) Tell(now Time, mine Roster, a Alive) bool {
	if a.Epoch > mine.Epoch || a.Epoch == mine.Epoch && a.Sum == mine.Sum() {
		return false
	}
	if last, sent := c.sent[a.Name]; sent && now-last < tellPause*c.every {
		return false
	}
	if len(c.sent) > 2*MostNames {
		clear(c.sent)
	}
	c.sent[a.Name] = now
	return true
}
