// Command stilespool is a gateway between clients and pools of hosts. Its commands are
// listed by "stilespool help". Started bare, with GW_CONFIG set, it is one gateway of the
// platform.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1 // it could not do what was asked, or what it read is wrong
	exitNoMatch = 2 // route: no route matches
	exitUsage   = 64
)

// usage is an error of whoever typed the command; noMatch is one whose status says that there
// is no route. said is an error that has been told already.
type (
	usage   struct{ error }
	noMatch struct{}
	said    struct{}
)

func (noMatch) Error() string { return "no route matches" }
func (said) Error() string    { return "" }

// renamedCommands are commands of earlier versions, with their names of today.
var renamedCommands = map[string]string{"bank": "fleet"}

// commandLine is the command line, made anew for each use.
func commandLine(out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:   "stilespool",
		Short: "a gateway that gives each request exactly one honest final answer",
		Long: "stilespool: a gateway that gives each request exactly one honest final answer\n\n" +
			"Started bare, with GW_CONFIG set, it is one gateway of the platform.\n\n" +
			"signals of a running gateway: SIGHUP reads the configuration again, whole or not at all;\n" +
			"SIGTERM finishes what is held and ends. docs/ has the rest.",
		SilenceErrors: true, SilenceUsage: true,
		Args: func(_ *cobra.Command, args []string) error { return nil },
	}
	root.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		if now := renamedCommands[args[0]]; now != "" {
			return usage{fmt.Errorf("stilespool %s is called stilespool %s now", args[0], now)}
		}
		text := fmt.Sprintf("there is no command %q; stilespool help lists them", args[0])
		for _, s := range c.SuggestionsFor(args[0]) {
			text += "\ndid you mean " + s + "?"
		}
		return usage{errors.New(text)}
	}
	root.SuggestionsMinimumDistance = 2
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usage{fmt.Errorf("%w\n%s", err, strings.TrimRight(c.UsageString(), "\n"))}
	})
	root.AddCommand(runCommand(), checkCommand(), routeCommand(), importCommand(), contractsCommand(), hostsCommand(), fleetCommand(), quotaCommand(), limitsCommand(), verdictsCommand(), loadCommand(), maintCommand(), memoryCommand(), moveCommand(), labCommand(), demoCommand(),
		&cobra.Command{Use: "version", Short: "say which build this is", Args: none, RunE: func(c *cobra.Command, _ []string) error { return version(c.OutOrStdout()) }})
	return root
}

// none and one say how many arguments a command takes.
func none(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usage{fmt.Errorf("%s takes no argument such as %q\n%s", c.CommandPath(), args[0], strings.TrimRight(c.UsageString(), "\n"))}
	}
	return nil
}

func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usage{fmt.Errorf("%s takes %d arguments and not %d\n%s", c.CommandPath(), n, len(args), strings.TrimRight(c.UsageString(), "\n"))}
		}
		return nil
	}
}

func main() { os.Exit(dispatch(os.Args[1:], os.Stdout, os.Stderr)) }

// dispatch runs the command that the arguments name; none: run, as the platform does it.
func dispatch(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		return status(serve("", errs), errs)
	}
	root := commandLine(out, errs)
	root.SetArgs(longFlags(root, args))
	return status(root.Execute(), errs)
}

// status is the exit status of an error, which is told.
func status(err error, errs io.Writer) int {
	var u usage
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &noMatch{}):
		return exitNoMatch
	case errors.As(err, &said{}):
		return exitFailed
	}
	fmt.Fprintf(errs, "stilespool: %v\n", err)
	if errors.As(err, &u) {
		return exitUsage
	}
	return exitFailed
}

// longFlags lets flags of several letters stand behind one dash, as they always could here.
func longFlags(root *cobra.Command, args []string) []string {
	known := map[string]bool{"help": true}
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		c.Flags().VisitAll(func(f *pflag.Flag) { known[f.Name] = true })
		for _, x := range c.Commands() {
			walk(x)
		}
	}
	walk(root)
	out := slices.Clone(args)
	for i, a := range out {
		if a == "--" {
			break
		}
		if name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "="); len(name) > 1 && strings.HasPrefix(a, "-") && a[1] != '-' && known[name] {
			out[i] = "-" + a
		}
	}
	return out
}

func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(out, "stilespool (built without module information)")
		return nil
	}
	revision, changed := "unknown revision", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	fmt.Fprintf(out, "stilespool %s%s, %s\n", revision, changed, info.GoVersion)
	return nil
}
