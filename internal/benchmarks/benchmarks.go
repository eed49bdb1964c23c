// Package benchmarks holds measurements that are too long for CI: whole programs over loopback,
// with load and stand-ins of their own. Each prints a table and ends with a line that
// says whether its aim was met. It is used by cmd/benchmarks alone.
package benchmarks

import (
	"fmt"
	"frostshift/internal/faultinject"
	"io"
	"os"
	"slices"
	"strings"
)

// Benchmark is one measurement.
type Benchmark struct {
	Name, What string
	// Run prints its table and returns the figure, in words, and whether it meets the aim.
	Run func(out io.Writer) (figure string, ok bool, err error)
}

// All are the benchmarks by name.
var All = []Benchmark{
	{"proxy", "throughput and CPU a request through the whole program, beside httputil.ReverseProxy", runProxy},
	{"subset", "ways to share a large pool among gateways: evenness and movement, simulated", runSubset},
	{"zones", "a preference for near hosts beside none: spill-over, a small zone, a lost one, simulated", runZones},
	{"teams", "what two quiet teams keep beside each kind of flood of a third", runTeams},
	{"lists", "what is served while the list of hosts lies, beside following it blindly", runLists},
	{"answers", "what answers mean: poison, 404, a host that fails fast, 503 everywhere", runAnswers},
	{"move", "traffic moves to a pool that fails slowly: time of the return beside the emulator's forecast, and the rules of keys", runMove},
	{"bodies", "bodies that flow: throughput and CPU a byte beside httputil.ReverseProxy, memory, small requests beside large streams", runBodies},
	{"crowd", "what a connection costs that says nothing, stops half way, or stays after its answer", runCrowd},
	{"spread", "hundreds of processes before tens of hosts: what is refused, p99 and evenness beside a picker that sees all", runSpread},
	{"fleet", "a hundred processes that talk: ten killed, a partition of 5 s, healing; time until views agree, and service beside the same load without faults", runGossip},
	{"quota", "forty processes share a team's rate: skew, a cut of 5 s, two kills; rights where requests are and in force", runQuota},
	{"limits", "a thousand quiet keys beside floods of ever new, of heavy and of one key: what they keep, p99, memory", runLimits},
	{"verdicts", "sixty processes that tell each other of hosts beside sixty that do not: attempts at hosts that die, hang, fail, are slow", runVerdicts},
	{"shutdown", "fifty stops of real processes beside load, SIGKILL at the earliest: no request that was read is without an answer", runShutdown},
	{"soak", "sixty drawn trials of a real process by seed: hostile clients, crowds, kills, stops at the earliest, reloads, upgrades; no rule is broken within the limits", runSoak},
	{"upgrade", "fifty upgrades of real processes beside load, the old one killed at the earliest: no request that was read is without an answer", runUpgradeStops},
	{"pools", "throughput of two pools on two cores, beside one pool", runPools},
}

// children are programs that a benchmark starts as processes of their own.
var children = map[string]func() error{
	"gateway":       gatewayChild,
	"reverse":       reverseChild,
	"reversebodies": reverseBodiesChild,
}

// childVariable names, in its environment, what a child process is.
const childVariable = "STILESPOOL_BENCHMARK_CHILD"

// Main runs the benchmark that the arguments name and returns the exit status: 0 where it meets
// its aim, 1 where not.
func Main(args []string, out io.Writer) int {
	if name := os.Getenv(childVariable); name != "" {
		if err := children[name](); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	}
	if len(args) == 1 && args[0] == faultinject.TrialCommand {
		return faultinject.PlayFrom(os.Stdin, out)
	}
	if len(args) != 1 || args[0] == "list" || args[0] == "help" {
		for _, r := range All {
			fmt.Fprintf(out, "benchmarks %-8s %s\n", r.Name, r.What)
		}
		if len(args) == 1 {
			return 0
		}
		return 64
	}
	for _, r := range All {
		if r.Name != args[0] {
			continue
		}
		figure, ok, err := r.Run(out)
		if err != nil {
			fmt.Fprintf(out, "%s: short (%v)\n", r.Name, err)
			return 1
		}
		word := "short"
		if ok {
			word = "ok"
		}
		fmt.Fprintf(out, "%s: %s (%s)\n", r.Name, word, figure)
		if ok {
			return 0
		}
		return 1
	}
	fmt.Fprintf(out, "there is no benchmark %q; benchmarks list names them\n", args[0])
	return 64
}

// median is the middle one of an odd number of figures.
func median(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[len(list)/2]
}

func quoted(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }
