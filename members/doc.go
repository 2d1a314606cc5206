// Package members tracks the membership of a site as one process sees it. It separates two questions:
//
//   - Which processes are members is agreed: the Roster, a list of names with an epoch. Of two rosters the one with the
//     higher epoch is valid, and a member is removed only by a newer roster, never because it is silent.
//   - Which members are alive is the local estimate of each process: the State of each name and the Verdict, derived
//     from the events of a failure detector. An estimate may be wrong, and those of two processes may differ.
//
// No safety property depends on the failure detector. Quotas are divided by Machine.QuotaDivisor, which is never below
// the safe count: the agreed members, alive or not, and every other process that is still observed. Exclusive duties
// need a lease that is granted elsewhere; the verdict can only forbid them earlier. An operation that depends on other
// members must be checked with Permission.Allows right before its effect, since the process may have been suspended
// since its last event.
//
// Each start of a process under a name has an Incarnation. Of two incarnations of one name the higher one owns the
// name; the other one is superseded and may no longer use a lease or a quota.
//
// A Machine is a pure state machine: its input is events with times, its output views and permissions. It has no clock,
// socket or goroutine and is not safe for concurrent use. One goroutine of the driver (internal/peers) owns it; Views
// and Permissions are copies that any goroutine may read.
//
// The package does not decide which processes become members (operators and package fleet do), it grants no leases
// (package lease does), and it does not detect failures itself. A caller must not skip Tick events, use a View as a
// permission, or treat StateFailed as proof that a process has ended.
package members
