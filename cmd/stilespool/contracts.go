package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"frostshift/internal/config"
	"frostshift/internal/contract"
	"github.com/spf13/cobra"
)

// startPerHost is how many attempts a balancer lets a host hold before it has learnt what
// the host can take.
const startPerHost = 4

// contractsCommand lists the teams with what they are guaranteed.
func contractsCommand() *cobra.Command {
	c := &cobra.Command{Use: "contracts", Short: "list the teams, what they are guaranteed and whether it fits", Args: none}
	path := c.Flags().String("config", "", "configuration `file`")
	capacity := c.Flags().Float64("capacity", 0, "attempts that a pool can hold at once, as a running gateway has it; 0: "+
		fmt.Sprint(startPerHost)+" for each host that the file names")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *path == "" || *capacity < 0 {
			return usage{errors.New("contracts needs --config, and a capacity is not below 0")}
		}
		m, ok := read(*path, c.ErrOrStderr())
		if !ok {
			return said{}
		}
		if m.Contracts == nil {
			return fmt.Errorf("%s names no contracts", *path)
		}
		tellContracts(c.OutOrStdout(), c.ErrOrStderr(), m, *capacity)
		return nil
	}
	return c
}

func tellContracts(out, errs io.Writer, m *config.Model, capacity float64) {
	fmt.Fprintf(out, "%-14s %8s %8s %12s %8s %8s  %s\n", "team", "share", "rate", "concurrency", "burst", "ceiling", "classes, by priority")
	for _, t := range m.Contracts.Terms() {
		fmt.Fprintf(out, "%-14s %8.3g %8.3g %12.3g %8v %8.3g  %s\n", t.Team, t.Share, t.Rate, t.Concurrency, t.Burst, orOne(t.Ceiling), classesOf(t))
	}
	oversold := false
	for _, p := range m.Pools {
		n := capacity
		for _, s := range p.Sources {
			if capacity == 0 {
				n += float64(startPerHost * len(s.Static))
			}
		}
		if n == 0 {
			fmt.Fprintf(out, "pool %s: its hosts are not in the file; -capacity tells what it can hold\n", p.Name)
			continue
		}
		fit := m.Contracts.TotalGuarantee(n)
		word := "fits"
		if fit > 1 {
			word, oversold = "OVERSOLD", true
		}
		fmt.Fprintf(out, "pool %s: of %.4g attempts at once %.3g are guaranteed: %s\n", p.Name, n, fit*n, word)
		for _, t := range m.Contracts.Terms() {
			fmt.Fprintf(out, "  %-14s %6.2f\n", t.Team, t.Guarantee(n)*n)
		}
	}
	if oversold {
		fmt.Fprintln(errs, "warning: where all teams want what they are guaranteed at once, each gets less")
	}
}

func orOne(ceiling float64) float64 {
	if ceiling == 0 {
		return 1
	}
	return ceiling
}

func classesOf(t *contract.Terms) string {
	var names []string
	for name := range t.Classes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		if c := t.Classes[y].Priority - t.Classes[x].Priority; c != 0 {
			return c
		}
		return strings.Compare(x, y)
	})
	return strings.Join(names, ", ")
}
