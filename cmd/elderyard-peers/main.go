// Elderyard-peers is elderyard, the gateway, that also knows the other gateways of
// its site, as [peers] in the operator's file says. Without that table it behaves as
// elderyard does, and takes the same configuration, variables and signals.
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
			return nil, err // not a nil of another type
		}
		return p, nil
	})
}
