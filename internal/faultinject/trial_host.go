package faultinject

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"frostshift/internal/socket"
)

// planField is the field by which a client says what the host is to do with its request, as a query:
//
//	after=500        milliseconds until the answer
//	read=80000       bytes of the body that are read a second
//	stops=4096       bytes of the body behind which nothing more is read
//	silent=1         no answer
//	long=8388608     bytes of the answer
//	write=60000      bytes of it that are written a second
//	pause=700        milliseconds that a slow host rests within the size of the second chunk
//	form=chunked     how it is framed: length, chunked (in pieces that split the framing), bytes (chunks of one byte), fast (equal
//	                 bytes in writes of 16 KB) or close
//	fields=3000      short fields in the answer's head
const planField = "X-Plan"

// hostBuffer is how much of a request a host's system takes in that the host does not read.
const hostBuffer = 16 << 10

// trialHost is a host that does what requests say, and notes what it gets.
type trialHost struct {
	ln     net.Listener
	record *record
	wg     sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newTrialHost(r *record) (*trialHost, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, hostBuffer)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &trialHost{ln: ln, record: r, conns: map[net.Conn]struct{}{}}
	h.wg.Go(h.accept)
	return h, nil
}

func (h *trialHost) addr() string { return h.ln.Addr().String() }

func (h *trialHost) accept() {
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.closed {
			h.mu.Unlock()
			c.Close()
			return
		}
		h.conns[c] = struct{}{}
		h.mu.Unlock()
		h.wg.Go(func() {
			defer func() {
				c.Close()
				h.mu.Lock()
				delete(h.conns, c)
				h.mu.Unlock()
			}()
			in := bufio.NewReaderSize(c, 4<<10)
			for h.serve(c, in) {
			}
		})
	}
}

func (h *trialHost) close() {
	h.ln.Close()
	h.mu.Lock()
	h.closed = true
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

// serve takes one request and says whether the connection stays.
func (h *trialHost) serve(c net.Conn, in *bufio.Reader) bool {
	if _, err := in.Peek(1); err != nil {
		return false
	}
	begun := time.Now()
	q, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	a := arrival{host: h.addr(), begun: begun, form: form{method: q.Method, target: q.RequestURI,
		id: strings.Join(q.Header.Values("X-Correlation-Id"), "|"), key: strings.Join(q.Header.Values("Idempotency-Key"), "|")}}
	h.record.begins(a.id)
	plan, err := url.ParseQuery(q.Header.Get(planField))
	if err != nil {
		return false
	}
	if plan.Has("paced") {
		return h.servePaced(c, in, a, q, plan)
	}
	body, ok := readPlanned(q.Body, plan)
	if !ok {
		awaitEnd(c)
		return false
	}
	a.body, a.ran = sumOf(body), time.Now()
	h.record.arrives(a)
	if plan.Get("silent") != "" {
		in.Peek(1)
		return false
	}
	time.Sleep(time.Duration(number(plan, "after")) * time.Millisecond)
	return answerPlanned(c, a.id, plan)
}

// awaitEnd waits until the other side has ended a connection that nobody reads.
func awaitEnd(c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	for over := err != nil; !over; time.Sleep(20 * time.Millisecond) {
		if err := raw.Control(func(fd uintptr) {
			events, err := socket.Poll(fd, unix.POLLRDHUP)
			over = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}); err != nil {
			return
		}
	}
}

func number(plan url.Values, name string) int {
	n, _ := strconv.Atoi(plan.Get(name))
	return n
}

// readPlanned reads a body at the planned speed; false: not to its end.
func readPlanned(body io.Reader, plan url.Values) ([]byte, bool) {
	if plan.Has("stops") {
		io.CopyN(io.Discard, body, int64(number(plan, "stops")))
		return nil, false
	}
	rate := number(plan, "read")
	if rate == 0 {
		text, err := io.ReadAll(body)
		return text, err == nil
	}
	var text []byte
	part := make([]byte, max(rate/20, 1))
	for {
		n, err := body.Read(part)
		text = append(text, part[:n]...)
		if err != nil {
			return text, err == io.EOF
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
	}
}

// longByte is the byte of long answers at a place.
func longByte(at int64) byte { return 'a' + byte((at^at>>9^at>>17)%23) }

// longText are so many bytes of a long answer from a place on.
func longText(at int64, n int) []byte {
	text := make([]byte, n)
	for i := range text {
		text[i] = longByte(at + int64(i))
	}
	return text
}

// isLong says whether bytes are those of a long answer from a place on.
func isLong(at int64, text []byte) bool {
	for i, b := range text {
		if b != longByte(at+int64(i)) {
			return false
		}
	}
	return true
}

// answerPlanned answers as planned and says whether the connection stays.
func answerPlanned(c net.Conn, id string, plan url.Values) bool {
	size := number(plan, "long")
	fields := strings.Repeat("abc:\r\n", number(plan, "fields"))
	if size == 0 {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(id), id)
		return err == nil
	}
	head := fmt.Sprintf("Content-Length: %d\r\n", size)
	switch plan.Get("form") {
	case "fast":
		return answerFast(c, fields, size)
	case "bytes":
		return answerInBytes(c, fields, size)
	case "chunked":
		head = "Transfer-Encoding: chunked\r\n"
	case "close":
		head = "Connection: close\r\n"
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+head+"\r\n"); err != nil {
		return false
	}
	rate := number(plan, "write")
	if rate == 0 {
		rate = 1 << 30
	}
	at := int64(0)
	for part := 0; size > 0; part++ {
		n := min(size, max(rate/10, 1), 64<<10)
		pause := 10 * time.Millisecond
		if part == 1 {
			pause = time.Duration(number(plan, "pause")) * time.Millisecond
		}
		if !writePart(c, longText(at, n), plan.Get("form") == "chunked", pause, rate < 1<<30) {
			return false
		}
		at += int64(n)
		if size -= n; rate < 1<<30 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if plan.Get("form") == "chunked" {
		io.WriteString(c, "0\r\n\r\n")
	}
	return plan.Get("form") != "close"
}

// fastPart is what a host writes at once that answers at full speed.
var fastPart = make([]byte, 16<<10)

// answerFast answers at full speed with bytes that cost the host nothing.
func answerFast(c net.Conn, fields string, size int) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", fields, size)
	for ; size > 0 && err == nil; size -= len(fastPart) {
		_, err = c.Write(fastPart[:min(size, len(fastPart))])
	}
	return err == nil
}

// answerInBytes answers at full speed in chunks of one byte.
func answerInBytes(c net.Conn, fields string, size int) bool {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	const part = 4 << 10
	for at := 0; at < size; at += part {
		var text []byte
		for _, b := range longText(int64(at), min(part, size-at)) {
			text = append(text, '1', '\r', '\n', b, '\r', '\n')
		}
		if _, err := c.Write(text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// writePart writes a part of a long answer. Slow hosts pause within the size of a chunk.
func writePart(c net.Conn, text []byte, chunked bool, pause time.Duration, slow bool) bool {
	if !chunked {
		_, err := c.Write(text)
		return err == nil
	}
	size := fmt.Sprintf("%x\r\n", len(text))
	if slow {
		if _, err := io.WriteString(c, size[:1]); err != nil {
			return false
		}
		time.Sleep(pause)
		size = size[1:]
	}
	_, err := c.Write(fmt.Appendf(nil, "%s%s\r\n", size, text))
	return err == nil
}
