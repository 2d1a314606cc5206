// Package launch starts a gateway as a program: from the environment, the platform's
// configuration and the operator's file to its end. The programs differ only in
// whether they can take part among the gateways of their site.
package launch

import (
	"context"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"elderyard/internal/config"
	"elderyard/internal/gateway"
	"elderyard/internal/site"
	"elderyard/internal/telemetry"
)

const defaultSite = "deploy/site.toml"

// OpenPeers takes up a gateway's part among those of its site, by its configuration; nil
// where it is to take none.
type OpenPeers func(*config.Config) (gateway.Peers, error)

// Main runs a gateway until it is asked to end, and ends the process with status 1
// where it can't be run.
func Main(open OpenPeers) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read whole
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(ctx, hup, open); err != nil {
		fmt.Fprintln(os.Stderr, "elderyard:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hup <-chan os.Signal, open OpenPeers) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	c, err := config.Read(path)
	if err != nil {
		return err
	}
	if c.Site, err = operatorsFile(); err != nil {
		return err
	}
	export, err := telemetry.FromSite(c.Site.Telemetry, os.Getenv, c.Name)
	if err != nil {
		return fmt.Errorf("telemetry: %w", err)
	}
	if operator := os.Getenv("EDGE_OPERATOR"); operator != "" {
		c.Operator = operator
	}
	if c.Operator != "" {
		c.StateDir = os.Getenv("TMPDIR")
	}
	fd := -1
	if text := os.Getenv("EDGE_LISTEN_FD"); text != "" {
		if fd, err = strconv.Atoi(text); err != nil || fd < 3 {
			return fmt.Errorf("EDGE_LISTEN_FD: %q is not a descriptor that came with the process", text)
		}
		c.Share()
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * c.Site.Memory.HeapShare))
	debug.SetGCPercent(c.Site.Memory.HeapGrow)
	log.SetPrefix(c.Name + " ")
	fellows, err := open(&c)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	return gateway.Run(ctx, &c, fd, export, fellows, gateway.Reload{Signal: hup, Read: func() (config.Config, error) {
		next, err := config.Read(path)
		if fd >= 0 {
			next.Share()
		}
		return next, err
	}})
}

// operatorsFile reads the operator's file. One that is named must be there.
func operatorsFile() (site.Settings, error) {
	path := os.Getenv("ELDERYARD_SITE")
	if path == "" {
		return site.Read(defaultSite)
	}
	if _, err := os.Stat(path); err != nil {
		return site.Settings{}, fmt.Errorf("operator's file: %w", err)
	}
	return site.Read(path)
}
