// Elderyard is a gateway on real sockets.
//
// EDGE_CONFIG names its configuration file. SIGHUP makes it read that file again; SIGTERM makes it respond to
// all open requests and end. EDGE_OPERATOR, or operator in the configuration, is the address of the operator
// API. EDGE_LISTEN_FD is the descriptor of an inherited listening socket for clients: an upgrade can then run
// the old and the new process on one address, and what must outlive that is stored in TMPDIR. ELDERYARD_SITE
// names the site file; without it that is deploy/site.toml in the working directory, if it exists.
package main

import (
	"errors"

	"elderyard/internal/config"
	"elderyard/internal/gateway"
	"elderyard/internal/launch"
)

func main() {
	// The membership library costs 3 MB of resident memory even where it is not used, so gateways with
	// peers have a program of their own.
	launch.Main(func(c *config.Config) (gateway.Peers, error) {
		if c.Site.Peers.Listen != "" {
			return nil, errors.New("peers.listen: this program knows no other gateways; elderyard-peers does")
		}
		return nil, nil
	})
}
