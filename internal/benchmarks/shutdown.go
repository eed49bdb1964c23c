package benchmarks

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"frostshift/internal/clustertest"
	"frostshift/internal/faultinject"
)

const (
	shutdownSeeds  = 50
	shutdownBeside = 4 // processes that are played beside each other
)

// runShutdown plays stops of real processes with SIGKILL at the earliest moment.
func runShutdown(out io.Writer) (string, bool, error) { return playStops(out, false) }

// runUpgradeStops plays the same behind an upgrade.
func runUpgradeStops(out io.Writer) (string, bool, error) { return playStops(out, true) }

// playStops plays a stop for each seed, some beside each other.
func playStops(out io.Writer, upgrade bool) (string, bool, error) {
	dir, err := os.MkdirTemp("", "shutdown")
	if err != nil {
		return "", false, err
	}
	defer os.RemoveAll(dir)
	program, err := clustertest.Build(context.Background(), dir)
	if err != nil {
		return "", false, err
	}
	var sum faultinject.StopResult
	var ended int
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, shutdownBeside)
	for seed := range uint64(shutdownSeeds) {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			stop := faultinject.Stop{Program: program, Dir: filepath.Join(dir, fmt.Sprint(seed)), Seed: seed, Longest: faultinject.DrawLongest(seed), Upgrade: upgrade}
			r, e := stop.Play()
			mu.Lock()
			defer mu.Unlock()
			if e != nil {
				err = errors.Join(err, fmt.Errorf("seed %d: %w", seed, e))
				return
			}
			fmt.Fprintf(out, "seed %2d  longest %-6v answered %4d  crossed %3d  lost %d  ended by itself %v\n", seed, stop.Longest, r.Answered, r.Crossed, len(r.Lost), r.Ended)
			for _, l := range r.Lost {
				fmt.Fprintf(out, "         %s\n", l)
			}
			if r.Ended {
				ended++
			}
			sum.Answered, sum.Crossed = sum.Answered+r.Answered, sum.Crossed+r.Crossed
			sum.Lost = append(sum.Lost, r.Lost...)
		})
	}
	all.Wait()
	return fmt.Sprintf("%d seeds, %d requests answered, %d crossed a close, %d lost, %d processes ended ahead of the kill",
		shutdownSeeds, sum.Answered, sum.Crossed, len(sum.Lost), ended), len(sum.Lost) == 0 && sum.Answered > 0, err
}
