package faultinject

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// oddRequest is a request in an unusual form. A host gets it as it was sent, or nobody does and the answer is 400.
type oddRequest struct {
	name string
	head string // %s stands for its id
	body string
	form form // the id is appended to the last of form.id where that has none
}

const oddSafe = "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Service-Class: lookup\r\n"

// oddRequests are all of them.
var oddRequests = []oddRequest{
	{"two ids", oddSafe + "X-Correlation-Id: %[1]s\r\nX-Correlation-Id: %[1]s-b\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s|%[1]s-b"}},
	{"an id in two cases", oddSafe + "x-correlation-id: %[1]s\r\nX-CORRELATION-ID: %[1]s-b\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s|%[1]s-b"}},
	{"a folded id", oddSafe + "X-Correlation-Id: %[1]s\r\n b\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s\r\n b"}},
	{"another folded field", oddSafe + "X-Correlation-Id: %[1]s\r\nX-Other: a\r\n b\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"an empty query", strings.Replace(oddSafe, "/lookup", "/lookup?", 1) + "X-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup?", id: "%[1]s"}},
	{"a query in a query", strings.Replace(oddSafe, "/lookup", "/lookup??a=%%20&&b", 1) + "X-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup??a=%%20&&b", id: "%[1]s"}},
	{"a fragment", strings.Replace(oddSafe, "/lookup", "/lookup#a", 1) + "X-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup#a", id: "%[1]s"}},
	{"an absolute form", strings.Replace(oddSafe, "/lookup", "http://a/lookup?", 1) + "X-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup?", id: "%[1]s"}},
	{"a chunked body of GET", oddSafe + "X-Correlation-Id: %[1]s\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n0\r\n\r\n", form{method: "GET", target: "/lookup", id: "%[1]s", body: sumOf([]byte("ab"))}},
	{"an empty chunked body of GET", oddSafe + "X-Correlation-Id: %[1]s\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"two classes", oddSafe + "X-Service-Class: book\r\nX-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"two times", oddSafe + "X-Time-Left: 1000m\r\nX-Time-Left: 1m\r\nX-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"an empty key of an unsafe request", "POST /book HTTP/1.1\r\nHost: a\r\nX-Service-Class: book\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key:\r\nContent-Length: 0\r\n\r\n", "", form{method: "POST", target: "/book", id: "%[1]s", unsafe: true}},
	{"a key of an unsafe request", "POST /book HTTP/1.1\r\nHost: a\r\nX-Service-Class: book\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", "", form{method: "POST", target: "/book", id: "%[1]s", key: "k", unsafe: true}},
	{"two keys", "POST /deliver HTTP/1.1\r\nHost: a\r\nX-Service-Class: deliver\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key: k\r\nIdempotency-Key: l\r\nContent-Length: 0\r\n\r\n", "", form{method: "POST", target: "/deliver", id: "%[1]s", key: "k|l", keyed: true}},
	{"a folded key", "POST /deliver HTTP/1.1\r\nHost: a\r\nX-Service-Class: deliver\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key: k\r\n\tl\r\nContent-Length: 0\r\n\r\n", "", form{method: "POST", target: "/deliver", id: "%[1]s", key: "k\r\n\tl", keyed: true}},
	{"a key in a trailer", "POST /deliver HTTP/1.1\r\nHost: a\r\nX-Service-Class: deliver\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\nTrailer: Idempotency-Key\r\n\r\n", "0\r\nIdempotency-Key: l\r\n\r\n", form{method: "POST", target: "/deliver", id: "%[1]s", key: "k", keyed: true}},
	{"an id that Connection names", oddSafe + "X-Correlation-Id: %[1]s\r\nConnection: X-Correlation-Id\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"a key that Connection names", "POST /deliver HTTP/1.1\r\nHost: a\r\nX-Service-Class: deliver\r\nX-Correlation-Id: %[1]s\r\nIdempotency-Key: k\r\nConnection: idempotency-key\r\nContent-Length: 0\r\n\r\n", "", form{method: "POST", target: "/deliver", id: "%[1]s", key: "k", keyed: true}},
	{"bytes of Latin-1 in an id", oddSafe + "X-Correlation-Id: %[1]s\xe4\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s\xe4"}},
	{"a tab within an id", oddSafe + "X-Correlation-Id: %[1]s\tb\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s\tb"}},
	{"bare line feeds", strings.ReplaceAll(oddSafe+"X-Correlation-Id: %[1]s\r\n\r\n", "\r\n", "\n"), "", form{method: "GET", target: "/lookup", id: "%[1]s"}},
	{"a carriage return within an id", oddSafe + "X-Correlation-Id: %[1]s\rb\r\n\r\n", "", form{method: "GET", target: "/lookup", id: "%[1]s\rb"}},
	{"a path with dots", strings.Replace(oddSafe, "/lookup", "/lookup/../lookup/./a//b", 1) + "X-Correlation-Id: %[1]s\r\n\r\n", "", form{method: "GET", target: "/lookup/../lookup/./a//b", id: "%[1]s"}},
	{"two lengths that agree", "POST /book HTTP/1.1\r\nHost: a\r\nX-Service-Class: book\r\nX-Correlation-Id: %[1]s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", "ab", form{method: "POST", target: "/book", id: "%[1]s", body: sumOf([]byte("ab")), unsafe: true}},
	{"a chunk with an extension", "POST /book HTTP/1.1\r\nHost: a\r\nX-Service-Class: book\r\nX-Correlation-Id: %[1]s\r\nTransfer-Encoding: chunked\r\n\r\n", "2;a=b\r\nab\r\n0\r\n\r\n", form{method: "POST", target: "/book", id: "%[1]s", body: sumOf([]byte("ab")), unsafe: true}},
}

// odd sends each of the unusual requests, on a connection each.
func odd(c *client) {
	for {
		for i := range oddRequests {
			if !c.sendOdd(&oddRequests[i]) || !c.sleep(10*time.Millisecond) {
				return
			}
		}
	}
}

// sendOdd sends one and judges the status of its answer; false: the trial is over.
func (c *client) sendOdd(o *oddRequest) bool {
	l := c.dial()
	if l == nil {
		return false
	}
	defer l.Close()
	id := c.newID()
	f := o.form
	if f.body == 0 {
		f.body = sumOf(nil)
	}
	f.id = fmt.Sprintf(f.id, id)
	f.target = strings.ReplaceAll(f.target, "%%", "%")
	c.record.send(f)
	begun := time.Now()
	l.SetDeadline(begun.Add(trialLongest + answerWithin))
	if _, err := l.Write([]byte(fmt.Sprintf(o.head, id) + o.body)); err != nil {
		return true
	}
	resp, err := http.ReadResponse(l.in, nil)
	if err != nil {
		c.unanswered(l, &call{plan: o.name}, f.id, true, begun, begun, err)
		return true
	}
	resp.Body.Close()
	seen := c.record.seen(f.id)
	switch {
	case resp.StatusCode == http.StatusOK && seen == 0:
		c.record.failOnce(o.name, "%s: served, and no host has got it as it was sent", o.name)
	case resp.StatusCode == http.StatusBadRequest && seen > 0:
		c.record.failOnce(o.name, "%s: answered with 400, and a host has got it", o.name)
	}
	c.record.count(false, fmt.Sprintf("odd %d", resp.StatusCode))
	return true
}
