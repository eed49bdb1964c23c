package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/limit"
)

// limitsCommand shows limits by key, as the running gateway holds them.
func limitsCommand() *cobra.Command {
	c := &cobra.Command{Use: "limits", Short: "show limits by key: what the running gateway turns away, and whom", Args: none}
	path := c.PersistentFlags().String("config", "", "configuration `file`")
	names := c.Flags().Bool("names", false, "show keys as they are, and not hashed")
	ask := func(c *cobra.Command, page string, into any) error {
		_, err := askRunning(c, *path, page, func(m *config.Model) error {
			if len(m.Rules) == 0 {
				return errors.New("there is no limit by key")
			}
			return nil
		}, into)
		return err
	}
	c.RunE = func(c *cobra.Command, _ []string) error {
		page := "/limits"
		if *names {
			page += "?names=1"
		}
		var s gateway.LimitsStatus
		err := ask(c, page, &s)
		if err == nil {
			showLimits(s, c.OutOrStdout())
		}
		return err
	}
	explain := &cobra.Command{Use: "explain URL", Short: "say which limits a request meets and how it would stand; nothing is charged", Args: exactly(1)}
	method := explain.Flags().StringP("method", "X", http.MethodGet, "`method`")
	headers := explain.Flags().StringArrayP("header", "H", nil, "a header, `'Name: value'`; may be given several times")
	from := explain.Flags().String("from", "", "client's `address`")
	listener := explain.Flags().String("listener", "", "`name` of the listener where it comes in")
	explain.RunE = func(c *cobra.Command, args []string) error {
		if _, err := headerOf("-H", *headers); err != nil {
			return err
		}
		if _, err := netip.ParseAddr(*from); err != nil && *from != "" {
			return usage{fmt.Errorf("--from %q is no address", *from)}
		}
		q := url.Values{"url": {args[0]}, "method": {*method}, "header": *headers, "address": {*from}, "listener": {*listener}}
		var e gateway.LimitsExplained
		err := ask(c, "/limits/explain?"+q.Encode(), &e)
		if err == nil {
			explainLimits(e, c.OutOrStdout())
		}
		return err
	}
	c.AddCommand(explain)
	return c
}

func showLimits(s gateway.LimitsStatus, out io.Writer) {
	for _, r := range s.Rules {
		c := r.Counts
		fmt.Fprintf(out, "%s: passed %d, of them %d held back; turned away %d over the rate, %d over the concurrency", r.Name, c.Passed, c.Waited, c.Rate, c.Open)
		if c.Dry > 0 {
			fmt.Fprintf(out, "; would have turned away %d (dry run)", c.Dry)
		}
		fmt.Fprintf(out, "\n  not about %d without the key, %d exempt; open now %d; this gateway's part %.3g\n", c.Absent, c.Exempt, r.Open, r.Part)
		if r.Most > 0 {
			fmt.Fprintf(out, "  keys: %d of %d that are kept, in %d KiB; %d gave way, %d of them forgotten\n", r.Keys, r.Most, r.Bytes>>10, r.GaveWay, r.Forgotten)
		}
		for _, k := range r.Heavy {
			fmt.Fprintf(out, "  turned away of late: %8.0f  %s\n", k.Away, k.Name)
		}
	}
}

func explainLimits(e gateway.LimitsExplained, out io.Writer) {
	if len(e.Rules) == 0 {
		fmt.Fprintf(out, "route %s: its requests meet no limit by key\n", e.Route)
		return
	}
	fmt.Fprintf(out, "route %s:\n", e.Route)
	for _, s := range e.Rules {
		fmt.Fprintf(out, "  %s: %s\n", s.Rule, standing(s))
	}
}

// standing says in words how a request stands against a limit.
func standing(s limit.Standing) string {
	switch {
	case !s.About && s.Absent:
		return "not about it: it lacks a part of the key"
	case !s.About:
		return "exempt"
	}
	text := "key " + s.Key
	if s.Absent {
		text = "lacks a part of the key and counts with all that do"
	}
	if s.Rate > 0 {
		text += fmt.Sprintf("; %.4g a second here (%.3g of the fleet's", s.Rate, s.Part)
		if s.Shared {
			text += ", by what comes"
		}
		text += ")"
	}
	if s.Most > 0 {
		text += fmt.Sprintf("; %d open of %d", s.Open, s.Most)
	}
	away := "turned away"
	if s.DryRun {
		away = "would be turned away (dry run)"
	}
	switch {
	case s.Over && s.After > 0:
		return text + fmt.Sprintf("; %s, passes in %v", away, s.After.Round(time.Millisecond))
	case s.Over:
		return text + "; " + away
	case s.Wait > 0:
		return text + fmt.Sprintf("; held back for %v", s.Wait.Round(time.Millisecond))
	case s.Rate > 0:
		return text + fmt.Sprintf("; passes, and %.0f more at once", s.Left)
	}
	return text + "; passes"
}
