// Package capacity computes whether a site of a given size stays within its budgets. From the size, from
// quantities measured at other sizes and from the budgets it derives, for each role, the state, messages, bytes,
// CPU, memory and time that are needed, with a verdict for each. It performs no I/O.
package capacity
