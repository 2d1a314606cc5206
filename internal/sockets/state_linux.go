package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states in which the peer has closed or reset the connection, as in the
// kernel's include/net/tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// closedBehindData reports whether the peer has closed or reset a connection that still
// holds unread bytes. The state is the first byte of struct tcp_info, of which the kernel
// returns as many bytes as are requested. A socket that is not TCP counts as open.
func closedBehindData(fd uintptr) bool {
	info, err := syscall.GetsockoptInet4Addr(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	switch info[0] {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// unread returns the number of bytes in a socket's receive queue.
func unread(fd uintptr) (int, error) { return unix.IoctlGetInt(int(fd), unix.SIOCINQ) }
