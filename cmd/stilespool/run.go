package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/asynclog"
	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/heaplimit"
)

// heapShare is the part of the memory limit that the heap may fill before it is
// collected at any price; the rest is for stacks, sockets and the program.
const heapShare = 0.6

// gcPercent is how far the heap grows between two collections where there is a limit on it.
// What lives is a few MB and what is thrown away tens of MB a second: at the usual 100
// collecting took a tenth of the processor's time.
const gcPercent = 200

const (
	// mostLogged is how many bytes of log wait for whoever reads it.
	mostLogged = 256 << 10
	// logWithin is how long the last of it may take at the end.
	logWithin = 100 * time.Millisecond
)

// runCommand runs a gateway until SIGTERM.
func runCommand() *cobra.Command {
	c := &cobra.Command{Use: "run", Short: "run a gateway; without --config as the platform says in GW_CONFIG", Args: none}
	path := c.Flags().String("config", "", "configuration `file`; none: the platform's, named by GW_CONFIG")
	c.RunE = func(c *cobra.Command, _ []string) error { return serve(*path, c.ErrOrStderr()) }
	return c
}

func serve(path string, errs io.Writer) error {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // else a log without a reader ends the process
	hup := make(chan os.Signal, 1)                          // one more while one is waiting asks for the same
	signal.Notify(hup, syscall.SIGHUP)
	// The signals stay caught to the end: an order to stop that comes while the gateway ends by
	// itself must not look like a death.
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-term
		stop()
	}()
	m, warnings, err := load(path)
	if err != nil {
		return err
	}
	if m.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(m.Limits.Cores)))
	}
	opt := gateway.Options{}
	if m.Limits.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		opt.Memory = heaplimit.New(int64(heapShare * float64(m.Limits.MemoryMB) * (1 << 20))).Share
	}
	lines := asynclog.New(errs, mostLogged)
	defer lines.Close(logWithin)
	log := logger(m, lines)
	for _, w := range warnings {
		log.Warn("configuration", "problem", w.Error())
	}
	g, err := gateway.New(m, log, opt)
	if err != nil {
		return err
	}
	if m.Limits.MemoryMB > 0 {
		releaseProgram()
	}
	go func() {
		for range hup {
			if next, err := reload(m, path, log); err != nil {
				g.Unread()
				log.Error("new configuration not taken over, the old one stays", "err", err)
			} else if err := g.Reload(next); err != nil {
				log.Error("new configuration not taken over, the old one stays", "err", err)
			} else {
				log.Info("configuration read again")
				m = next
			}
		}
	}()
	return g.Run(ctx)
}

// load reads the configuration: the file, or the platform's where none is named.
func load(path string) (*config.Model, config.Errors, error) {
	if path != "" {
		m, warnings, err := config.Load(path)
		if err == nil {
			err = apart(path, m)
		}
		return m, warnings, err
	}
	m, err := config.Platform(os.Getenv)
	return m, nil, err
}

// apart refuses talk among gateways where the platform runs this one: there they share nothing
// but the network.
func apart(path string, m *config.Model) error {
	if m.Gossip != nil && os.Getenv("GW_CONFIG") != "" {
		return fmt.Errorf("%s: fleet.listen: GW_CONFIG is set: on the platform gateways share nothing, so none may talk to another; leave fleet.listen out there", path)
	}
	return nil
}

func reload(old *config.Model, path string, log *slog.Logger) (*config.Model, error) {
	if path == "" {
		m, err := config.ReloadPlatform(old, os.Getenv)
		if err == nil {
			log.Info("only discovery is taken over", "discovery", m.Pools[0].Sources[0].Discovery)
		}
		return m, err
	}
	m, warnings, err := config.Load(path)
	for _, w := range warnings {
		log.Warn("configuration", "problem", w.Error())
	}
	return m, err
}

func logger(m *config.Model, to io.Writer) *slog.Logger {
	opt := &slog.HandlerOptions{Level: m.Log.Level}
	var h slog.Handler = slog.NewTextHandler(to, opt)
	if m.Log.JSON {
		h = slog.NewJSONHandler(to, opt)
	}
	return slog.New(h).With("gateway", m.Name)
}
