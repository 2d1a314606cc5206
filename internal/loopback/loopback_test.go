package loopback

import (
	"net"
	"testing"
)

// Outgoing connections use ports of 127.0.0.1 that the kernel chooses. None of them may conflict with a restarting
// listener.
func TestAddressSurvivesOutgoingConnections(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, port, err := net.SplitHostPort(address)
		if err != nil || seen[host] {
			t.Fatalf("%s is invalid or was returned twice: %v", address, err)
		}
		seen[host] = true
		// Occupies the port on 127.0.0.1, as an outgoing connection would.
		occupied, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue // in use by another program
		}
		l, err := net.Listen("tcp", address)
		occupied.Close()
		if err != nil {
			t.Fatalf("%s is in use: %v", address, err)
		}
		l.Close()
	}
}
