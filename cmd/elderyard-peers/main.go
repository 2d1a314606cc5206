// Elderyard-peers is elderyard with membership among the gateways of its site, as configured by [peers] in the
// site file. Without that table it behaves like elderyard. It has the same configuration, environment
// variables and signals.
package main

import (
	"log/slog"
	"os"

	"elderyard/internal/config"
	"elderyard/internal/gateway"
	"elderyard/internal/launch"
	"elderyard/internal/peers"
)

func main() {
	launch.Main(func(c *config.Config) (gateway.Peers, error) {
		set, err := peers.FromSite(c.Site.Peers, c.Name, c.Operator, os.Getenv, slog.Default())
		if set == nil || err != nil {
			return nil, err
		}
		set.WaitForAddress = c.InheritedListener
		p, err := peers.Open(*set)
		if err != nil {
			return nil, err // p would make a non-nil interface
		}
		return p, nil
	})
}
