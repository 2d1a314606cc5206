//go:build !linux

package agent

import (
	"net"
	"syscall"
)

// listenPrivate listens on a Unix socket whose file is the owner's alone from its first moment. Other systems than Linux
// have no mode of a socket that is not bound yet, so what other goroutines create meanwhile has other permissions too.
func listenPrivate(path string) (net.Listener, error) {
	previous := syscall.Umask(0o177)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}
