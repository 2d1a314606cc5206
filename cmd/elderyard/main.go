// Elderyard is one gateway on real sockets. EDGE_CONFIG names its
// configuration; SIGHUP makes it read that again, and SIGTERM answer what it
// holds and end. EDGE_OPERATOR, or operator in the configuration, is where the
// operators' staff call. EDGE_LISTEN_FD is the descriptor of the clients'
// listening socket where that came with the process; then two processes can take
// turns at one address, and what must outlive that is kept in TMPDIR. ELDERYARD_SITE names the operator's file; without it that is
// deploy/site.toml in the working folder, if there is one.
package main

import (
	"errors"

	"elderyard/internal/config"
	"elderyard/internal/gateway"
	"elderyard/internal/launch"
)

func main() {
	// The library that finds the others would cost every gateway 3 MB of resident
	// memory, asked for or not: it is in a program of its own.
	launch.Main(func(c *config.Config) (gateway.Peers, error) {
		if c.Site.Peers.Listen != "" {
			return nil, errors.New("peers.listen: this program knows no other gateways; elderyard-peers does")
		}
		return nil, nil
	})
}
