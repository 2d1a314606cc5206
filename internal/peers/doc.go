// Package peers makes a process take part in its site's membership. It drives the pure state machine of package members
// with the failure detector of hashicorp/memberlist (SWIM with Lifeguard), exchanges rosters and incarnations with other
// members, and keeps on disk what must survive a restart.
//
// Peers.Run is the only goroutine that uses the members.Machine, the failure detector and the saved state; it publishes a
// view and a permission after each change. All other methods read what was published last, or send Run a query, and may
// be called from any goroutine. The goroutines that the package starts end before Run
// returns.
//
// Members authenticate each other by shared keys and the name of the site; the transport limits connections, bytes and
// bytes per second, whatever arrives. The package does not decide what membership means (package members), who becomes a
// member (the roster comes from a file or from other members), or who holds a lease.
//
// A caller must call Peers.Allows right before an effect that depends on other members, and must not act on an earlier
// View. After Open, Run must be called: otherwise sockets and goroutines stay open.
package peers
