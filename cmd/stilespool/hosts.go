package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/keeper"
)

// runHosts asks the sources of each pool once and shows what they say together.
func runHosts(args []string, out, errs io.Writer) int {
	f := flags("hosts", errs)
	path := f.String("config", "", "configuration `file`")
	only := f.String("pool", "", "show this `pool` alone")
	wait := f.Duration("wait", 2*time.Second, "how long to wait for sources that say nothing")
	if status, ok := parse(f, args, 0); !ok {
		return status
	}
	if *path == "" || *wait <= 0 {
		f.Usage()
		return exitUsage
	}
	m, warnings, err := config.Load(*path)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	for _, w := range warnings {
		fmt.Fprintf(errs, "warning: %v\n", w)
	}
	if *only != "" && m.PoolNamed(*only) == nil {
		fmt.Fprintf(errs, "%s has no pool %q\n", *path, *only)
		return exitFailed
	}
	status := exitOK
	for _, p := range m.Pools {
		if *only == "" || p.Name == *only {
			if !showPool(p, *wait, out, errs) {
				status = exitFailed
			}
		}
	}
	return status
}

// showPool prints one pool and says whether all its sources have spoken.
func showPool(p *config.Pool, wait time.Duration, out, errs io.Writer) bool {
	s := ask(p, wait, errs)
	fmt.Fprintf(out, "pool %s\n", p.Name)
	whole := true
	for i, spec := range p.Sources {
		word := "has said nothing"
		if i < len(s.Spoken) && s.Spoken[i] {
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
		fmt.Fprintf(out, "  source %d  %s: %s\n", i+1, spec, word)
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
		if !strings.Contains(d.Why, "vouched for yet") { // nothing was sent to any
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
	} else {
		cfg.Belief = belief.Config{}
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
		if !slices.Contains(s.Spoken, false) {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(10 * time.Millisecond):
		}
	}
}
