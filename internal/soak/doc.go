// Package soak plays small sites of real gateway processes against clients and backends whose pace, form and size are
// drawn from a seed, and checks from what crossed the sockets that every request was answered in time, that nothing was
// cut off or ran twice, and that no process passed its memory limit. All of it is in test files: the short form is part
// of the test suite, the long one is started with flags (see docs/operate/soak.md).
package soak
