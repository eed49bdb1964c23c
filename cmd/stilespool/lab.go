package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"frostshift/internal/lab"
)

// labCommand plays experiments on simulated fleets.
func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "play experiments on simulated fleets, and compare their results", RunE: func(c *cobra.Command, _ []string) error {
		return usage{errors.New("lab run FILE -o DIR, or lab compare DIR DIR")}
	}}
	run := &cobra.Command{Use: "run FILE -o DIR", Short: "play an experiment; stopped, the same command goes on with it", Args: exactly(1)}
	dir := run.Flags().StringP("out", "o", "", "`folder` for runs.csv, report.md and charts")
	cores := run.Flags().Int("cores", 0, "how many runs at once; 0: one a core")
	run.RunE = func(c *cobra.Command, args []string) error {
		if *dir == "" {
			return usage{errors.New("lab run needs -o")}
		}
		e, err := lab.Load(args[0])
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		rows, err := lab.Run(ctx, e, *dir, *cores, c.ErrOrStderr())
		if err != nil {
			return err
		}
		if err := lab.Report(e, rows, *dir); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d runs: %s\n", len(rows), filepath.Join(*dir, "report.md"))
		return nil
	}
	compare := &cobra.Command{Use: "compare DIR DIR", Short: "say which figures of two results differ beyond noise, in pairs by seed", Args: exactly(2),
		RunE: func(c *cobra.Command, args []string) error {
			_, err := lab.Compare(c.OutOrStdout(), args[0], args[1])
			return err
		}}
	c.AddCommand(run, compare)
	return c
}
