package loopback

import (
	"net"
	"testing"
)

// Connections go out from 127.0.0.1 by ports that the kernel picks; none may be in the way of a listener that
// starts again.
func TestAFreedAddressIsNotTakenByOutgoingConnections(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		at, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, port, err := net.SplitHostPort(at)
		if err != nil || seen[host] {
			t.Fatalf("%s again, or %v", at, err)
		}
		seen[host] = true
		// What such a connection does, on the very port.
		taken, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue // another program has that one
		}
		l, err := net.Listen("tcp", at)
		taken.Close()
		if err != nil {
			t.Fatalf("%s is taken: %v", at, err)
		}
		l.Close()
	}
}
