package benchmarks

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
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
	"golang.org/x/net/http2/hpack"

	"frostshift/internal/config"
	"frostshift/internal/gateway"
)

const (
	h2Hosts    = 4
	h2Length   = 3 * time.Second
	h2Cores    = 4
	mostH2CPU  = 1.0  // of ReverseProxy's, with HTTP/2 on both sides
	h2MostOpen = 1000 // streams that a connection may have open, for both gateways
)

func init() {
	children["gateway2"] = gateway2Child
	children["reverse2"] = reverse2Child
	children["hosts2"] = hosts2Child
	All = append(All, Benchmark{"h2", "1 to 1,000 streams over one connection, beside as many HTTP/1.1 connections and ReverseProxy", runH2})
}

// hosts2Child is hosts that speak HTTP/2 and answer everything alike, in a process of
// their own, for both gateways the same.
func hosts2Child() error {
	_, gone := childArgs()
	body := bytes.Repeat([]byte("x"), answerSize)
	srv := &http2.Server{MaxConcurrentStreams: 4096}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		w.Write(body)
	})
	var addrs []any
	for range h2Hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addrs = append(addrs, ln.Addr())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go srv.ServeConn(c, &http2.ServeConnOpts{Handler: handler})
			}
		}()
	}
	fmt.Println(addrs...)
	<-gone
	return nil
}

// gateway2Child is a gateway over the arguments, hosts that speak HTTP/2: its first
// listener speaks HTTP/2 too, its second HTTP/1.1.
func gateway2Child() error {
	args, gone := childArgs()
	text := fmt.Sprintf("[limits]\nstreams = %d\n", h2MostOpen) + strings.Replace(gatewayConfig(args), "address = \"127.0.0.1:0\"\n", "address = \"127.0.0.1:0\"\nprotocol = \"http2\"\n[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\n", 1)
	text = strings.Replace(text, "name = \"p0\"\nhosts", "name = \"p0\"\nprotocol = \"http2\"\nhosts", 1)
	m, _, err := config.Parse("benchmark.toml", []byte(text))
	if err != nil {
		return err
	}
	g, err := gateway.New(m, slog.New(slog.DiscardHandler), gateway.Options{Linger: func() {}})
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	go func() { <-gone; end() }()
	fmt.Println(g.Addr("clients"), g.Addr("one"))
	return g.Run(ctx)
}

// reverse2Child is httputil.ReverseProxy with HTTP/2 on both sides, and HTTP/1.1 towards
// clients on a second port.
func reverse2Child() error {
	args, gone := childArgs()
	var hosts []*url.URL
	for _, a := range args {
		hosts = append(hosts, &url.URL{Scheme: "http", Host: a})
	}
	var turn atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(hosts[turn.Add(1)%uint64(len(hosts))]) },
		Transport: &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, network, addr)
		}},
		ErrorLog: log.New(io.Discard, "", 0),
	}
	two, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	one, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http2.Server{MaxConcurrentStreams: h2MostOpen}
	fmt.Println(two.Addr(), one.Addr())
	go func() {
		for {
			c, err := two.Accept()
			if err != nil {
				return
			}
			go srv.ServeConn(c, &http2.ServeConnOpts{Handler: proxy})
		}
	}()
	go http.Serve(one, proxy)
	<-gone
	return nil
}

// lookup encodes the head of a request.
func lookup(block *bytes.Buffer, enc *hpack.Encoder) {
	block.Reset()
	for _, f := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":authority", "app.svc"}, {":path", "/p0/x"}} {
		enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
}

// multiplex drives so many streams over one connection for a time: each asks again as
// soon as it has its answer. What the server lets be open is kept.
func multiplex(addr string, streams int, length time.Duration) (l load, times []time.Duration, err error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return l, nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(length + 10*time.Second))
	var out bytes.Buffer
	fr := http2.NewFramer(&out, nc)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	flush := func() error { _, err := nc.Write(out.Bytes()); out.Reset(); return err }
	out.WriteString(http2.ClientPreface)
	fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	fr.WriteWindowUpdate(0, 1<<30)
	began := map[uint32]time.Time{}
	next := uint32(1)
	open := func() {
		lookup(&block, enc)
		fr.WriteHeaders(http2.HeadersFrameParam{StreamID: next, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true})
		began[next] = time.Now()
		next += 2
	}
	start := time.Now()
	for range streams {
		open()
	}
	credit := 0
	if err := flush(); err != nil {
		return l, nil, err
	}
	for len(began) > 0 {
		f, err := fr.ReadFrame()
		if err != nil {
			return l, nil, err
		}
		id, ended := f.Header().StreamID, false
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			if f.PseudoValue("status") != "200" {
				l.failed++
			}
			ended = f.StreamEnded()
		case *http2.DataFrame:
			if credit += int(f.Length); credit > 1<<24 {
				fr.WriteWindowUpdate(0, uint32(credit))
				credit = 0
			}
			ended = f.StreamEnded()
		case *http2.SettingsFrame:
			if !f.IsAck() {
				fr.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				fr.WritePing(true, f.Data)
			}
		case *http2.RSTStreamFrame:
			l.failed++
			ended = true
		case *http2.GoAwayFrame:
			return l, nil, errors.New("told to go away")
		}
		if ended {
			times = append(times, time.Since(began[id]))
			delete(began, id)
			l.requests++
			if time.Since(start) < length {
				open()
			}
		}
		if out.Len() > 0 {
			if err := flush(); err != nil {
				return l, nil, err
			}
		}
	}
	l.took = time.Since(start)
	return l, times, nil
}

// oneEach drives as many HTTP/1.1 connections, and measures each request.
func oneEach(addr string, clients int, length time.Duration) (l load, times []time.Duration, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed atomic.Int64
	errs := make(chan error, clients)
	start := time.Now()
	request := []byte("GET /p0/x HTTP/1.1\r\nHost: app.svc\r\n\r\n")
	for range clients {
		all.Go(func() {
			var own []time.Duration
			err := client(addr, request, start.Add(length), func(took time.Duration, ok bool) {
				own = append(own, took)
				if !ok {
					failed.Add(1)
				}
			})
			mu.Lock()
			times = append(times, own...)
			mu.Unlock()
			if err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	l = load{requests: int64(len(times)), failed: failed.Load(), took: time.Since(start)}
	select {
	case err = <-errs:
	default:
	}
	return l, times, err
}

// h2Row is one measurement.
type h2Row struct {
	load
	cpu    time.Duration
	p99    time.Duration
	memory int // KiB, of the child
}

func measureH2(c *child, f func(length time.Duration) (load, []time.Duration, error)) (r h2Row, err error) {
	if _, _, err := f(h2Length / 4); err != nil {
		return r, err
	}
	before, err := c.cpu()
	if err != nil {
		return r, err
	}
	var times []time.Duration
	if r.load, times, err = f(h2Length); err != nil {
		return r, err
	}
	after, err := c.cpu()
	r.cpu = (after - before) / time.Duration(max(r.requests, 1))
	slices.Sort(times)
	if len(times) > 0 {
		r.p99 = times[len(times)*99/100]
	}
	r.memory = c.memory()
	// A balancer may turn a few away while a thousand come at once.
	if r.failed > r.requests/1000 && err == nil {
		err = fmt.Errorf("%d of %d requests were not served", r.failed, r.requests)
	}
	return r, err
}

// memory is the child's resident memory in KiB; 0: unknown.
func (c *child) memory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// attackers are connections that open and reset streams as fast as they can, and connect
// again when they are told to go away.
const attackers = 4

// besideAttack measures ten streams of one client, without and beside a rapid reset.
func besideAttack(out io.Writer, hosts []string) error {
	c, err := startChild("gateway2", h2Cores, hosts...)
	if err != nil {
		return err
	}
	defer c.end()
	addr := strings.Fields(c.addr)[0]
	fmt.Fprintf(out, "%-24s %11s %9s %9s\n", "ten streams", "requests/s", "p99", "memory")
	for _, attacked := range []bool{false, true} {
		label := "alone"
		ctx, stop := context.WithCancel(context.Background())
		var all sync.WaitGroup
		if attacked {
			label = "beside a rapid reset"
			for range attackers {
				all.Go(func() {
					for ctx.Err() == nil {
						attack(ctx, addr)
					}
				})
			}
		}
		r, err := measureH2(c, func(l time.Duration) (load, []time.Duration, error) { return multiplex(addr, 10, l) })
		stop()
		all.Wait()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-24s %11.0f %9v %6.1f MB\n", label, r.rate(), r.p99.Round(10*time.Microsecond), float64(r.memory)/1024)
	}
	return nil
}

// attack opens and resets streams over one connection until it ends.
func attack(ctx context.Context, addr string) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	go io.Copy(io.Discard, nc)
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	w := bufio.NewWriterSize(nc, 32<<10)
	fr := http2.NewFramer(w, nil)
	w.WriteString(http2.ClientPreface)
	fr.WriteSettings()
	for id := uint32(1); ctx.Err() == nil; id += 2 {
		lookup(&block, enc)
		if err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}); err != nil {
			return
		}
		if err := fr.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
			return
		}
	}
}

// runH2 measures both gateways over both protocols.
func runH2(out io.Writer) (string, bool, error) {
	host, err := startChild("hosts2", h2Cores)
	if err != nil {
		return "", false, err
	}
	defer host.end()
	fmt.Fprintf(out, "%d hosts over HTTP/2, %d byte answers, %d cores\n", h2Hosts, answerSize, h2Cores)
	fmt.Fprintf(out, "%-14s %-9s %7s %11s %11s %9s %9s %9s\n", "program", "clients", "at once", "requests/s", "not served", "CPU", "p99", "memory")
	worst := 0.0
	for _, n := range []int{1, 100, 1000} {
		var ours, theirs h2Row
		for _, name := range []string{"gateway2", "reverse2"} {
			c, err := startChild(name, h2Cores, strings.Fields(host.addr)...)
			if err != nil {
				return "", false, err
			}
			addrs := strings.Fields(c.addr)
			two, err := measureH2(c, func(l time.Duration) (load, []time.Duration, error) {
				return multiplex(addrs[0], n, l)
			})
			var one h2Row
			if err == nil {
				one, err = measureH2(c, func(l time.Duration) (load, []time.Duration, error) { return oneEach(addrs[1], n, l) })
			}
			c.end()
			if err != nil {
				return "", false, fmt.Errorf("%s, %d at once: %w", name, n, err)
			}
			label := "gateway"
			if name == "reverse2" {
				label, theirs = "ReverseProxy", two
			} else {
				ours = two
			}
			for _, r := range []struct {
				clients string
				h2Row
			}{{"HTTP/2", two}, {"HTTP/1.1", one}} {
				fmt.Fprintf(out, "%-14s %-9s %7d %11.0f %11d %9v %9v %6.1f MB\n", label, r.clients, n, r.rate(), r.failed, r.cpu.Round(100*time.Nanosecond), r.p99.Round(10*time.Microsecond), float64(r.memory)/1024)
			}
		}
		worst = max(worst, float64(ours.cpu)/float64(theirs.cpu))
	}
	if err := besideAttack(out, strings.Fields(host.addr)); err != nil {
		return "", false, err
	}
	return fmt.Sprintf("at most %.2f of ReverseProxy's CPU a request over HTTP/2, aim %.1f", worst, mostH2CPU), worst <= mostH2CPU, nil
}
