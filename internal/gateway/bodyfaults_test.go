package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// fault is how a host treats one attempt.
type fault struct {
	Read   int  // bytes of the body that it reads before it answers; -1: all
	Die    bool // instead of an answer
	Status int
	Size   int  // of its answer
	Sized  bool // told
	Cut    int  // bytes of the answer after which it breaks off; -1: none
}

// played is one request as it was meant, and what came of it at the hosts.
type played struct {
	sent   []byte
	plan   []fault
	unsafe bool

	mu    sync.Mutex
	tries int
	ran   int // attempts after which the request may not run again, where it is unsafe
	wrong string
}

// answerOf is a host's answer: no two attempts have the same.
func answerOf(id string, try, size int) []byte {
	sum := sha256.Sum256([]byte(id + "/" + strconv.Itoa(try)))
	r := rand.NewChaCha8(sum)
	b := make([]byte, size)
	r.Read(b)
	return b
}

// Random bodies, framings, faults and classes, over all four combinations of protocols: a host
// never has a body that is whole and differs from what the client sent, a client never has an
// answer that is whole and differs from what the host sent, nothing unsafe runs twice, and each
// request has one end, with nothing held behind it.
func TestBodiesUnderFaults(t *testing.T) {
	cases := 2500
	if testing.Short() {
		cases = 200
	}
	inEach(t, func(t *testing.T, client, host string) {
		t.Parallel()
		var all sync.Map
		serve := func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Correlation-Id")
			v, ok := all.Load(id)
			if !ok {
				return
			}
			p := v.(*played)
			p.mu.Lock()
			try := p.tries
			p.tries++
			p.mu.Unlock()
			f := p.plan[min(try, len(p.plan)-1)]
			http.NewResponseController(w).EnableFullDuplex()
			if f.Read >= 0 && r.ProtoMajor == 1 {
				w.Header().Set("Connection", "close") // net/http's server can't go on behind half a body
			}
			var got []byte
			var err error
			if f.Read < 0 {
				got, err = io.ReadAll(r.Body)
			} else {
				got, err = io.ReadAll(io.LimitReader(r.Body, int64(f.Read)))
			}
			p.mu.Lock()
			switch {
			case !bytes.HasPrefix(p.sent, got):
				p.wrong = fmt.Sprintf("try %d: the host had other bytes", try)
			case f.Read < 0 && err == nil && len(got) != len(p.sent):
				p.wrong = fmt.Sprintf("try %d: %d of %d bytes passed for all", try, len(got), len(p.sent))
			}
			if p.ran++; p.ran > 1 && p.unsafe {
				p.wrong = fmt.Sprintf("an unsafe request was begun %d times", p.ran)
			}
			p.mu.Unlock()
			if f.Die || err != nil {
				panic(http.ErrAbortHandler)
			}
			body := answerOf(id, try, f.Size)
			w.Header().Set("X-Try", strconv.Itoa(try))
			if f.Sized {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			w.WriteHeader(f.Status)
			if f.Cut >= 0 && f.Cut < len(body) {
				w.Write(body[:f.Cut])
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			w.Write(body)
		}
		hosts := []string{netHost(t, host, serve), netHost(t, host, serve)}
		var gateways []*running
		bodies := "answers = \"stream\"\nhold = 2000\nreplay = 3000\n"
		for _, class := range []string{"safe", "unsafe"} {
			for _, more := range []string{`requests = "stream"`, "requests = \"auto\"", "requests = \"stream\"\nspool = 20000"} {
				gateways = append(gateways, launch(t, flowing(t, client, host, class, bodies+more, hosts...)))
			}
		}
		const workers = 8
		var wg sync.WaitGroup
		ends := make([]map[string]int, workers)
		for n := range workers {
			ends[n] = map[string]int{}
			c := talker(t, client)
			wg.Go(func() {
				r := rand.New(rand.NewPCG(uint64(n), 25))
				for i := range cases / workers {
					at := r.IntN(len(gateways))
					end, err := playOne(r, gateways[at], c, &all, fmt.Sprintf("%d-%d", n, i), at >= 3)
					if err != nil {
						t.Errorf("worker %d, case %d: %v", n, i, err)
						return
					}
					ends[n][end]++
				}
			})
		}
		wg.Wait()
		for _, g := range gateways {
			idle(t, g)
		}
		sum := map[string]int{}
		for _, m := range ends {
			for end, k := range m {
				sum[end] += k
			}
		}
		for _, end := range []string{"served", "cut", "failed", "left"} {
			if sum[end] == 0 {
				t.Errorf("no request was %s: %v", end, sum)
			}
		}
	})
}

var sizes = []int{0, 1, 100, 1999, 2001, 2999, 3000, 3001, 5000, 20001, 70000}

func playOne(r *rand.Rand, g *running, c *http.Client, all *sync.Map, id string, unsafe bool) (end string, err error) {
	p := &played{sent: noise(sizes[r.IntN(len(sizes))]), unsafe: unsafe}
	for range 4 {
		f := fault{Read: -1, Status: 200, Size: sizes[r.IntN(len(sizes))], Sized: r.IntN(2) == 0, Cut: -1}
		switch r.IntN(8) {
		case 0:
			f.Die = true
		case 1:
			f.Read, f.Die = r.IntN(len(p.sent)+1), true
		case 2:
			f.Read, f.Status = r.IntN(len(p.sent)+1), 413
		case 3:
			f.Cut = r.IntN(f.Size + 1)
		}
		p.plan = append(p.plan, f)
	}
	all.Store(id, p)
	defer all.Delete(id)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	breaks, leaves := -1, -1
	switch r.IntN(8) {
	case 0:
		breaks = r.IntN(len(p.sent) + 1)
	case 1:
		leaves = r.IntN(len(p.sent) + 1)
	}
	in := &faulty{data: p.sent, part: 1 + r.IntN(8000), breaks: breaks, leaves: leaves, leave: cancel}
	var body io.Reader = in
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/x", body)
	req.Header.Set("X-Correlation-Id", id)
	if r.IntN(2) == 0 {
		req.ContentLength = int64(len(p.sent))
	}
	if len(p.sent) == 0 {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	resp, err := c.Do(req)
	p.mu.Lock()
	wrong := p.wrong
	p.mu.Unlock()
	if wrong != "" {
		return "", errors.New(wrong)
	}
	if err != nil {
		if breaks < 0 && leaves < 0 {
			// An answer to a body that is still being sent may be lost with the connection
			// (RFC 9112 section 9.6); a request that was sent whole has its answer.
			if p.plan[0].Status == 200 {
				return "", fmt.Errorf("no answer: %w", err)
			}
			return "left", nil
		}
		return "left", nil
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	p.mu.Lock()
	wrong = p.wrong
	p.mu.Unlock()
	if wrong != "" {
		return "", errors.New(wrong)
	}
	if resp.Header.Get("X-Try") == "" { // the gateway's own
		if resp.StatusCode < 400 {
			return "", fmt.Errorf("the gateway answered %d", resp.StatusCode)
		}
		return "failed", nil
	}
	try, _ := strconv.Atoi(resp.Header.Get("X-Try"))
	f := p.plan[min(try, len(p.plan)-1)]
	want := answerOf(id, try, f.Size)
	switch {
	case !bytes.HasPrefix(want, got):
		return "", fmt.Errorf("%d bytes that the host did not send", len(got))
	case err != nil:
		return "cut", nil
	case len(got) != len(want):
		return "", fmt.Errorf("%d of %d bytes passed for a whole answer", len(got), len(want))
	case f.Cut >= 0 && f.Cut < f.Size:
		return "", errors.New("an answer that broke off passed for a whole one")
	}
	return "served", nil
}

// faulty is a body that may break off, or whose client may leave.
type faulty struct {
	data           []byte
	part, at       int
	breaks, leaves int
	leave          func()
}

var errFault = errors.New("the client's own fault")

func (f *faulty) Read(p []byte) (int, error) {
	switch {
	case f.leaves >= 0 && f.at >= f.leaves:
		f.leave()
		return 0, errFault
	case f.breaks >= 0 && f.at >= f.breaks:
		return 0, errFault
	case f.at == len(f.data):
		return 0, io.EOF
	}
	n := min(len(p), f.part, len(f.data)-f.at)
	for _, stop := range []int{f.breaks, f.leaves} {
		if stop > f.at {
			n = min(n, stop-f.at)
		}
	}
	copy(p, f.data[f.at:f.at+n])
	f.at += n
	return n, nil
}
