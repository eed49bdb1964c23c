package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"frostshift/internal/config"
	"frostshift/internal/nginx"
	"github.com/spf13/cobra"
)

// importCommand reads configurations of other programs.
func importCommand() *cobra.Command {
	c := &cobra.Command{Use: "import", Short: "make a configuration of another program's", RunE: func(c *cobra.Command, _ []string) error {
		return usage{errors.New("import nginx FILE -o DIR, or import nginx verify --log LOG --config F")}
	}}
	x := &cobra.Command{Use: "nginx FILE -o DIR", Short: "make a configuration of nginx's, with a report of every directive", Args: exactly(1)}
	dir := x.Flags().StringP("out", "o", "", "`folder` for gateway.toml and report.md")
	allow := x.Flags().StringSlice("allow", nil, "`names` of directives, with commas, that may be left out")
	x.RunE = func(c *cobra.Command, args []string) error {
		if *dir == "" {
			return usage{errors.New("import nginx needs -o")}
		}
		return importNginx(args[0], *dir, *allow, c.OutOrStdout(), c.ErrOrStderr())
	}
	x.AddCommand(verifyCommand())
	c.AddCommand(x)
	return c
}

func importNginx(file, dir string, allow []string, out, errs io.Writer) error {
	list, err := nginx.Parse(file)
	if err != nil {
		return err
	}
	text, report := nginx.Import(list)
	path := filepath.Join(dir, "gateway.toml")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeWhole(path, func(w io.Writer) error { _, err := io.WriteString(w, text); return err }); err != nil {
		return err
	}
	if err := writeWhole(filepath.Join(dir, "report.md"), report.Write); err != nil {
		return err
	}
	left := report.LeftOut(allow)
	for _, e := range left {
		fmt.Fprintf(errs, "%s: %s: not taken: %s\n", e.Pos, e.Name, e.Text)
	}
	_, warnings, err := config.Load(path)
	for _, w := range warnings {
		fmt.Fprintf(errs, "warning: %v\n", w)
	}
	if err != nil {
		return fmt.Errorf("what was made wants work by hand:\n%w", err)
	}
	fmt.Fprintf(out, "%s and report.md are written: %d directives, %d not taken\n", path, len(report.Entries), len(left))
	if len(left) > 0 {
		return said{}
	}
	return nil
}

// writeWhole writes a file so that it is never there in part.
func writeWhole(path string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Chmod(f.Name(), 0o644); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// verifyCommand holds an access log of nginx against a configuration of ours.
func verifyCommand() *cobra.Command {
	c := &cobra.Command{Use: "verify --log LOG --config F", Short: "hold an access log of nginx against a configuration", Args: none}
	f := c.Flags()
	log := f.String("log", "", "access `log`")
	path := f.String("config", "", "configuration `file` of ours")
	format := f.String("format", nginx.DefaultFormat, "its log_format")
	listener := f.String("listener", "", "`name` of the listener where the requests came in; none: the first")
	most := f.Int("most", 20, "differences that are written")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *log == "" || *path == "" {
			return usage{errors.New("import nginx verify needs --log and --config")}
		}
		m, ok := read(*path, c.ErrOrStderr())
		if !ok {
			return said{}
		}
		lines, err := nginx.CompileFormat(*format)
		if err != nil {
			return usage{fmt.Errorf("--format: %w", err)}
		}
		in, err := os.Open(*log)
		if err != nil {
			return err
		}
		defer in.Close()
		v, err := nginx.Verify(in, lines, m, *listener, c.OutOrStdout(), *most)
		if err != nil {
			return fmt.Errorf("%s: line %d: %w", *log, v.Lines+1, err)
		}
		fmt.Fprintf(c.OutOrStdout(), "%d requests: %d go where nginx sent them (%d answered without a server), %d elsewhere, %d lines not read\n",
			v.Lines, v.Same, v.Own, v.Different, v.Unread)
		if v.Different+v.Unread > 0 || v.Lines == 0 {
			return said{}
		}
		return nil
	}
	return c
}
