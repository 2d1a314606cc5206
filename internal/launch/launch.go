// Package launch runs a gateway program: it reads the environment, the platform's configuration and the
// site file, and runs the gateway until it ends. The programs differ only in whether they can
// join the other gateways of their site.
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

// defaultSite is the site file if ELDERYARD_SITE is not set. It need not exist.
const defaultSite = "deploy/site.toml"

// OpenPeers joins the gateways of the site as the configuration specifies. It returns nil if the gateway
// should not join them.
type OpenPeers func(*config.Config) (gateway.Peers, error)

// Main runs a gateway until it is asked to stop. If the gateway can't run, it exits with status 1.
func Main(open OpenPeers) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // one pending signal is enough, since a reload reads the whole file
	signal.Notify(reload, syscall.SIGHUP)
	if err := run(ctx, reload, open); err != nil {
		fmt.Fprintln(os.Stderr, "elderyard:", err)
		os.Exit(1)
	}
}

// run runs a gateway until ctx ends, and reloads its configuration at each signal from reload.
func run(ctx context.Context, reload <-chan os.Signal, open OpenPeers) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	c, err := config.Read(path)
	if err != nil {
		return err
	}
	if c.Site, err = readSiteSettings(); err != nil {
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
			return fmt.Errorf("EDGE_LISTEN_FD: %q is not an inherited file descriptor", text)
		}
		c.HalveLimits()
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))
	c.HeapBytes = heapLimit(int64(c.MemoryMB)<<20, programMemory(), c.Site.Memory.HeapShare)
	debug.SetMemoryLimit(c.HeapBytes)
	debug.SetGCPercent(c.Site.Memory.HeapGrow)
	log.SetPrefix(c.Name + " ")
	peers, err := open(&c)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	return gateway.Run(ctx, &c, fd, export, peers, gateway.Reload{Signal: reload, Read: func() (config.Config, error) {
		next, err := config.Read(path)
		if fd >= 0 {
			next.HalveLimits()
		}
		return next, err
	}})
}

// readSiteSettings reads the site file. A file that ELDERYARD_SITE names must exist.
func readSiteSettings() (site.Settings, error) {
	path := os.Getenv("ELDERYARD_SITE")
	if path == "" {
		return site.Read(defaultSite)
	}
	if _, err := os.Stat(path); err != nil {
		return site.Settings{}, fmt.Errorf("operator's file: %w", err)
	}
	return site.Read(path)
}
