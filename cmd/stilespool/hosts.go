package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/membership"
	"frostshift/internal/membership/keeper"
	"github.com/spf13/cobra"
)

// hostsCommand shows the hosts of each pool: as the running gateway has them, where it shows
// that, or else as the sources say when they are asked once.
func hostsCommand() *cobra.Command {
	c := &cobra.Command{Use: "hosts", Short: "show the hosts of pools, where each comes from and what is doubted", Args: none}
	f := c.Flags()
	path := f.String("config", "", "configuration `file`")
	only := f.String("pool", "", "show this `pool` alone")
	again := f.Bool("ask", false, "ask the sources, also where a running gateway shows what it knows")
	wait := f.Duration("wait", 2*time.Second, "how long to wait for sources that say nothing")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *path == "" || *wait <= 0 {
			return usage{errors.New("hosts needs --config, and a time to wait")}
		}
		m, ok := read(*path, c.ErrOrStderr())
		if !ok {
			return said{}
		}
		if *only != "" && m.PoolNamed(*only) == nil {
			return fmt.Errorf("%s has no pool %q", *path, *only)
		}
		whole := true
		for _, p := range m.Pools {
			if *only == "" || p.Name == *only {
				s, shown := gateway.View{}, false
				if !*again && m.Views != "" {
					s, shown = shownState(keeper.ViewPath(m.Views, p.Name))
				}
				if !shown {
					s.State = ask(p, *wait, c.ErrOrStderr())
				}
				whole = showPool(p, &s.State, shown, c.OutOrStdout()) && whole
				if s.Standing != nil {
					showStanding(&s, c.OutOrStdout())
				}
			}
		}
		if !whole {
			return said{}
		}
		return nil
	}
	return c
}

// shownState reads what a running gateway shows; false: none does.
func shownState(path string) (s gateway.View, ok bool) {
	text, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(text, &s) != nil || time.Since(s.At) > keeper.ViewAge {
		return gateway.View{}, false
	}
	return s, true
}

// showStanding prints which hosts this gateway uses, why, and what it turns away.
func showStanding(v *gateway.View, out io.Writer) {
	s := v.Standing
	fmt.Fprintf(out, "  this gateway draws from %d hosts", s.Part)
	if s.Reach > s.Part {
		fmt.Fprintf(out, ", %d for its own load", s.Reach)
	}
	fmt.Fprintf(out, "; %.3g gateways share a host\n  admitted: %.0f%%; answers take %.2f aims by %.1f recent ones, shed from %.2f on\n", s.Sharers, 100*s.Admitted, s.Late, s.Answers, s.PressedAt)
	names := map[frostshift.HostID]string{}
	for _, e := range v.Entries {
		names[membership.HostID(e.Name)] = e.Name
	}
	for _, h := range s.Hosts {
		if h.Use == frostshift.UseBeyond {
			continue
		}
		fmt.Fprintf(out, "  %-24s %-8s %v, %d out", names[h.ID], h.Use, h.Estimate.Round(100*time.Microsecond), h.Pending)
		if h.Unlike > 0 {
			fmt.Fprintf(out, ", unlike the others by %.1f answers: believed %.0f%%", h.Answers, 100*h.Unlike)
		}
		if h.Out > 0 {
			fmt.Fprintf(out, ", out for %v", h.Out.Round(time.Millisecond))
		}
		fmt.Fprintln(out)
	}
}

// showPool prints one pool and says whether all its sources have spoken.
func showPool(p *config.Pool, s *keeper.State, shown bool, out io.Writer) bool {
	fmt.Fprintf(out, "pool %s", p.Name)
	if shown {
		fmt.Fprintf(out, ", as the running gateway had it %v ago: goes by %d", time.Since(s.At).Round(time.Second), s.Believed)
	}
	fmt.Fprintln(out)
	whole := len(s.Sources) > 0
	for i, source := range s.Sources {
		word := "has said nothing"
		if source.Spoken {
			n := 0
			for _, e := range s.Entries {
				if e.Source == i || slices.Contains(e.Others, i) {
					n++
				}
			}
			word = fmt.Sprintf("names %d", n)
		} else {
			whole = false
		}
		fmt.Fprintf(out, "  source %d  %s: %s\n", i+1, source.Name, word)
	}
	for _, e := range s.Entries {
		from := fmt.Sprint(e.Source + 1)
		for _, o := range e.Others {
			from += fmt.Sprintf(", also %d", o+1)
		}
		notes := ""
		if e.Hidden != "" {
			notes = "  not used: " + e.Hidden + " counts at this address"
		}
		fmt.Fprintf(out, "  %-24s %-22s %-8s from %s%s\n", e.Name, e.Address, e.Status, from, notes)
	}
	for _, d := range s.Doubts {
		if shown || !strings.Contains(d.Why, "vouched for yet") { // nothing was sent to any
			fmt.Fprintf(out, "  doubted: %s: %s\n", d.Host.Name, d.Why)
		}
	}
	return whole
}

// ask follows the sources of a pool until each has spoken, or the time is over.
func ask(p *config.Pool, wait time.Duration, errs io.Writer) (s keeper.State) {
	cfg := keeper.Config{Specs: p.Sources, Log: slog.New(slog.NewTextHandler(errs, nil)), List: func(*membership.List) {}}
	if p.Belief != nil {
		cfg.Belief = *p.Belief
	}
	k := keeper.New(cfg)
	ctx, end := context.WithTimeout(context.Background(), wait)
	defer end()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	defer func() { end(); <-ended }()
	for {
		now, ok := k.State()
		if !ok {
			return s
		}
		s = now
		if !slices.ContainsFunc(s.Sources, func(s keeper.SourceState) bool { return !s.Spoken }) {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(10 * time.Millisecond):
		}
	}
}
