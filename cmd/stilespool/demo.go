package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"frostshift/internal/demo"
)

// runDemo runs a gateway between stand-ins.
func runDemo(args []string, out, errs io.Writer) int {
	f := flags("demo", errs)
	length := f.Duration("for", 20*time.Second, "how `long`")
	if status, ok := parse(f, args, 0); !ok {
		return status
	}
	if *length < time.Second || *length > time.Hour {
		fmt.Fprintln(errs, "stilespool: -for is from 1s to 1h")
		return exitUsage
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stop)
	if err := demo.Run(out, *length, stop); err != nil {
		fmt.Fprintf(errs, "stilespool: %v\n", err)
		return exitFailed
	}
	return exitOK
}
