package benchmarks

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
)

const (
	proxyHosts   = 8
	proxyClients = 32
	proxyCores   = 4
	proxyRounds  = 5
	proxyLength  = 3 * time.Second
	// The aims, beside httputil.ReverseProxy.
	mostCPU   = 0.6
	leastRate = 1.5
)

// gatewayConfig is a gateway with a pool for each list of hosts, at /p0, /p1 and so on.
func gatewayConfig(pools ...[]string) string {
	var b strings.Builder
	b.WriteString("[[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n" +
		"[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"4s\"\n")
	for i, hosts := range pools {
		fmt.Fprintf(&b, "[[pool]]\nname = \"p%[1]d\"\nhosts = [%[2]s]\n[[route]]\nname = \"p%[1]d\"\nprefix = \"/p%[1]d\"\nclass = \"lookup\"\npool = \"p%[1]d\"\n", i, quoted(hosts))
	}
	return b.String()
}

// gatewayChild is a whole gateway; its arguments are the lines of its configuration.
func gatewayChild() error {
	args, gone := childArgs()
	m, _, err := config.Parse("benchmark.toml", []byte(strings.Join(args, "\n")))
	if err != nil {
		return err
	}
	g, err := gateway.New(m, slog.New(slog.DiscardHandler), gateway.Options{Linger: func() {}})
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	go func() { <-gone; end() }()
	fmt.Println(g.Addr("clients"))
	return g.Run(ctx)
}

// reverseChild is httputil.ReverseProxy over its arguments, the hosts, in turn. It keeps
// as many idle connections as there are clients, or it would open one for each request.
func reverseChild() error {
	args, gone := childArgs()
	var hosts []*url.URL
	for _, a := range args {
		hosts = append(hosts, &url.URL{Scheme: "http", Host: a})
	}
	var turn atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(hosts[turn.Add(1)%uint64(len(hosts))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: proxyClients, MaxIdleConns: 0},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	go http.Serve(ln, proxy)
	<-gone
	return nil
}

// measured is one run against a child.
type measured struct {
	load
	cpu time.Duration // of the child, a request
}

// measure drives a child, first for a moment that does not count.
func measure(c *child, clients int, length time.Duration, paths ...string) (m measured, err error) {
	if _, err := drive(c.addr, clients, length/4, paths...); err != nil {
		return m, err
	}
	before, err := c.cpu()
	if err != nil {
		return m, err
	}
	if m.load, err = drive(c.addr, clients, length, paths...); err != nil {
		return m, err
	}
	after, err := c.cpu()
	if m.requests > 0 {
		m.cpu = (after - before) / time.Duration(m.requests)
	}
	if m.failed > 0 {
		err = fmt.Errorf("%d of %d requests were not served", m.failed, m.requests)
	}
	return m, err
}

// runProxy measures the gateway and the ReverseProxy in turn, over the same hosts.
func runProxy(out io.Writer) (string, bool, error) {
	hosts, stop, err := startHosts(proxyHosts)
	if err != nil {
		return "", false, err
	}
	defer stop()
	ours, err := startChild("gateway", proxyCores, gatewayConfig(hosts))
	if err != nil {
		return "", false, err
	}
	defer ours.end()
	theirs, err := startChild("reverse", proxyCores, hosts...)
	if err != nil {
		return "", false, err
	}
	defer theirs.end()
	fmt.Fprintf(out, "%d hosts, %d clients' connections, %d byte answers, no limits, %d cores\n", proxyHosts, proxyClients, answerSize, proxyCores)
	fmt.Fprintf(out, "%-6s %28s %28s %18s\n", "round", "gateway: requests/s, CPU", "ReverseProxy: the same", "ratios")
	var rates, cpus []float64
	for i := range proxyRounds {
		g, err := measure(ours, proxyClients, proxyLength, "/p0/x")
		if err != nil {
			return "", false, fmt.Errorf("gateway: %w", err)
		}
		r, err := measure(theirs, proxyClients, proxyLength, "/p0/x")
		if err != nil {
			return "", false, fmt.Errorf("ReverseProxy: %w", err)
		}
		rate, cpu := g.rate()/r.rate(), float64(g.cpu)/float64(r.cpu)
		rates, cpus = append(rates, rate), append(cpus, cpu)
		fmt.Fprintf(out, "%-6d %17.0f %10v %17.0f %10v %9.2f %8.2f\n", i+1, g.rate(), g.cpu.Round(100*time.Nanosecond), r.rate(), r.cpu.Round(100*time.Nanosecond), rate, cpu)
	}
	rate, cpu := median(rates), median(cpus)
	return fmt.Sprintf("medians: %.2f of its throughput, aim %.1f; %.2f of its CPU a request, aim %.1f", rate, leastRate, cpu, mostCPU),
		rate >= leastRate && cpu <= mostCPU, nil
}
