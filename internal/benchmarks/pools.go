package benchmarks

import (
	"fmt"
	"io"
	"time"
)

const (
	poolsCores  = 2
	poolsRounds = 5
	poolsLength = 3 * time.Second
	poolsGain   = 0.95 // two pools serve about as much as one with the same hosts
)

// runPools measures a gateway with one pool and one with the same hosts in two pools, on
// two cores.
func runPools(out io.Writer) (string, bool, error) {
	hosts, stop, err := startHosts(proxyHosts)
	if err != nil {
		return "", false, err
	}
	defer stop()
	one, err := startChild("gateway", poolsCores, gatewayConfig(hosts))
	if err != nil {
		return "", false, err
	}
	defer one.end()
	two, err := startChild("gateway", poolsCores, gatewayConfig(hosts[:len(hosts)/2], hosts[len(hosts)/2:]))
	if err != nil {
		return "", false, err
	}
	defer two.end()
	fmt.Fprintf(out, "%d hosts, %d clients' connections, %d byte answers, %d cores\n", proxyHosts, proxyClients, answerSize, poolsCores)
	fmt.Fprintf(out, "%-6s %28s %28s %9s\n", "round", "one pool: requests/s, CPU", "two pools: the same", "ratio")
	var gains []float64
	for i := range poolsRounds {
		a, err := measure(one, proxyClients, poolsLength, "/p0/x")
		if err != nil {
			return "", false, err
		}
		b, err := measure(two, proxyClients, poolsLength, "/p0/x", "/p1/x")
		if err != nil {
			return "", false, err
		}
		gains = append(gains, b.rate()/a.rate())
		fmt.Fprintf(out, "%-6d %17.0f %10v %17.0f %10v %9.2f\n", i+1, a.rate(), a.cpu.Round(100*time.Nanosecond), b.rate(), b.cpu.Round(100*time.Nanosecond), gains[i])
	}
	gain := median(gains)
	return fmt.Sprintf("median: two pools serve %.2f of what one does", gain), gain >= poolsGain, nil
}
