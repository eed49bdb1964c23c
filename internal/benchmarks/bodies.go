package benchmarks

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

const (
	bodiesCores   = 2
	bodiesLength  = 400 * time.Millisecond
	bodiesRounds  = 3
	bodiesClients = 8
	largeStreams  = 100
	largeRate     = 256 << 10 // bytes a second that each of them is read with
	idleStreams   = 10_000
	idleOnes      = 2_000 // over HTTP/1.1, where each takes two descriptors at the gateway
	// The aims.
	mostByteCPU = 1.0 // beside httputil.ReverseProxy
	mostBeside  = 1.5 // p99 of small requests beside large streams, in that of quiet times
	mostGrowth  = 64  // MB that the gateway may grow by from small bodies to large ones
)

// bodiesGateway is a gateway that lets bodies flow, over the protocol on both sides.
func bodiesGateway(protocol, host string) string {
	return fmt.Sprintf(`[[listener]]
name = "clients"
address = "127.0.0.1:0"
protocol = %[1]q
[[class]]
name = "c"
effect = "safe"
aim = "1s"
deadline = "5s"
[[pool]]
name = "p"
hosts = [%[2]q]
protocol = %[1]q
[[route]]
name = "r"
prefix = "/"
class = "c"
pool = "p"
[route.bodies]
requests = "auto"
answers = "stream"
idle = "60s"
[limits]
streams = 10000`, protocol, host)
}

// both is the protocols that a name stands for.
func both(protocol string) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(protocol == "http1")
	p.SetUnencryptedHTTP2(protocol == "http2")
	return p
}

// reverseBodiesChild is httputil.ReverseProxy over a protocol and a host.
func reverseBodiesChild() error {
	args, gone := childArgs()
	to := &url.URL{Scheme: "http", Host: args[1]}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) }, ErrorLog: log.New(io.Discard, "", 0),
		Transport: &http.Transport{Protocols: both(args[0]), MaxIdleConnsPerHost: 200, DisableCompression: true}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	go (&http.Server{Handler: proxy, Protocols: both(args[0])}).Serve(ln)
	<-gone
	return nil
}

var zeros = make([]byte, 256<<10)

// bodiesHost takes bodies in at /up, gives ?n= bytes at /down, and events that never come at
// /idle.
func bodiesHost(protocol string) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Protocols: both(protocol), HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 5000}, ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/up":
				io.Copy(io.Discard, r.Body)
			case "/idle":
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(200)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			default:
				n, _ := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
				w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
				for n > 0 {
					k, err := w.Write(zeros[:min(n, int64(len(zeros)))])
					if err != nil {
						return
					}
					n -= int64(k)
				}
			}
		})}
	go s.Serve(ln)
	return ln.Addr().String(), func() { s.Close() }, nil
}

func bodiesClient(protocol string) *http.Client {
	if protocol == "http2" {
		return &http.Client{Transport: fake.H2Transport()}
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300, DisableCompression: true}}
}

// shipped sends bodies of a size one way for a time, and gives bytes a second and CPU a byte.
func shipped(c *child, client *http.Client, way string, size int64, length time.Duration) (rate float64, cpu float64, err error) {
	before, err := c.cpu()
	if err != nil {
		return 0, 0, err
	}
	var bytes atomic.Int64
	var all sync.WaitGroup
	errs := make(chan error, bodiesClients)
	began := time.Now()
	clients := bodiesClients
	if size >= 1<<30 {
		clients = 1
	}
	for range clients {
		all.Go(func() {
			for first := true; first || time.Since(began) < length; first = false {
				var resp *http.Response
				var err error
				if way == "up" {
					var req *http.Request
					req, _ = http.NewRequest(http.MethodPut, "http://"+c.addr+"/up", io.LimitReader(endless{}, size))
					req.ContentLength = size
					resp, err = client.Do(req)
				} else {
					resp, err = client.Get("http://" + c.addr + "/down?n=" + strconv.FormatInt(size, 10))
				}
				if err == nil {
					var n int64
					n, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if err == nil && (resp.StatusCode != 200 || way == "down" && n != size) {
						err = fmt.Errorf("answered %d with %d bytes", resp.StatusCode, n)
					}
				}
				if err != nil {
					errs <- err
					return
				}
				bytes.Add(size)
			}
		})
	}
	all.Wait()
	took := time.Since(began)
	after, err := c.cpu()
	select {
	case err = <-errs:
	default:
	}
	n := float64(bytes.Load())
	return n / took.Seconds(), (after - before).Seconds() / n, err
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return copy(p, zeros), nil }

// rss is the memory that a child has now, or at its peak (VmHWM), in bytes.
func (c *child) rss(field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n << 10, err
		}
	}
	return 0, errors.New("the system tells no " + field)
}

// runBodies measures bodies that flow through the gateway, beside httputil.ReverseProxy.
func runBodies(out io.Writer) (string, bool, error) {
	var ratios []float64
	fine := true
	fmt.Fprintf(out, "%d clients, %d cores for the proxy; MB/s and CPU a MB\n", bodiesClients, bodiesCores)
	fmt.Fprintf(out, "%-6s %-5s %-8s %20s %20s %8s\n", "both", "way", "size", "gateway", "ReverseProxy", "of CPU")
	var growth int64
	for _, protocol := range []string{"http1", "http2"} {
		host, stop, err := bodiesHost(protocol)
		if err != nil {
			return "", false, err
		}
		defer stop()
		ours, err := startChild("gateway", bodiesCores, bodiesGateway(protocol, host))
		if err != nil {
			return "", false, err
		}
		defer ours.end()
		theirs, err := startChild("reversebodies", bodiesCores, protocol, host)
		if err != nil {
			return "", false, err
		}
		defer theirs.end()
		client := bodiesClient(protocol)
		defer client.CloseIdleConnections()
		var small int64
		for _, size := range []int64{1 << 10, 64 << 10, 1 << 20, 1 << 30} {
			for _, way := range []string{"up", "down"} {
				var cpus, rates [2][]float64
				var each []float64
				for round := range bodiesRounds + 1 {
					var cpu [2]float64
					for i, c := range []*child{ours, theirs} {
						var rate float64
						if rate, cpu[i], err = shipped(c, client, way, size, bodiesLength); err != nil {
							return "", false, fmt.Errorf("%s %s %d: %w", protocol, way, size, err)
						}
						if round > 0 { // the first is for connections and heaps to settle
							rates[i], cpus[i] = append(rates[i], rate), append(cpus[i], cpu[i])
						}
					}
					if round > 0 {
						each = append(each, cpu[0]/cpu[1])
					}
				}
				ratio := median(each)
				ratios = append(ratios, ratio)
				fmt.Fprintf(out, "%-6s %-5s %-8s %9.0f %10v %9.0f %10v %8.2f\n", protocol, way, sizeName(size), median(rates[0])/1e6, perMB(median(cpus[0])), median(rates[1])/1e6, perMB(median(cpus[1])), ratio)
			}
			peak, err := ours.rss("VmHWM")
			if err != nil {
				return "", false, err
			}
			if small == 0 {
				small = peak
			}
			growth = max(growth, peak-small)
		}
	}
	fmt.Fprintf(out, "the gateway's peak memory grew by %d MB from the smallest bodies to the largest\n", growth>>20)
	beside, err := besideStreams(out)
	if err != nil {
		return "", false, err
	}
	for _, protocol := range []string{"http1", "http2"} {
		if err := idleBytes(out, protocol); err != nil {
			return "", false, err
		}
	}
	worst := slices.Max(ratios)
	fine = worst <= mostByteCPU && beside <= mostBeside && growth>>20 <= mostGrowth
	return fmt.Sprintf("CPU a byte %.2f of ReverseProxy's in the median and %.2f at worst, aim %.1f; small requests' p99 beside streams %.2f of quiet, aim %.1f; memory %d MB more, aim %d",
		median(ratios), worst, mostByteCPU, beside, mostBeside, growth>>20, mostGrowth), fine, nil
}

func sizeName(n int64) string {
	switch {
	case n >= 1<<30:
		return fmt.Sprintf("%d GiB", n>>30)
	case n >= 1<<20:
		return fmt.Sprintf("%d MiB", n>>20)
	}
	return fmt.Sprintf("%d KiB", n>>10)
}

func perMB(cpu float64) time.Duration {
	return time.Duration(cpu * 1e6 * float64(time.Second)).Round(time.Microsecond)
}

// besideStreams is the p99 of small requests beside large streams, in that of quiet times.
func besideStreams(out io.Writer) (float64, error) {
	host, stop, err := bodiesHost("http1")
	if err != nil {
		return 0, err
	}
	defer stop()
	c, err := startChild("gateway", bodiesCores, bodiesGateway("http1", host))
	if err != nil {
		return 0, err
	}
	defer c.end()
	client := bodiesClient("http1")
	defer client.CloseIdleConnections()
	p99 := func() (d time.Duration, err error) {
		var all []float64
		for range 5 { // the machine has hiccups of its own
			if d, err = p99Once(client, c.addr); err != nil {
				return 0, err
			}
			all = append(all, float64(d))
		}
		return time.Duration(median(all)), nil
	}
	if _, err := p99(); err != nil {
		return 0, err
	}
	quiet, err := p99()
	if err != nil {
		return 0, err
	}
	ctx, end := context.WithCancel(context.Background())
	var all sync.WaitGroup
	streams := bodiesClient("http1")
	defer streams.CloseIdleConnections()
	for i := range largeStreams {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second * (32 << 10) / largeRate / largeStreams) // not all at once
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/down?n="+strconv.Itoa(1<<30), nil)
			resp, err := streams.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			const part = 32 << 10
			for ctx.Err() == nil {
				if _, err := io.CopyN(io.Discard, resp.Body, part); err != nil {
					return
				}
				time.Sleep(time.Second * part / largeRate)
			}
		})
	}
	time.Sleep(time.Second)
	loaded, err := p99()
	end()
	all.Wait()
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(out, "p99 of small requests: %v quiet, %v beside %d streams of %d KB/s\n", quiet, loaded, largeStreams, largeRate>>10)
	return float64(loaded) / float64(quiet), nil
}

// p99Once is the p99 of a thousand small requests, one after the other.
func p99Once(client *http.Client, addr string) (time.Duration, error) {
	var took []time.Duration
	for range 1000 {
		began := time.Now()
		resp, err := client.Get("http://" + addr + "/down?n=1024")
		if err != nil {
			return 0, err
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		took = append(took, time.Since(began))
		time.Sleep(200 * time.Microsecond)
	}
	slices.Sort(took)
	return took[len(took)*99/100], nil
}

// idleBytes is what the gateway holds for each of many streams on which nothing happens.
func idleBytes(out io.Writer, protocol string) error {
	host, stop, err := bodiesHost(protocol)
	if err != nil {
		return err
	}
	defer stop()
	c, err := startChild("gateway", bodiesCores, bodiesGateway(protocol, host))
	if err != nil {
		return err
	}
	defer c.end()
	n, conns := idleOnes, 1
	if protocol == "http2" {
		n, conns = idleStreams, 8
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	before, err := c.rss("VmRSS")
	if err != nil {
		return err
	}
	var open atomic.Int64
	var all sync.WaitGroup
	errs := make(chan error, n)
	opening := make(chan struct{}, 16) // more at once would be turned away, as they should be
	for i := range conns {
		client := bodiesClient(protocol)
		if tr, ok := client.Transport.(*http2.Transport); ok {
			tr.StrictMaxConcurrentStreams = true
		}
		defer client.CloseIdleConnections()
		for range n/conns + min(1, max(0, n%conns-i)) {
			all.Go(func() {
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/idle", nil)
				opening <- struct{}{}
				resp, err := client.Do(req)
				<-opening
				if err != nil {
					errs <- err
					return
				}
				if resp.StatusCode != 200 {
					errs <- fmt.Errorf("an idle stream was answered %d", resp.StatusCode)
					return
				}
				open.Add(1)
				<-ctx.Done()
				resp.Body.Close()
			})
		}
	}
	for begun := time.Now(); open.Load() < int64(n); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-errs:
			return err
		default:
		}
		if time.Since(begun) > 20*time.Second {
			return fmt.Errorf("%d of %d idle streams came about", open.Load(), n)
		}
	}
	time.Sleep(time.Second)
	after, err := c.rss("VmRSS")
	end()
	all.Wait()
	if err == nil {
		fmt.Fprintf(out, "%s: %d idle streams hold %d bytes each\n", protocol, n, (after-before)/int64(n))
	}
	return err
}
