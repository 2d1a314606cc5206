// Package scale measures a site at the size of hundreds of gateways on one
// machine. The control machines are real: separate processes of the agent that
// elderctl runs, so that their CPU and memory are their own. The gateways are
// hollow: agents in the test's process that speak the real protocol and keep the
// real state, and start no gateway. All of it stays on loopback, without TLS.
//
// Counted are the bytes of TCP's payload, messages, CPU and resident memory by
// process, and the time until a change is in force everywhere.
package scale
