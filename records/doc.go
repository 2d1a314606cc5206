// Package records holds a site's configuration as typed, keyed records (routes,
// tenants, plans and services) under one version that only grows, and the means
// to bring every change of them to many gateways.
//
// A Store is the authority: a replicated state machine that applies changes in
// the order of a log and keeps a bounded log of what changed. A Replica is one
// gateway's whole copy at one version. A Follower decides when a gateway asks
// which server for what, and a Repair collects by ranges of keys what a delta
// cannot bring.
//
// The package does no I/O, starts no goroutine and reads no clock. None of its
// types may be used by several goroutines at once.
package records
