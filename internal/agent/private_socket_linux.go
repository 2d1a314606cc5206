package agent

import (
	"context"
	"net"
	"syscall"
)

// listenPrivate listens on a Unix socket whose file has mode 0600 as soon as it exists: the mode is set before the
// socket is bound. The umask can't be used instead, because it applies to the whole process and would also change the
// permissions of files that other goroutines create at the same time.
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
