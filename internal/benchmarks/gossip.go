package benchmarks

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"frostshift/internal/clustertest"
	"frostshift/internal/peers"
)

const (
	gossipGateways = 100
	gossipHosts    = 20
	gossipKilled   = 10
	gossipWithin   = 3 * time.Second // until views agree, on 8 cores
	gossipSeed     = 38
	gossipAim      = 600 * time.Millisecond
	gossipDeadline = 2 * time.Second
)

// runGossip plays one load twice, without faults and with them, through processes that talk.
func runGossip(out io.Writer) (string, bool, error) {
	dir, program, done, err := built()
	if err != nil {
		return "", false, err
	}
	defer done()
	within := gossipWithin * time.Duration(max(1, 8/runtime.NumCPU()))
	fmt.Fprintf(out, "seed %d; %d processes before %d hosts, probes every 200 ms, each told that it is alone; views are to agree within %v on %d cores\n\n", gossipSeed, gossipGateways, gossipHosts, within, runtime.NumCPU())
	fmt.Fprintln(out, "| event | views agree after | packets a second and gateway | bytes |")
	fmt.Fprintln(out, "| --- | ---: | ---: | ---: |")
	calm, _, err := gossipRun(io.Discard, program, dir+"/calm", false)
	if err != nil {
		return "", false, err
	}
	hard, worst, err := gossipRun(out, program, dir+"/hard", true)
	if err != nil {
		return "", false, err
	}
	figure := fmt.Sprintf("views agree after %v at most, served in time %.4f beside %.4f without faults, no rule broken", worst.Round(10*time.Millisecond), hard, calm)
	return figure, worst <= within && hard >= calm-0.01, nil
}

// gossipRun is one run: the part of requests that reached a living gateway and were served in time,
// and the longest time until views agreed.
func gossipRun(out io.Writer, program, dir string, faults bool) (inTime float64, worst time.Duration, err error) {
	ctx, end := context.WithTimeout(context.Background(), 3*time.Minute)
	defer end()
	w, err := clustertest.NewWorld(ctx, clustertest.Setup{Program: program, Dir: dir, Seed: gossipSeed, Hosts: gossipHosts, Gateways: gossipGateways, Talk: true,
		Shape:  clustertest.Shape{Effect: "safe", Aim: gossipAim, Deadline: gossipDeadline, Probe: 200 * time.Millisecond},
		Nature: func(int) clustertest.Nature { return clustertest.Nature{Cores: 4, Queue: 100} }})
	if err != nil {
		return 0, 0, err
	}
	defer w.Close()
	audit, list, mesh := w.Audit, w.List, w.Mesh
	row := func(event string, of []*clustertest.Process, side peers.Side, first bool) error {
		names := map[string]bool{}
		for _, p := range of {
			names[p.Name] = true
		}
		began := time.Now()
		for {
			ok, why := clustertest.Agree(ctx, of, names, side)
			if ok {
				break
			}
			if ctx.Err() != nil || time.Since(began) > time.Minute {
				return fmt.Errorf("%s: views do not agree: %s", event, why)
			}
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(began)
		if !first {
			worst = max(worst, took)
		}
		s, err := of[0].Fleet(ctx)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		later, err := of[0].Fleet(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s | %.2f s | %d | %d |\n", event, took.Seconds(), later.Sent-s.Sent, later.SentBytes-s.SentBytes)
		return nil
	}
	if err := row("start", list, peers.Whole, true); err != nil {
		return 0, 0, err
	}
	load := clustertest.Load{Seed: gossipSeed, Rate: 300, Length: 18 * time.Second, Path: "/work", Within: gossipDeadline,
		Work: drawWork}
	seen := make(chan clustertest.Seen, 1)
	go func() { seen <- load.Run(ctx, audit, list) }()
	if faults {
		dead := list[:gossipKilled]
		for _, p := range dead {
			p.Kill()
		}
		if err := row("ten killed", list[gossipKilled:], peers.Whole, false); err != nil {
			return 0, 0, err
		}
		if err := clustertest.StartAll(ctx, dead); err != nil {
			return 0, 0, err
		}
		if err := row("ten back", list, peers.Whole, false); err != nil {
			return 0, 0, err
		}
		cut := time.Now()
		mesh.Set(func(from, to int) clustertest.Way { return clustertest.Way{Cut: (from < 60) != (to < 60)} })
		if err := row("cut in two, the side of 60", list[:60], peers.Majority, false); err != nil {
			return 0, 0, err
		}
		time.Sleep(5*time.Second - time.Since(cut))
		mesh.Set(nil)
		if err := row("healed", list, peers.Whole, false); err != nil {
			return 0, 0, err
		}
	}
	s := <-seen
	if broken := audit.Broken(); len(broken) > 0 {
		return 0, 0, fmt.Errorf("%d rules broken: %s", len(broken), strings.Join(broken[:min(5, len(broken))], "; "))
	}
	good := 0
	for _, took := range s.Took {
		if took <= gossipAim {
			good++
		}
	}
	return float64(good) / float64(s.Asked), worst, nil
}
