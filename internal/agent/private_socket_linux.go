package agent

import (
	"context"
	"net"
	"syscall"
)

// listenPrivate listens on a Unix socket whose file is the owner's alone from its first moment. The socket has that mode
// before it is bound. The umask is no way to give it: it is the whole process's, and what other goroutines create
// meanwhile would have other permissions too.
func listenPrivate(path string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var chmodErr error
		if err := socket.Control(func(fd uintptr) { chmodErr = syscall.Fchmod(int(fd), 0o600) }); err != nil {
			return err
		}
		return chmodErr
	}}
	return config.Listen(context.Background(), "unix", path)
}
