package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"pgregory.net/rapid"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// ends reads until the gateway has closed the connection, and returns the code of its
// GOAWAY with the last stream that it says was taken.
func ends(t *testing.T, c *fake.H2Client) (code http2.ErrCode, last uint32, told bool) {
	t.Helper()
	for {
		f, err := c.Read()
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				t.Fatal("the connection does not end")
			}
			return code, last, told
		}
		if g, ok := f.(*http2.GoAwayFrame); ok {
			code, last, told = g.ErrCode, g.LastStreamID, true
		}
	}
}

// block is an encoded header block.
func block(fields ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for i := 0; i+1 < len(fields); i += 2 {
		e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return b.Bytes()
}

// Known attacks: the connection ends, nothing of it reaches a host that should not, other
// clients are served meanwhile, and nothing is left.
func TestAttacksOverHTTP2(t *testing.T) {
	host := h2host(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 1000}}, nil, echo)
	g := launch(t, overH2(t, "http2", host.Addr()), func(o *Options) { o.SendWithin = 300 * time.Millisecond })
	beside := h2client(t, g)
	head := []string{":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/look"}
	for _, c := range []struct {
		name   string
		attack func(c *fake.H2Client, f *http2.Framer) error
		code   http2.ErrCode
	}{
		{"rapid reset (CVE-2023-44487)", func(c *fake.H2Client, f *http2.Framer) error {
			for i := range uint32(5000) {
				id := 2*i + 1
				if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block(head...), EndStream: true, EndHeaders: true}); err != nil {
					return err
				}
				if err := f.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeEnhanceYourCalm},
		{"resets that the client provokes (CVE-2025-8671)", func(c *fake.H2Client, f *http2.Framer) error {
			for i := range uint32(5000) {
				id := 2*i + 1
				if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block(head...), EndStream: true, EndHeaders: true}); err != nil {
					return err
				}
				if err := f.WriteRawFrame(http2.FrameWindowUpdate, 0, id, []byte{0, 0, 0, 0}); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeEnhanceYourCalm},
		{"CONTINUATION without end (CVE-2024-27316)", func(c *fake.H2Client, f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block(head...)}); err != nil {
				return err
			}
			for range 200_000 {
				if err := f.WriteContinuation(1, false, block("x-a", strings.Repeat("b", 100))); err != nil {
					return err
				}
			}
			return nil
		}, 0},
		{"empty CONTINUATION without end", func(c *fake.H2Client, f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block(head...)}); err != nil {
				return err
			}
			for range 200_000 {
				if err := f.WriteContinuation(1, false, nil); err != nil {
					return err
				}
			}
			return nil
		}, 0},
		{"a header bomb", func(c *fake.H2Client, f *http2.Framer) error {
			b := block(append(append([]string{}, head...), "x-bomb", strings.Repeat("b", 3000))...)
			for range 10_000 { // the field that is last in the table, a byte each
				b = append(b, 0x80|62)
			}
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: b, EndStream: true, EndHeaders: true})
		}, 0},
		{"settings", func(c *fake.H2Client, f *http2.Framer) error {
			for range 5000 {
				if err := f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 7}); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeEnhanceYourCalm},
		{"pings", func(c *fake.H2Client, f *http2.Framer) error {
			for range 5000 {
				if err := f.WritePing(false, [8]byte{}); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeEnhanceYourCalm},
		{"empty DATA", func(c *fake.H2Client, f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block(append([]string{":method", "POST"}, head[2:]...)...), EndHeaders: true}); err != nil {
				return err
			}
			for range 5000 {
				if err := f.WriteData(1, false, nil); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeEnhanceYourCalm},
		{"a window that overflows", func(c *fake.H2Client, f *http2.Framer) error {
			if err := f.WriteWindowUpdate(0, 1<<31-1); err != nil {
				return err
			}
			return f.WriteWindowUpdate(0, 1<<31-1)
		}, http2.ErrCodeFlowControl},
		{"more data than the window", func(c *fake.H2Client, f *http2.Framer) error {
			for i := range uint32(200) {
				id := 2*i + 1
				if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block(append([]string{":method", "POST"}, head[2:]...)...), EndHeaders: true}); err != nil {
					return err
				}
				for range 3 {
					if err := f.WriteData(id, false, make([]byte, 16<<10)); err != nil {
						return err
					}
				}
			}
			return nil
		}, http2.ErrCodeFlowControl},
		{"a block that can't be decoded", func(c *fake.H2Client, f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff}, EndStream: true, EndHeaders: true})
		}, http2.ErrCodeCompression},
		{"ids that go backwards", func(c *fake.H2Client, f *http2.Framer) error {
			for _, id := range []uint32{5, 3} {
				if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block(head...), EndStream: true, EndHeaders: true}); err != nil {
					return err
				}
			}
			return nil
		}, http2.ErrCodeStreamClosed},
		{"even ids", func(c *fake.H2Client, f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2, BlockFragment: block(head...), EndStream: true, EndHeaders: true})
		}, http2.ErrCodeProtocol},
		{"data on a stream that was never opened", func(c *fake.H2Client, f *http2.Framer) error {
			return f.WriteData(9, true, []byte("x"))
		}, http2.ErrCodeProtocol},
		{"a frame that is too long", func(c *fake.H2Client, f *http2.Framer) error {
			return f.WriteData(1, true, make([]byte, 20<<10))
		}, 0},
	} {
		client := h2client(t, g)
		// The gateway closes in the middle: the rest of the attack then can't be written.
		go client.Write(func(f *http2.Framer) error { return c.attack(client, f) })
		if c.name == "a header bomb" { // may be answered 431: it has cost no more than its bytes
			time.AfterFunc(100*time.Millisecond, func() { client.Close() })
		}
		code, _, told := ends(t, client)
		if c.code != 0 && told && code != c.code {
			t.Errorf("%s: told to go away by %v, want %v", c.name, code, c.code)
		}
		id, err := beside.Open("GET", "/look", true)
		if err != nil {
			t.Fatal(err)
		}
		if got, _, err := beside.Collect(id); err != nil || got[id].Status != "200" {
			t.Errorf("%s: a client beside it: %+v, %v", c.name, got[id], err)
		}
	}
	// A preface that never comes, or is another.
	for _, text := range []string{"", "PRI * HT", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		c, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, text)
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection stays open", text)
		}
		c.Close()
	}
	until(t, "all that was open has ended", func() bool {
		conns, streams := g.servers[g.model.Listeners[0]].two.Counts()
		return conns == 1 && streams == 0 && g.exchange.Open() == 0 && g.budgets.bodies.Used() == 0 && g.budgets.requests.Used() == 0
	})
}

// Malformed requests end their stream and nothing else; none of them reaches a host, and
// no body is taken for a request.
func TestMalformedStreams(t *testing.T) {
	two := h2host(t, nil, nil, echo)
	one := scripted(t, func(r *fake.Request) fake.Act {
		return fake.Serve(r.Method + " " + r.Target + " " + string(r.Body))
	})
	t.Run("to hosts over HTTP/2", func(t *testing.T) { malformed(t, overH2(t, "http2", two.Addr()), two.Total) })
	t.Run("to hosts over HTTP/1.1", func(t *testing.T) { malformed(t, overH2(t, "http1", one.Addr()), one.Total) })
}

func malformed(t *testing.T, m *config.Model, total func() int) {
	g := launch(t, m, func(o *Options) { o.SendWithin = 200 * time.Millisecond })
	good := []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/book"}
	var many []string
	for i := range 600 { // short on the wire; the list counts 32 bytes more for each
		many = append(many, fmt.Sprint("x-", i), "1")
	}
	with := func(more ...string) []string { return append(append([]string{}, good...), more...) }
	for _, c := range []struct {
		name   string
		fields []string
		body   string // with END_STREAM; "": the head ends the stream
		status string // "": it is reset
	}{
		{"good", good, "", "200"},
		{"good with a length", with("content-length", "3"), "abc", "200"},
		{"length too long", with("content-length", "4"), "abc", ""},
		{"length too short", with("content-length", "2"), "abc", ""},
		{"length without a body", with("content-length", "2"), "", ""},
		{"two lengths", with("content-length", "3", "content-length", "4"), "abc", ""},
		{"a length that is none", with("content-length", "+3"), "abc", ""},
		{"Transfer-Encoding", with("transfer-encoding", "chunked"), "abc", ""},
		{"Connection", with("connection", "close"), "", ""},
		{"Upgrade", with("upgrade", "h2c"), "", ""},
		{"TE", with("te", "gzip"), "", ""},
		{"TE trailers", with("te", "trailers"), "", "200"},
		{"capitals", with("X-Capital", "1"), "", ""},
		{"pseudo-header behind", append([]string{"x-a", "1"}, good...), "", ""},
		{"pseudo-header twice", with(":path", "/other"), "", ""},
		{"unknown pseudo-header", append([]string{":foo", "x"}, good...), "", ""},
		{"no path", []string{":method", "POST", ":scheme", "http", ":authority", "a"}, "", ""},
		{"empty path", []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", ""}, "", ""},
		{"path without a slash", []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "book"}, "", ""},
		{"a request in the path", []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/book HTTP/1.1\r\nHost: b\r\n\r\nGET /look"}, "", ""},
		{"a line in a value", with("x-a", "b\r\nx-c: d"), "", ""},
		{"a request in the method", []string{":method", "GET /look HTTP/1.1", ":scheme", "http", ":authority", "a", ":path", "/book"}, "", ""},
		{"CONNECT", []string{":method", "CONNECT", ":authority", "a"}, "", ""},
		{"two hosts", with("host", "b"), "", ""},
		{"the same host", with("host", "a"), "", "200"},
		{"a host that is a path", []string{":method", "POST", ":scheme", "http", ":authority", "a/look", ":path", "/book"}, "", ""},
		{"a head that is too long", with(many...), "", "431"},
		{"body too long", with("content-length", "70000"), strings.Repeat("x", 10), "413"},
		{"unknown path", []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/no"}, "", "404"},
		{"path of another route", []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/no/../book"}, "", "400"},
	} {
		before := total()
		client := h2client(t, g)
		client.Head(1, c.body == "", c.fields...)
		if c.body != "" {
			client.Data(1, true, []byte(c.body))
		}
		got, _, err := client.Collect(1)
		a := got[1]
		if err != nil && c.status != "" {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if c.status == "" && (a.Reset == nil && err == nil || a.Status != "") || c.status != "" && a.Status != c.status {
			t.Errorf("%s: answered %q, reset %v, %v, want %q", c.name, a.Status, a.Reset, err, c.status)
		}
		if reached := total() - before; reached > 0 != (c.status == "200") {
			t.Errorf("%s: %d requests reached the host", c.name, reached)
		}
		client.Close()
	}
	// Half a body, and nothing more: 408, and the stream is reset behind it.
	client := h2client(t, g)
	id, _ := client.Open("POST", "/book", false)
	client.Data(id, false, []byte("half"))
	got, _, err := client.Collect(id)
	if a := got[id]; err != nil || a.Status != "408" {
		t.Errorf("half a body: %+v, %v", a, err)
	}
	// Trailers end a request, and go nowhere; those that are a head again do not.
	id, _ = client.Open("POST", "/book", false, "expect", "100-continue")
	client.Data(id, false, []byte("body"))
	client.Head(id, true, "x-trailer", "1")
	other, _ := client.Open("POST", "/book", false)
	client.Head(other, true, ":path", "/look")
	got, _, err = client.Collect(id, other)
	if a := got[id]; err != nil || a.Status != "200" || a.Body != "POST /book body" || a.Heads != 1 {
		t.Errorf("trailers: %+v, %v", a, err)
	}
	if a := got[other]; a.Reset == nil {
		t.Errorf("trailers with a path: %+v", a)
	}
}

// Any sequence of frames: each stream has at most one answer, no request is at hosts more
// often than the rules allow, none whose last byte has not come, and in the end nothing is
// left open.
func TestFrameSequences(t *testing.T) {
	host := h2host(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 1000}}, nil, echo)
	g := launch(t, overH2(t, "http2", host.Addr()), func(o *Options) { o.SendWithin = 200 * time.Millisecond })
	rapid.Check(t, func(rt *rapid.T) { frameSequence(rt, g, host) })
	until(t, "all that was open has ended", func() bool {
		conns, streams := g.servers[g.model.Listeners[0]].two.Counts()
		return conns == 0 && streams == 0 && g.exchange.Open() == 0 && g.budgets.bodies.Used() == 0
	})
}

// FuzzFrameSequences lets the fuzzer look for the sequences that break TestFrameSequences'
// promises.
func FuzzFrameSequences(f *testing.F) {
	host := h2host(f, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 1000}}, nil, echo)
	g := launch(f, overH2(f, "http2", host.Addr()), func(o *Options) { o.SendWithin = 200 * time.Millisecond })
	f.Fuzz(rapid.MakeFuzz(func(rt *rapid.T) { frameSequence(rt, g, host) }))
}

var sequences int

func frameSequence(rt *rapid.T, g *running, host *fake.H2Host) {
	sequences++
	c, err := fake.DialH2(g.Addr("clients").String(), patience, http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(rapid.SampledFrom([]int{0, 5, 65535, 1 << 20}).Draw(rt, "window"))})
	if err != nil {
		rt.Fatal(err)
	}
	defer c.Close()
	heads := map[uint32]int{}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for {
			f, err := c.Read()
			if err != nil {
				return
			}
			if h, ok := f.(*http2.MetaHeadersFrame); ok && h.PseudoValue("status") != "100" {
				heads[h.StreamID]++
			}
		}
	}()
	whole := map[string]bool{}
	names := map[uint32]string{}
	next := uint32(1)
	for i := range rapid.IntRange(1, 40).Draw(rt, "frames") {
		id := uint32(rapid.IntRange(0, int(next)+2).Draw(rt, "id"))
		end := rapid.Bool().Draw(rt, "end")
		switch rapid.IntRange(0, 9).Draw(rt, "frame") {
		case 0, 1, 2, 3:
			name := fmt.Sprintf("s%d-%d", sequences, i)
			path := rapid.SampledFrom([]string{"/book", "/look", "/no", "/ready"}).Draw(rt, "path")
			c.Head(next, end, ":method", "POST", ":scheme", "http", ":authority", "a", ":path", path, "x-correlation-id", name)
			names[next] = name
			whole[name] = whole[name] || end
			next += 2
		case 4:
			c.Data(id, end, make([]byte, rapid.IntRange(0, 3000).Draw(rt, "bytes")))
			whole[names[id]] = whole[names[id]] || end
		case 5:
			c.Write(func(f *http2.Framer) error { return f.WriteRSTStream(max(id, 1), http2.ErrCodeCancel) })
		case 6:
			c.Write(func(f *http2.Framer) error {
				return f.WriteWindowUpdate(id, uint32(1+rapid.IntRange(0, 1<<20).Draw(rt, "credit")))
			})
		case 7:
			c.Write(func(f *http2.Framer) error {
				return f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(rapid.IntRange(0, 1<<20).Draw(rt, "window"))})
			})
		case 8:
			c.Head(id|1, true, "x-trailer", "1")
			whole[names[id|1]] = true
		case 9:
			c.Write(func(f *http2.Framer) error {
				return f.WriteRawFrame(http2.FrameType(rapid.IntRange(0, 12).Draw(rt, "type")), http2.Flags(rapid.IntRange(0, 255).Draw(rt, "flags")), id, make([]byte, rapid.IntRange(0, 20).Draw(rt, "length")))
			})
			for _, n := range names { // it may have ended any of them
				whole[n] = true
			}
		}
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	<-read
	for id, n := range heads {
		if n > 1 {
			rt.Fatalf("stream %d had %d answers", id, n)
		}
	}
	for id, name := range names {
		if s := host.Seen(name); s.Whole > 1 || s.Whole > 0 && !whole[name] {
			rt.Fatalf("stream %d came to hosts %d times; its last byte had come: %v", id, s.Whole, whole[name])
		}
	}
}

// With TLS, clients choose between both protocols on one port, and certificates are read
// again with the configuration.
func TestTLSChoosesTheProtocol(t *testing.T) {
	host := h2host(t, nil, nil, echo)
	cert, key := fake.Certificate(t.TempDir(), "first.test")
	m := overH2(t, "http2", host.Addr())
	m.Listeners[0].Protocol, m.Listeners[0].Certificate, m.Listeners[0].Key = config.HTTP1, cert, key
	g := launch(t, m, func(o *Options) { o.Linger = func() {} })
	for _, proto := range []string{"h2", "http/1.1"} {
		resp, name, err := fake.OverTLS(g.Addr("clients").String(), proto, "/look")
		if err != nil || resp.StatusCode != 200 || name != "first.test" || (resp.ProtoMajor == 2) != (proto == "h2") {
			t.Errorf("%s: %v, %+v, certificate of %s", proto, err, resp, name)
		}
	}
	fake.CertificateAt(cert, key, "second.test")
	again := *m
	if err := g.Reload(&again); err != nil {
		t.Fatal(err)
	}
	if _, name, err := fake.OverTLS(g.Addr("clients").String(), "h2", "/look"); err != nil || name != "second.test" {
		t.Errorf("after a reload: certificate of %s, %v", name, err)
	}
	g.stop()
	if err := await(t, g.end, "the end"); err != nil {
		t.Error(err)
	}
}
