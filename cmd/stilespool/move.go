package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/moves"
	"frostshift/internal/shift"
)

// moveCommand speaks to the moves of a running gateway.
func moveCommand() *cobra.Command {
	c := &cobra.Command{Use: "move", Short: "show or steer the traffic that a running gateway moves between pools", RunE: func(c *cobra.Command, _ []string) error {
		return usage{fmt.Errorf("status, pause, resume or undo\n%s", strings.TrimRight(c.UsageString(), "\n"))}
	}}
	path := c.PersistentFlags().String("config", "", "configuration `file` of the running gateway")
	dial := func(errs io.Writer) (*http.Client, error) { return dialMoves(*path, errs) }
	status := &cobra.Command{Use: "status", Short: "show the moves, their figures and what is still wanted", Args: none}
	raw := status.Flags().Bool("json", false, "as JSON")
	status.RunE = func(c *cobra.Command, _ []string) error {
		client, err := dial(c.ErrOrStderr())
		if err != nil {
			return err
		}
		return showMoves(client, c.OutOrStdout(), *raw)
	}
	c.AddCommand(status)
	for _, w := range [][2]string{{"pause", "stay at the step; a fall still undoes it"}, {"resume", "go on"}, {"undo", "bring all traffic back, as fast as the old pool can take it"}} {
		c.AddCommand(&cobra.Command{Use: w[0] + " NAME", Short: w[1], Args: exactly(1), RunE: func(c *cobra.Command, args []string) error {
			client, err := dial(c.ErrOrStderr())
			if err != nil {
				return err
			}
			return steerMove(client, c.OutOrStdout(), args[0], w[0])
		}})
	}
	return c
}

// dialMoves is a client of the running gateway of a configuration.
func dialMoves(path string, errs io.Writer) (*http.Client, error) {
	if path == "" {
		return nil, usage{errors.New("move needs --config")}
	}
	m, ok := read(path, errs)
	if !ok {
		return nil, said{}
	}
	if m.State == "" {
		return nil, fmt.Errorf("%s names no state folder: nobody can speak to its moves", path)
	}
	return moves.Dial(m.State), nil
}

// showMoves shows all moves, raw: as JSON.
func showMoves(client *http.Client, out io.Writer, raw bool) error {
	r, err := client.Get("http://gateway/moves")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if raw {
		_, err := io.Copy(out, r.Body)
		return err
	}
	var list []shift.Status
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		return err
	}
	for i := range list {
		tellMove(out, &list[i])
	}
	return nil
}

// steerMove has a move paused, resumed or undone.
func steerMove(client *http.Client, out io.Writer, name, what string) error {
	r, err := client.Post("http://gateway/moves/"+url.PathEscape(name)+"/"+what, "", nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	if r.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	fmt.Fprintf(out, "%s: %s\n", name, what)
	return nil
}

// tellMove tells of one move.
func tellMove(out io.Writer, s *shift.Status) {
	fmt.Fprintf(out, "%s: %s, step %d of %d, %.1f%% of the traffic on %s (to be %.1f%%), for %v\n", s.Name, s.State, s.Step, s.Steps, 100*s.Share, s.To, 100*s.Target,
		(time.Duration(s.HeldMS) * time.Millisecond).Round(time.Second))
	fmt.Fprintf(out, "  evidence for a fall %.3g (undone at %.3g), that it holds %.3g (goes on at %.3g); recent loss in both %.2f%%\n", s.Fall, s.FallAt, s.Holds, s.HoldsAt, 100*s.Loss)
	for i, name := range []string{s.From, s.To} {
		t := &s.Pools[i]
		fmt.Fprintf(out, "  %-16s %8d units, %6.2f%% of their worth lost, %d with retries, p50 %.1f ms, p99 %.1f ms\n", name, t.Units, 100*t.Loss(), t.Retries, t.P50, t.P99)
	}
	if s.SetAside > 0 {
		fmt.Fprintf(out, "  %d units of keys that are a large part of all are not compared\n", s.SetAside)
	}
	if s.Pinned {
		fmt.Fprintln(out, "  keys that are not known stay with an earlier share for their window")
	}
}
