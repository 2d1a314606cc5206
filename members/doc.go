// Package members tracks the membership of a site as one process sees it. It separates two questions:
//
//   - Which processes are members is agreed: the Roster, a numbered list of names. Of two rosters the one with the
//     higher epoch is valid, and a member leaves only through a newer roster, never by being silent.
//   - Which members are alive is this process's opinion: the State of each name and the Verdict, derived from the events
//     of a failure detector. Any process's opinion may be wrong, and those of two processes may differ.
//
// Nothing that must be safe rests on the failure detector. Quotas are divided by Machine.QuotaDivisor, which is never
// below the safe count: the agreed members, alive or not, and every other process that is still observed. Exclusive
// duties need a lease that is granted elsewhere; the verdict can only forbid them earlier. Whatever depends on other
// members is checked with Permission.Allows right before its effect, since the process may have been suspended since its
// last event.
//
// Each start of a process under a name has an Incarnation. Of two incarnations of one name the higher one owns the name;
// the other one is superseded and may do nothing any more.
//
// A Machine is a pure state machine: it receives events and times, and returns views and permissions. It has no clock,
// socket or goroutine and is not safe for concurrent use. One goroutine of the driver (internal/peers) owns it; Views and
// Permissions are copies that any goroutine may read.
//
// The package does not decide who becomes a member (operators and package fleet do), it grants no leases (package lease),
// and it does not detect failures itself. A caller must not skip Tick events, use a View as permission to act, or treat
// StateFailed as proof that a process has ended.
package members
