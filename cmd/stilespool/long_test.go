package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pieces reads in pieces of any size, with a pause now and then.
type pieces struct {
	r    io.Reader
	rand *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.rand.IntN(40) == 0 {
		time.Sleep(time.Duration(p.rand.IntN(20)) * time.Millisecond)
	}
	return p.r.Read(b[:1+p.rand.IntN(min(len(b), 64<<10))])
}

// seeded is a body that a number makes, with its sum.
func seeded(n int64, seed uint64) io.Reader {
	return io.LimitReader(&stream{rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})}, n)
}

type stream struct{ *rand.ChaCha8 }

// More bodies at once than memory holds, both ways, in all framings, with slow peers: each is
// whole, and the process stays under half of its limit.
func TestMoreBodiesThanMemoryHolds(t *testing.T) {
	const clients, size = 64, 8 << 20
	const tries = 200 // of a client that is refused, from when places come free
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		seed, _ := strconv.ParseUint(r.URL.Query().Get("obj"), 10, 64)
		if _, err := io.Copy(h, &pieces{r.Body, rand.New(rand.NewPCG(seed, 1))}); err != nil {
			return
		}
		w.Header().Set("X-Sum", fmt.Sprintf("%x", h.Sum(nil)))
		if seed%2 == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		io.Copy(w, &pieces{seeded(size, seed+1), rand.New(rand.NewPCG(seed, 2))})
	}))
	defer host.Close()
	s := newSite(t, host.Listener.Addr().String())
	text, err := os.ReadFile(s.config)
	if err == nil {
		err = os.WriteFile(s.config, []byte(strings.Replace(string(text), `"memory_mb":192`, `"memory_mb":128`, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := s.start("GOMEMLIMIT=60MiB")
	p.serves(t)
	var all sync.WaitGroup
	var comesFree atomic.Bool // a body has ended; until then those that came first hold the places at the host
	for i := range clients {
		all.Go(func() {
			err := errBusy
			for n := 0; errors.Is(err, errBusy) && n < tries; {
				if comesFree.Load() {
					n++
				}
				err = transfer(s.addr, uint64(i), size)
			}
			comesFree.Store(true)
			if err != nil {
				t.Errorf("%d: %v", i, err)
			}
		})
	}
	all.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil || raced {
		return
	}
	for _, line := range strings.Split(string(status), "\n") {
		if kb, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, err := strconv.Atoi(strings.Fields(kb)[0])
			if err != nil || n > 64<<10 {
				t.Errorf("it holds %s", kb)
			}
		}
	}
}

var errBusy = errors.New("busy")

// transfer sends a body and takes one in, and checks both.
func transfer(addr string, seed uint64, size int64) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Minute))
	sent := sha256.New()
	body := io.TeeReader(&pieces{seeded(size, seed), rand.New(rand.NewPCG(seed, 3))}, sent)
	framing := fmt.Sprintf("Content-Length: %d", size)
	if seed%3 == 0 {
		framing = "Transfer-Encoding: chunked"
	}
	done := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c, "POST /book?obj=%d HTTP/1.1\r\nHost: x\r\nX-Service-Class: book\r\nX-Correlation-Id: long-%d\r\nX-Time-Left: 5000m\r\n%s\r\n\r\n",
			seed, seed, framing)
		if seed%3 != 0 {
			_, err = io.Copy(c, body)
			done <- err
			return
		}
		buf := make([]byte, 32<<10)
		for n := 0; err == nil; {
			if n, err = body.Read(buf); n > 0 {
				_, werr := fmt.Fprintf(c, "%x;n=\"%d\"\r\n%s\r\n", n, n, buf[:n])
				if werr != nil {
					err = werr
				}
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(c, "0\r\nX-Last: 1\r\n\r\n")
		}
		done <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.Close()
		<-done
		time.Sleep(50 * time.Millisecond)
		return errBusy
	}
	got, want := sha256.New(), sha256.New()
	n, err := io.Copy(got, &pieces{resp.Body, rand.New(rand.NewPCG(seed, 4))})
	if err != nil || resp.StatusCode != 200 {
		return fmt.Errorf("%d after %d bytes: %w", resp.StatusCode, n, err)
	}
	if err := <-done; err != nil {
		return err
	}
	io.Copy(want, seeded(size, seed+1))
	switch {
	case string(got.Sum(nil)) != string(want.Sum(nil)):
		return fmt.Errorf("the answer of %d bytes is not the host's", n)
	case resp.Header.Get("X-Sum") != fmt.Sprintf("%x", sent.Sum(nil)):
		return fmt.Errorf("the host got another body")
	}
	return nil
}
