package benchmarks

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	crowd = 4000 // connections of one kind at once
	// crowdAim is how many bytes one that says nothing may cost: a goroutine's first stack, its
	// poller's entry, and what the gateway notes of it.
	crowdAim = 6 << 10
	// crowdWait lets the gateway take in all that has come.
	crowdWait = 500 * time.Millisecond
)

// runCrowd measures what the gateway's process grows by for each connection of a crowd.
func runCrowd(out io.Writer) (string, bool, error) {
	kinds := []struct {
		name, says string
		answered   bool
	}{
		{"says nothing", "", false},
		{"stops half way", "GET /x HTTP/1.1\r\nHost: benchmark\r\nX-Pad: ", false},
		{"stays after its answer", "GET /ready HTTP/1.1\r\nHost: benchmark\r\n\r\n", true},
	}
	var silent int64
	for _, k := range kinds {
		each, err := crowdBytes(k.says, k.answered)
		if err != nil {
			return "", false, fmt.Errorf("%s: %w", k.name, err)
		}
		fmt.Fprintf(out, "a connection that %-24s %6d bytes\n", k.name, each)
		if k.says == "" {
			silent = each
		}
	}
	slow, err := slowBytes()
	if err != nil {
		return "", false, fmt.Errorf("slow readers: %w", err)
	}
	fmt.Fprintf(out, "one of %d that take 1 KB/s of 3 GB %6d bytes\n", slowOnes, slow)
	return fmt.Sprintf("%d bytes for one that says nothing, %d are the aim", silent, crowdAim), silent <= crowdAim, nil
}

func crowdBytes(says string, answered bool) (int64, error) {
	c, err := startChild("gateway", bodiesCores, bodiesGateway("http1", "127.0.0.1:1"))
	if err != nil {
		return 0, err
	}
	defer c.end()
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	open := func(n int) error {
		for range n {
			nc, err := net.Dial("tcp", c.addr)
			if err != nil {
				return err
			}
			conns = append(conns, nc)
			if _, err := io.WriteString(nc, says); err != nil {
				return err
			}
			if !answered {
				continue
			}
			nc.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				return err
			}
			io.Copy(io.Discard, resp.Body)
		}
		time.Sleep(crowdWait)
		return nil
	}
	if err := open(100); err != nil { // what the first ones bring into being
		return 0, err
	}
	before, err := c.rss("VmRSS")
	if err != nil {
		return 0, err
	}
	if err := open(crowd); err != nil {
		return 0, err
	}
	after, err := c.rss("VmRSS")
	return (after - before) / crowd, err
}

const (
	slowOnes   = 1000
	slowFor    = 5 * time.Second
	slowLength = 3_000_000_000
)

// slowBytes is what the gateway's process grows by for each client that takes a kilobyte a
// second of an answer of 3 GB, which its host gives as fast as it is taken.
func slowBytes() (int64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", slowLength)
				for err := error(nil); err == nil; {
					_, err = nc.Write(zeros)
				}
			}()
		}
	}()
	c, err := startChild("gateway", bodiesCores, bodiesGateway("http1", ln.Addr().String()))
	if err != nil {
		return 0, err
	}
	defer c.end()
	before, err := c.rss("VmRSS")
	if err != nil {
		return 0, err
	}
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	for range slowOnes {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			return 0, err
		}
		conns = append(conns, nc)
		nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: benchmark\r\n\r\n")
		nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(nc, make([]byte, len("HTTP/1.1 200 "))); err != nil {
			return 0, err
		}
	}
	part := make([]byte, 1<<10)
	for end := time.Now().Add(slowFor); time.Now().Before(end); time.Sleep(time.Second) {
		for _, nc := range conns {
			nc.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := nc.Read(part); err != nil {
				return 0, err
			}
		}
	}
	after, err := c.rss("VmRSS")
	return (after - before) / slowOnes, err
}
