package agent

import (
	"net"
	"os/user"
	"strconv"
	"syscall"
)

// localUser returns the name of the user who has opened the other end of a local socket.
func localUser(conn *net.UnixConn) string {
	name := "local"
	raw, err := conn.SyscallConn()
	if err != nil {
		return name
	}
	raw.Control(func(fd uintptr) {
		cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		if err != nil {
			return
		}
		name = "uid " + strconv.Itoa(int(cred.Uid))
		if u, err := user.LookupId(strconv.Itoa(int(cred.Uid))); err == nil {
			name = u.Username
		}
	})
	return name
}
