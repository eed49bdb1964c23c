package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
)

// loadCommand shows what gateways have out at hosts, as the running one holds it.
func loadCommand() *cobra.Command {
	return pageCommand("load", "show what this gateway and the others have out at hosts, and how far their word counts here", "/load", func(m *config.Model) error {
		if m.Gossip == nil || !m.Gossip.Load {
			return errors.New("fleet.load is not set: each gateway goes by its own attempts")
		}
		return nil
	}, showLoad)
}

func showLoad(s gateway.LoadStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: packets sent %d, taken %d, strange %d, lost %d, held back %d\n", s.Name, s.Counts.Sent, s.Counts.Taken, s.Counts.Strange, s.Lost, s.Counts.Held)
	if len(s.Hosts) == 0 {
		fmt.Fprintln(out, "  nothing is out at any host")
	}
	for _, h := range s.Hosts {
		fmt.Fprintf(out, "  %s: %d out here, %.1f elsewhere\n", h.Name, h.Own, h.Others)
		for _, t := range h.Reporters {
			fmt.Fprintf(out, "    %-24s %2d, counts %.2f, %v away, said %v ago\n", t.Name, t.Out, t.Weight, t.Lag.Round(time.Millisecond), t.Age.Round(time.Millisecond))
		}
	}
}
