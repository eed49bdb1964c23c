// Command stilespool is one gateway: it takes requests from clients and passes
// them to hosts as a frostshift.Balancer decides. GW_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"frostshift/internal/gateway"
)

// heapShare is the part of the memory limit that the heap may fill before it is
// collected at any price; the rest is for stacks, sockets and the program.
const heapShare = 0.6

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "stilespool: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	hup := make(chan os.Signal, 1) // one more while one is waiting asks for the same
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := gateway.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	g, err := gateway.New(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			addr, err := gateway.ReloadDiscovery(os.Getenv)
			if err != nil {
				log.Error("new configuration not taken over, the old one stays", "err", err)
				continue
			}
			log.Info("configuration read again; only discovery is taken from it", "discovery", addr)
			g.MoveDiscovery(addr)
		}
	}()
	return g.Run(ctx)
}
