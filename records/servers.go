package records

import (
	"cmp"
	"slices"
	"time"
)

// How long a server is ejected after a fault. Each time is shortened by up to half, so that
// followers do not return to the server together.
const (
	behindEjectionTime  = 10 * time.Second
	failedEjectionTime  = 15 * time.Second
	corruptEjectionTime = time.Minute
)

// servers is a follower's view of the servers, in the follower's own order of preference: it
// requests from the first one that is not ejected.
type servers struct {
	order []server
}

type server struct {
	name         string
	ejectedUntil time.Time // zero: it never was ejected
}

// newServers orders the servers by rendezvous hashing of the follower's name and theirs, so
// that followers are spread evenly over them.
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

// pick returns the server for the next request: the first one that is not ejected. If all are,
// or if the last request failed, it is the one whose ejection ends first, so that every server
// is tried. Without servers the name is empty.
func (s *servers) pick(now time.Time, afterFault bool) string {
	var best server
	for i, each := range s.order {
		if !afterFault && !each.ejectedUntil.After(now) {
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
