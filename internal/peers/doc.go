// Package peers implements a process's membership in its site. It drives the pure state machine of package members with
// the failure detector of hashicorp/memberlist (SWIM with Lifeguard), exchanges rosters and incarnations with other
// members, and persists the state that must survive a restart.
//
// Only the goroutine of Peers.Run uses the members.Machine, the failure detector and the saved state. It publishes a
// view and a permission after each change. All other methods read the latest published ones, or send a query to Run,
// and are safe for concurrent use. All goroutines that the package starts end before Run returns.
//
// Members authenticate each other by shared keys and the name of the site. The transport limits connections, bytes and
// bytes per second, whatever it receives. The package does not decide the meaning of membership (package members does),
// the set of members (the roster comes from a file or from other members), or the holder of a lease.
//
// A caller must call Peers.Allows right before an effect that depends on other members, and must not act on an earlier
// View. After Open, Run must be called: otherwise sockets and goroutines leak.
package peers
