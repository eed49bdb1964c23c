package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/demo"
)

// demoCommand runs a gateway between stand-ins.
func demoCommand() *cobra.Command {
	c := &cobra.Command{Use: "demo", Short: "run a gateway between stand-in clients and hosts, some of which fail", Args: none}
	length := c.Flags().Duration("for", 20*time.Second, "how `long`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *length < time.Second || *length > time.Hour {
			return usage{errors.New("--for is from 1s to 1h")}
		}
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		defer signal.Stop(stop)
		return demo.Run(c.OutOrStdout(), *length, stop)
	}
	return c
}
