package members

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	mostAsked  = 4  // at a time: one of them knows of all the others
	askFirst   = 2  // intervals of the first pause between asks; it doubles
	askMost    = 20 // intervals of the longest
	tellPauses = 5  // intervals between rosters told to one member
)

// Contacts decides whom a process asks to be let in again, and whom it tells its
// roster, beside what the detector does by itself. It belongs to one goroutine.
type Contacts struct {
	every time.Duration // the detector's interval
	askAt Time
	pause time.Duration
	told  map[string]Time
}

// NewContacts begins with an ask that is due at once.
func NewContacts(every time.Duration, now Time) *Contacts {
	return &Contacts{every: every, askAt: now, pause: askFirst * every, told: map[string]Time{}}
}

// Ask returns the addresses to be asked now, in any order: of whoever belongs and is
// not heard, and the seeds while too few are known. After a long cut the detector
// has forgotten those beyond it. Address is where a member was last found, "" for
// nowhere. Pauses grow while anybody is missed.
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
		c.pause = askFirst * c.every
		return nil
	}
	c.pause = min(2*c.pause, askMost*c.every)
	slices.Sort(targets)
	targets = slices.Compact(targets)
	rng.Shuffle(len(targets), func(i, k int) { targets[i], targets[k] = targets[k], targets[i] })
	return targets[:min(len(targets), mostAsked)]
}

// Tell tells whether a member is to be given this process's roster: it has an older
// or another one, and was not told lately.
func (c *Contacts) Tell(now Time, mine Roster, a Alive) bool {
	if a.Epoch > mine.Epoch || a.Epoch == mine.Epoch && a.Sum == mine.Sum() {
		return false
	}
	if last, told := c.told[a.Name]; told && now-last < tellPauses*c.every {
		return false
	}
	if len(c.told) > 2*MostNames {
		clear(c.told)
	}
	c.told[a.Name] = now
	return true
}
