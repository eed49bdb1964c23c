package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client is a client with one connection, on which it can do what others would not.
type Client struct {
	net.Conn
	// Closing says that the last answer ends the connection.
	Closing bool
	// Method is that of the request whose answer is read next; "": GET.
	Method string
	in     *bufio.Reader
}

// Dial connects a client. All it does ends within the time.
func Dial(addr string, within time.Duration) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(within))
	return Over(c), nil
}

// Over is a client on a connection that is there.
func Over(c net.Conn) *Client { return &Client{Conn: c, in: bufio.NewReader(c)} }

// Send writes a request; each header is a whole line.
func (c *Client) Send(method, target, body string, headers ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.svc\r\n", method, target)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err
}

// Receive reads one whole answer.
func (c *Client) Receive() (status int, body string, header http.Header, err error) {
	r, err := http.ReadResponse(c.in, &http.Request{Method: c.Method})
	if err != nil {
		return 0, "", nil, err
	}
	if r.ContentLength >= 0 {
		r.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	c.Closing = r.Close
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), r.Header, err
}

// Ask sends a request and reads its answer.
func (c *Client) Ask(method, target, body string, headers ...string) (status int, answer string, header http.Header, err error) {
	if err := c.Send(method, target, body, headers...); err != nil {
		return 0, "", nil, err
	}
	return c.Receive()
}
