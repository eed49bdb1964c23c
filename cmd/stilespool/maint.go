package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/override"
)

// maintCommand takes hosts out by hand, at the running gateway or at all that it hears, and shows what
// is out in the whole fleet.
func maintCommand() *cobra.Command {
	c := &cobra.Command{Use: "maint", Short: "take a host out of use or call it back, here or at all gateways, and show what is out"}
	path := c.PersistentFlags().String("config", "", "configuration `file`")
	word := func(use, short, call string) *cobra.Command {
		w := &cobra.Command{Use: use + " HOST", Short: short, Args: cobra.ExactArgs(1)}
		fleet := w.Flags().Bool("fleet", false, "at all gateways that the running one hears (fleet.overrides)")
		w.RunE = func(c *cobra.Command, args []string) error {
			m, err := managed(c, *path)
			if err != nil {
				return err
			}
			page := "/hosts/" + url.PathEscape(args[0]) + call
			if *fleet {
				page += "?fleet=1"
			}
			text, err := adminCall(m, http.MethodPost, page)
			if err == nil {
				fmt.Fprint(c.OutOrStdout(), string(text))
			}
			return err
		}
		return w
	}
	show := &cobra.Command{Use: "show", Short: "show operators' overrides that hold for the fleet, and who lacks them", Args: none}
	show.RunE = func(c *cobra.Command, _ []string) error {
		var s gateway.OverridesStatus
		_, err := askRunning(c, *path, "/overrides", func(m *config.Model) error {
			if m.Gossip == nil || !m.Gossip.Overrides {
				return errors.New("fleet.overrides is not set: each gateway knows what is out by calls to itself")
			}
			return nil
		}, &s)
		if err == nil {
			showOverrides(s, c.OutOrStdout())
		}
		return err
	}
	c.AddCommand(word("out", "send nothing more to a host", "/maint"), word("back", "use a host again", "/ready"), show)
	return c
}

func showOverrides(s gateway.OverridesStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: packets sent %d, taken %d, strange %d, lost %d\n", s.Name, s.Counts.Sent, s.Counts.Taken, s.Counts.Strange, s.Lost)
	if len(s.Overrides) == 0 {
		fmt.Fprintln(out, "  nothing was said for the fleet")
	}
	for _, w := range s.Overrides {
		what := "back in use"
		if w.Out {
			what = "out"
		}
		fmt.Fprintf(out, "  %-24s %-12s said at %s %v ago (version %d)%s\n", w.Host, what, w.By, w.Age.Round(time.Millisecond), w.Version, missing(w))
	}
}

// missing says where a word does not hold, as far as is known.
func missing(w override.Status) string {
	said := ""
	if !w.Holds {
		said += ", not done here yet"
	}
	if len(w.Lack) > 0 {
		said += ", not yet at " + strings.Join(w.Lack, ", ")
	}
	if len(w.Away) > 0 {
		said += ", cut off: " + strings.Join(w.Away, ", ")
	}
	return said
}
