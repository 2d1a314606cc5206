//go:build !linux

package agent

import "net"

// localUser is the user at the other end of a local socket, as far as the system
// tells.
func localUser(*net.UnixConn) string { return "local" }
