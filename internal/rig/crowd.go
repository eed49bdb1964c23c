package rig

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
		{"stops half way", "GET /x HTTP/1.1\r\nHost: rig\r\nX-Pad: ", false},
		{"stays after its answer", "GET /ready HTTP/1.1\r\nHost: rig\r\n\r\n", true},
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
