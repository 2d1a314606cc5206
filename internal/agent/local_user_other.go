//go:build !linux

package agent

import "net"

// localUser returns a fixed name: the user at the other end of a local socket is not known
// on this system.
func localUser(*net.UnixConn) string { return "local" }
