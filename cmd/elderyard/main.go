// Elderyard is one gateway on real sockets. EDGE_CONFIG names its
// configuration; SIGHUP makes it read that again, and SIGTERM answer what it
// holds and end.
package main

import (
	"context"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"linnetbend/internal/gateway"
)

const (
	heapShare = 0.7 // of the memory limit; stacks, sockets and the binary have the rest
	heapGrow  = 400 // percent between collections: the heap is small beside the limit
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read whole
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(ctx, hup); err != nil {
		fmt.Fprintln(os.Stderr, "elderyard:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hup <-chan os.Signal) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	c, err := gateway.ReadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapShare))
	debug.SetGCPercent(heapGrow)
	log.SetPrefix(c.Name + " ")
	return gateway.Run(ctx, &c, gateway.Reload{Signal: hup,
		Read: func() (gateway.Config, error) { return gateway.ReadConfig(path) }})
}
