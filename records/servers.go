package records

import (
	"cmp"
	"slices"
	"time"
)

// How long a server is left alone after a fault; each is shortened by up to half so
// that followers do not come back together.
const (
	behindEjectionTime  = 10 * time.Second
	failedEjectionTime  = 15 * time.Second
	corruptEjectionTime = time.Minute
)

// servers is a follower's picture of the servers: in an order of its own, the first
// that has not shown a fault lately is asked.
type servers struct {
	order []server
}

type server struct {
	name         string
	ejectedUntil time.Time // until when
}

// newServers orders the servers by a hash of the follower's name and theirs, so
// that followers spread evenly over them.
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

// pick returns the server to ask: the first that is not avoided. If all are, or if
// the last one asked was at fault, it is the one whose time is up first, so that all
// have their turn. No servers: an empty name.
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

func (s *servers) eject(name string, until time.Time) {
	for i := range s.order {
		if s.order[i].name == name {
			s.order[i].ejectedUntil = until
		}
	}
}
