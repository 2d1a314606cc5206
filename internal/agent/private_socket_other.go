//go:build !linux

package agent

import (
	"net"
	"syscall"
)

// listenPrivate listens on a Unix socket whose file has mode 0600 as soon as it exists. Only Linux can set the mode of a
// socket before it is bound. The umask used here also applies to files that other goroutines create at the same time.
func listenPrivate(path string) (net.Listener, error) {
	previous := syscall.Umask(0o177)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}
