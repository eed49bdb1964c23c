package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/hosthealth"
)

// verdictsCommand shows what gateways say of hosts, as the running one holds it.
func verdictsCommand() *cobra.Command {
	return pageCommand("verdicts", "show what gateways say of hosts that somebody speaks against, and what follows here", "/verdicts", func(m *config.Model) error {
		if m.Gossip == nil || !m.Gossip.Verdicts {
			return errors.New("fleet.verdicts is not set: each gateway goes by its own outcomes")
		}
		return nil
	}, showVerdicts)
}

func showVerdicts(s gateway.VerdictsStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: packets sent %d, taken %d, strange %d, lost %d\n", s.Name, s.Counts.Sent, s.Counts.Taken, s.Counts.Strange, s.Lost)
	if s.Odd {
		fmt.Fprintln(out, "  this gateway alone finds hosts bad that answer others: look at its link and its processor; it warns nobody")
	}
	if len(s.Hosts) == 0 {
		fmt.Fprintln(out, "  nobody speaks against any host")
	}
	for _, h := range s.Hosts {
		what := "nothing follows"
		switch {
		case h.Down:
			what = fmt.Sprintf("down: %d were refused", h.Refused)
		case h.Doubt > 0:
			what = fmt.Sprintf("doubted by %.2f", h.Doubt)
		}
		fmt.Fprintf(out, "  %s: %s\n", h.Name, what)
		for _, t := range append([]hosthealth.Said{h.Own}, h.Said...) {
			if t.Good+t.Bad >= 0.01 {
				fmt.Fprintf(out, "    %-24s %5.1f good, %5.1f bad, last %v ago: %v\n", t.Reporter, t.Good, t.Bad, t.Age.Round(time.Millisecond), t.Last)
			}
		}
	}
}
