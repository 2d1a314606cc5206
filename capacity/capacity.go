// Package capacity works out whether a site carries a size: from the size, from
// slopes measured at other sizes, and from budgets, it computes by role what a
// process holds, sends and spends, and the verdict. It does no I/O.
package capacity
