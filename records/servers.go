package records

import (
	"cmp"
	"slices"
	"time"
)

// Durations of a server's ejection. Jitter shortens each one by up to half, so that followers do not return to the
// server at the same time.
const (
	behindEjectionTime  = 10 * time.Second
	failedEjectionTime  = 15 * time.Second
	corruptEjectionTime = time.Minute
)

// servers has the servers in the follower's order of preference: requests go to the first one that is not ejected.
type servers struct {
	order []server
}

type server struct {
	name         string
	ejectedUntil time.Time // zero if it was never ejected
}

// newServers orders the servers by rendezvous hashing of the follower's name and theirs, so that followers are
// distributed evenly over them.
func newServers(follower string, names []string) servers {
	var all servers
	for _, name := range names {
		all.order = append(all.order, server{name: name})
	}
	slices.SortFunc(all.order, func(a, b server) int {
		return cmp.Or(cmp.Compare(hashStrings(follower, a.name), hashStrings(follower, b.name)), cmp.Compare(a.name, b.name))
	})
	return all
}

// pick returns the server for the next request: the first one that is not ejected. If all are ejected, or if the last
// request failed, it returns the one whose ejection ends first, so that every server is tried. It returns "" if there
// are no servers.
func (s *servers) pick(now time.Time, afterFailure bool) string {
	var best server
	for i, each := range s.order {
		if !afterFailure && !each.ejectedUntil.After(now) {
			return each.name
		}
		if i == 0 || each.ejectedUntil.Before(best.ejectedUntil) {
			best = each
		}
	}
	return best.name
}

// eject ejects a server until a time.
func (s *servers) eject(name string, until time.Time) {
	for i := range s.order {
		if s.order[i].name == name {
			s.order[i].ejectedUntil = until
		}
	}
}
