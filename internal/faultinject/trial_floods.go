package faultinject

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// floodBatch is how many bytes of requests a flooding client writes at once at least.
	floodBatch = 16 << 10
	// floodBuffer is how many bytes a flooding client's system takes from it ahead: filling larger ones would keep quiet
	// clients from the processor.
	floodBuffer = 64 << 10
)

// floods are the requests that flooding clients send, by the name of the flood. A client's kind is "flood-" and the
// name, or "unread-" and the name where it reads no answer.
var floods = map[string]func(*client) string{
	"ready":     fixedRequest("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"),
	"readyhead": fixedRequest("HEAD /ready HTTP/1.1\r\nHost: a\r\n\r\n"),
	"readypost": fixedRequest("POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"),
	"options":   fixedRequest("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"),
	"over":      func(c *client) string { return c.flooded(&call{class: safeClass}) },
	"brief":     func(c *client) string { return c.flooded(&call{class: keyedClass, left: time.Millisecond}) },
	"instant": func(c *client) string {
		return strings.Replace(c.flooded(&call{class: safeClass, left: time.Millisecond}), "X-Time-Left: 1m", "X-Time-Left: 1u", 1)
	},
	"sound": func(c *client) string { return c.flooded(&call{class: safeClass, left: 900 * time.Millisecond}) },
	"names": (*client).namedRequest,
	"unsound": func(c *client) string {
		c.n++
		return fmt.Sprintf("GET /x%d HTTP/1.1\r\nHost: a\r\nX-Service-Class: x%d\r\nX-Correlation-Id: %s-%d\r\n\r\n", c.n, c.n, c.name, c.n)
	},
	"emptylines": fixedRequest("\r\n"),
	"bytechunks": func(c *client) string {
		return c.flooded(&call{class: safeClass, left: 900 * time.Millisecond, plan: "long=200000&form=bytes"})
	},
	"longanswers": func(c *client) string {
		return c.flooded(&call{class: safeClass, left: 900 * time.Millisecond, plan: "long=67108864&form=fast"})
	},
}

func init() {
	for name, request := range floods {
		kinds["flood-"+name] = func(c *client) { c.flood(request, true) }
		kinds["unread-"+name] = func(c *client) { c.flood(request, false) }
	}
	kinds["everyclass"] = everyClass
	kinds["figures"] = figures
}

func fixedRequest(text string) func(*client) string {
	return func(*client) string { return text }
}

// flooded is a request whose answer nobody judges.
func (c *client) flooded(q *call) string { return c.head(c.newID(), q) }

// namedRequest is a request with an account, field names, a query and a key that no other has.
func (c *client) namedRequest() string {
	id := c.newID()
	return c.head(id, &call{class: keyedClass, target: fmt.Sprintf("/%s?object=%s", keyedClass, id), left: 900 * time.Millisecond,
		fields: fmt.Sprintf("X-Account: %s\r\nX-Name-%s: %s\r\nCookie: %s\r\n", id, id, id, id)})
}

// flood sends requests at full speed on one connection after another.
func (c *client) flood(request func(*client) string, reads bool) {
	var text strings.Builder
	for c.sleep(0) {
		l := c.dial()
		if l == nil {
			return
		}
		l.Conn.(*net.TCPConn).SetWriteBuffer(floodBuffer)
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			if reads {
				c.countAnswers(l)
				l.Close()
			}
		}()
		for err := error(nil); err == nil && c.sleep(0); {
			text.Reset()
			for text.Len() < floodBatch {
				text.WriteString(request(c))
			}
			l.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(l, text.String())
		}
		l.Close()
		<-gone
	}
}

// countAnswers reads answers to the connection's end.
func (c *client) countAnswers(l *link) {
	part := make([]byte, 64<<10)
	for {
		n, err := l.Read(part)
		c.pipelined.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// figures asks for the operators' figures without a pause, on a connection for each call.
func figures(c *client) {
	for c.sleep(0) {
		for _, desk := range c.trial.desks() {
			nc, err := net.DialTimeout("tcp", desk, time.Second)
			if err != nil {
				continue
			}
			nc.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(nc, "GET /stats HTTP/1.1\r\nHost: a\r\n\r\n")
			n, _ := io.Copy(io.Discard, nc)
			c.pipelined.Add(n)
			nc.Close()
		}
	}
}

const (
	briefestQuiet = 300 * time.Millisecond
	longestQuiet  = 1200 * time.Millisecond
	quietRest     = 100 * time.Millisecond
)

// everyClass asks quietly with every class and with different deadlines; every other client on a new connection for each request.
func everyClass(c *client) {
	ends := c.r.IntN(2) == 0
	c.each(func() *call {
		q := &call{class: []string{safeClass, keyedClass, unsafeClass}[c.r.IntN(3)], quiet: true, ends: ends,
			left: briefestQuiet + time.Duration(c.r.Int64N(int64(longestQuiet-briefestQuiet)))}
		if q.class != safeClass {
			q.body = c.bodyOf(1 + c.r.IntN(2<<10))
		}
		return q
	}, func() time.Duration { return quietRest })
}
