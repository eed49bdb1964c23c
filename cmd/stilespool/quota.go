package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
	"frostshift/internal/quota"
)

// quotaCommand speaks of limits of the whole fleet, as the running gateway holds its part.
func quotaCommand() *cobra.Command {
	c := &cobra.Command{Use: "quota", Short: "show limits of the whole fleet and the running gateway's part in them", Args: none}
	path := c.PersistentFlags().String("config", "", "configuration `file`")
	ask := func(c *cobra.Command, all string) (s gateway.QuotaStatus, m *config.Model, err error) {
		m, err = askRunning(c, *path, "/quota"+all, func(m *config.Model) error {
			if m.Quota == nil {
				return fmt.Errorf("quota is not set: absolute figures are divided evenly among %d gateways", m.Instances)
			}
			return nil
		}, &s)
		return s, m, err
	}
	status := &cobra.Command{Use: "status", Short: "show the limits that gateways share now", Args: none}
	all := status.Flags().Bool("all", false, "also those of which everybody has the even part")
	status.RunE = func(c *cobra.Command, _ []string) error {
		query := ""
		if *all {
			query = "?all=1"
		}
		s, _, err := ask(c, query)
		if err == nil {
			showQuota(s, c.OutOrStdout())
		}
		return err
	}
	explain := &cobra.Command{Use: "explain TEAM", Short: "say what a team is guaranteed here, and why", Args: cobra.ExactArgs(1)}
	explain.RunE = func(c *cobra.Command, args []string) error {
		s, m, err := ask(c, "?all=1")
		if err == nil {
			err = explainQuota(s, m, args[0], c.OutOrStdout())
		}
		return err
	}
	c.AddCommand(status, explain)
	return c
}

func showQuota(s gateway.QuotaStatus, out io.Writer) {
	fmt.Fprintf(out, "%s: %d gateways alive of at most %d, the file says %d; lease %v, side %s\n", s.Name, s.Alive, s.Most, s.Typed, s.Lease, s.Side)
	fmt.Fprintf(out, "  bound in force: mostly_full up to %.3g times, never_over short by %.3g at most; packets sent %d, taken %d, strange %d, lost %d\n",
		s.Times, s.Short, s.Counts.Sent, s.Counts.Taken, s.Counts.Strange, s.Lost)
	if len(s.Limits) == 0 {
		fmt.Fprintln(out, "  nothing is shared now: each gateway has its even part")
		return
	}
	fmt.Fprintf(out, "  %-36s %-11s %9s %9s %9s %9s %9s  %s\n", "limit", "mode", "amount", "here", "kept", "wanted", "lent", "shared out by")
	for _, l := range s.Limits {
		fmt.Fprintf(out, "  %-36s %-11s %9.4g %9.4g %9.4g %9.4g %9.4g  %s%s\n", l.Name, l.Mode, l.Amount, l.Here, l.Kept, l.Wanted, l.Lent, l.Owner, heardOf(l))
		if l.Holders > 0 {
			fmt.Fprintf(out, "  %-36s shared out here: %.4g granted of %.4g lent, to %d processes\n", "", l.Granted, l.Loans, l.Holders)
		}
	}
}

func heardOf(l quota.LimitStatus) string {
	if l.Age == 0 {
		return ""
	}
	return fmt.Sprintf(", heard %v ago", l.Age.Round(time.Millisecond))
}

// explainQuota says in words what a team is guaranteed at each pool.
func explainQuota(s gateway.QuotaStatus, m *config.Model, team string, out io.Writer) error {
	if m.Contracts == nil || m.Contracts.Team(team) == nil {
		return fmt.Errorf("there is no contract of a team %q", team)
	}
	t := m.Contracts.Team(team)
	switch {
	case t.Absolute() == 0:
		fmt.Fprintf(out, "%s has neither rate nor concurrency (%s): its share is of each gateway's hosts, and nothing is shared among gateways\n", team, t.File)
		return nil
	case t.SplitEvenly:
		fmt.Fprintf(out, "%s has limit_mode = \"even\" (%s:%d): each of %d gateways has %.4g of %.4g\n", team, t.File, t.Lines["limit_mode"], m.Instances, t.Absolute()/float64(m.Instances), t.Absolute())
		return nil
	}
	for _, p := range m.Pools {
		for _, l := range s.Limits {
			if l.Name != gateway.TeamLimit(p.Name, team) {
				continue
			}
			even := l.Amount / float64(max(s.Alive, 1))
			if l.Mode == quota.NeverOver {
				even = l.Amount / float64(max(s.Typed, s.Most, 1))
			}
			fmt.Fprintf(out, "pool %s: %.4g of %.4g here (%s, %s); %.4g is wanted here\n", p.Name, l.Here, l.Amount, l.Mode, t.File, l.Wanted)
			fmt.Fprintf(out, "  the even part is %.4g, of which %.4g is lent to others and %.4g kept\n", even, l.Lent, l.Kept)
			if granted := l.Here - l.Kept; granted > 0 {
				fmt.Fprintf(out, "  %.4g more is granted by %s%s\n", granted, l.Owner, heardOf(l))
			}
			switch {
			case s.Times > 1 && l.Mode == quota.MostlyFull:
				fmt.Fprintf(out, "  links fail (%s): the fleet may have the whole %.3g times\n", s.Side, s.Times)
			case s.Short > 0 && l.Mode == quota.NeverOver:
				fmt.Fprintf(out, "  gateways are gone: up to %.3g of it is missing until they are back\n", s.Short)
			}
		}
	}
	return nil
}
