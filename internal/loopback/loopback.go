// Package loopback gives listeners addresses that stay theirs while they are down.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var given atomic.Uint32 // addresses by this process; the counter is all that is shared, so no two are alike

// Host returns a loopback address that nobody else in this process is given, and hardly anybody in another.
//
// Danger: a port of 127.0.0.1 that was given up, even for a moment, is free for all the machine's outgoing
// connections, which take any free port of the same address. On a busy machine whoever listened there finds it
// taken when it starts again.
func Host() string {
	n := given.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/250%250, 1+n%250)
}

// FreeAddress finds a port for a program that is to listen, end and listen again.
func FreeAddress() (address string, err error) {
	l, err := net.Listen("tcp", Host()+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
