package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frostshift/internal/config"
	"frostshift/internal/gossip"
)

// fleetCommand speaks of the other gateways, as the running one knows them.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "show the gateways that share hosts, as the running one knows them", Args: none}
	path := c.PersistentFlags().String("config", "", "configuration `file`")
	sub := func(use, short string, run func(m *config.Model, out io.Writer) error) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: none, RunE: func(c *cobra.Command, _ []string) error {
			m, err := configured(c, *path)
			if err != nil {
				return err
			}
			if m.Gossip == nil {
				return fmt.Errorf("%s: fleet.listen is not set: this gateway talks to no other", *path)
			}
			if err := askable(*path, m); err != nil {
				return err
			}
			return run(m, c.OutOrStdout())
		}})
	}
	sub("status", "show the members and the view that this gateway goes by", func(m *config.Model, out io.Writer) error {
		s, err := fleetStatus(m)
		if err == nil {
			showFleet(s, out)
		}
		return err
	})
	sub("leave", "have the running gateway say that it leaves; it goes on serving", func(m *config.Model, out io.Writer) error {
		text, err := adminCall(m, http.MethodPost, "/fleet/leave")
		fmt.Fprint(out, string(text))
		return err
	})
	sub("keys", "show which keys the file has and which the running gateway uses, by fingerprint", func(m *config.Model, out io.Writer) error {
		s, err := fleetStatus(m)
		if err != nil {
			return err
		}
		var file []string
		for _, k := range m.Gossip.Keys {
			file = append(file, gossip.Fingerprint(k))
		}
		fmt.Fprintf(out, "in the file: %s\nin use:      %s\n", orNone(file), orNone(s.Keys))
		if strings.Join(file, " ") != strings.Join(s.Keys, " ") {
			fmt.Fprintln(out, "they differ: SIGHUP takes the file's")
		}
		return nil
	})
	return c
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none, all is said in the clear"
	}
	return strings.Join(list, " ") + " (the first for sending)"
}

// askRunning asks the gateway that runs with a configuration for a page. has says what the
// configuration lacks for it; nil: nothing.
func askRunning(c *cobra.Command, path, page string, has func(*config.Model) error, into any) (*config.Model, error) {
	m, err := configured(c, path)
	if err != nil {
		return nil, err
	}
	if err := has(m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := askable(path, m); err != nil {
		return nil, err
	}
	text, err := adminCall(m, http.MethodGet, page)
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	return m, err
}

// pageCommand shows a page of the running gateway; has is askRunning's.
func pageCommand[T any](use, short, page string, has func(*config.Model) error, show func(T, io.Writer)) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: none}
	path := c.Flags().String("config", "", "configuration `file`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var s T
		_, err := askRunning(c, *path, page, has, &s)
		if err == nil {
			show(s, c.OutOrStdout())
		}
		return err
	}
	return c
}

// configured reads the configuration that a command is told of.
func configured(c *cobra.Command, path string) (*config.Model, error) {
	if path == "" {
		return nil, usage{fmt.Errorf("%s needs --config", strings.TrimPrefix(c.CommandPath(), c.Root().Name()+" "))}
	}
	m, ok := read(path, c.ErrOrStderr())
	if !ok {
		return nil, said{}
	}
	return m, nil
}

// askable says why the running gateway can't be asked; nil: it can.
func askable(path string, m *config.Model) error {
	if m.Management == "" {
		return fmt.Errorf("%s: management is not set: the running gateway can't be asked", path)
	}
	return nil
}

// managed is the configuration of a running gateway that can be called.
func managed(c *cobra.Command, path string) (*config.Model, error) {
	m, err := configured(c, path)
	if err == nil {
		err = askable(path, m)
	}
	return m, err
}

// adminCall asks the running gateway.
func adminCall(m *config.Model, method, path string) ([]byte, error) {
	ctx, end := context.WithTimeout(context.Background(), 2*time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.Management+path, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("the running gateway does not answer: %w", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 8<<20))
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("the running gateway says %d: %s", answer.StatusCode, strings.TrimSpace(string(text)))
	}
	return text, err
}

func fleetStatus(m *config.Model) (s gossip.Status, err error) {
	text, err := adminCall(m, http.MethodGet, "/fleet")
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

func showFleet(s gossip.Status, out io.Writer) {
	v := s.View
	figures := "by what it hears"
	if v.Typed {
		figures = "by the file's figures"
	}
	fmt.Fprintf(out, "%s at %s goes %s: %d gateways, place %d of them; %d at least, %d at most\n", s.Name, s.Listen, figures, v.Count, v.Rank, v.Least, v.Most)
	fmt.Fprintf(out, "  side: %s, reaches %d of %d; health %d (0 is best); sent %d packets, %d bytes; dropped %d packets, refused %d connections\n",
		v.Side, v.Reached, v.Expected, s.Health, s.Sent, s.SentBytes, s.Dropped, s.Refused)
	if s.Leaving {
		fmt.Fprintln(out, "  it has said that it leaves")
	}
	for _, m := range s.Members {
		fmt.Fprintf(out, "  %-24s %-9s %-21s for %v", m.Name, m.State, m.Addr, m.Since.Round(time.Second))
		if m.Reason != "" {
			fmt.Fprintf(out, ", %s", m.Reason)
		}
		if m.RoundTrip > 0 {
			fmt.Fprintf(out, ", %v there and back", m.RoundTrip.Round(10*time.Microsecond))
		}
		if !m.Placed {
			fmt.Fprint(out, ", no place")
		}
		if m.Twice {
			fmt.Fprint(out, ", NAME USED TWICE")
		}
		fmt.Fprintln(out)
	}
}
