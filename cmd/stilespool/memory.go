package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/learning"
	"frostshift/internal/membership"
	"frostshift/internal/save"
)

// memoryCommand shows what a gateway has kept of what it learned, and whether its next process would take it.
func memoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "memory", Short: "show what is kept of what was learned of hosts, and whether it would be taken", Args: none}
	path := c.Flags().String("config", "", "configuration `file`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		m, err := configured(c, *path)
		if err != nil {
			return err
		}
		if m.State == "" {
			return fmt.Errorf("%s: state is not set: nothing is kept", *path)
		}
		return showMemory(m, time.Now(), c.OutOrStdout())
	}
	return c
}

func showMemory(m *config.Model, now time.Time, out io.Writer) error {
	folder := filepath.Join(m.State, gateway.LearnedDir)
	kept := save.Look(folder)
	if kept.Damage != nil {
		fmt.Fprintf(out, "damaged: %v\n", kept.Damage)
	}
	pools, age, err := learning.Decode(now, kept.Parts)
	switch {
	case errors.Is(err, learning.ErrFuture), errors.Is(err, learning.ErrOld):
		fmt.Fprintf(out, "%s: written %v ago, it would not be taken: %v\n", folder, age.Round(time.Second), err)
	case err != nil:
		return fmt.Errorf("%s: %w", folder, err)
	default:
		fmt.Fprintf(out, "%s: written %v ago, it would be taken\n", folder, age.Round(time.Second))
	}
	names := map[string]string{}
	for _, p := range pools {
		if p.List != nil {
			for _, e := range p.List.Endpoints {
				names[fmt.Sprint(membership.HostID(e.Name))] = e.Name
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		fmt.Fprintf(out, "pool %s\n", name)
		learned := pools[name].Learned
		if learned == nil {
			continue
		}
		for _, h := range learned.Hosts {
			host := names[fmt.Sprint(h.ID)]
			if host == "" {
				host = fmt.Sprintf("%016x", uint64(h.ID))
			}
			what := "nothing known"
			if !h.Fresh {
				what = fmt.Sprintf("%v, %v old", time.Duration(h.RTT*float64(time.Second)).Round(100*time.Microsecond), h.Age.Round(time.Millisecond))
			}
			if h.Fails > 0 {
				what += fmt.Sprintf(", ejected %d times, out for %v more", h.Fails, h.Out.Round(time.Millisecond))
			}
			fmt.Fprintf(out, "  %-24s %s\n", host, what)
		}
	}
	return nil
}
