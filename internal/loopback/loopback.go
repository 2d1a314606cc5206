// Package loopback allocates loopback addresses that a listener can reuse after a restart.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// allocated counts the addresses that Host has returned. It is the only shared state, so no address
// is returned twice.
var allocated atomic.Uint32

// Host returns a loopback address that is unique in this process and most likely unique among processes.
//
// A port of 127.0.0.1 that is released, even for a moment, can be used by any outgoing connection of the
// machine, since those use any free port of that address. On a busy machine a restarting listener would find its
// port in use.
func Host() string {
	n := allocated.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/250%250, 1+n%250)
}

// FreeAddress returns an address with an unused port, for a program that listens, stops and listens again.
func FreeAddress() (address string, err error) {
	l, err := net.Listen("tcp", Host()+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
