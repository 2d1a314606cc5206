// Package scale measures a site with hundreds of gateways on one machine. The
// control machines are real: separate processes of the agent that elderctl runs,
// so that CPU and memory are measured for each. The gateways are simulated: agents
// in the test process that use the real protocol and keep the real state, but start
// no gateway. All traffic is on loopback, without TLS.
//
// It measures TCP payload bytes, messages, CPU time and resident memory of each
// process, and the time until a change is in force at all gateways.
package scale
