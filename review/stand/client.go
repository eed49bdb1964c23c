//go:build review

package stand

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// NewID is a new id.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Call is a request of a client and what came of it.
type Call struct {
	Class, ID, Key string
	Keyed, Safe    bool
	Left           time.Duration
	Patience       time.Duration // until the client gives the try up; 0: its time and a second more
	Sent, Ended    time.Time     // of the last try
	Status         int
	Body           string
	Err            error
}

// text is the call as it goes out.
func (c *Call) text() string {
	if c.Safe {
		return fmt.Sprintf("GET /%s?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %dm\r\n\r\n",
			c.Class, c.ID, c.Class, c.Left.Milliseconds())
	}
	key := ""
	if c.Key != "" {
		key = "Idempotency-Key: " + c.Key + "\r\n"
	}
	return fmt.Sprintf("POST /%s?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		c.Class, c.ID, c.Class, c.Left.Milliseconds(), key, len(c.ID), c.ID)
}

// Client is a client's kept connection to a gateway.
type Client struct {
	Addr string
	rec  *Record
	conn net.Conn
	in   *bufio.Reader
}

// NewClient is a client that has no connection yet.
func NewClient(rec *Record, addr string) *Client { return &Client{Addr: addr, rec: rec} }

// Close closes its connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Fresh closes the connection if the gateway has ended it, as a client sees before it uses it again.
func (c *Client) Fresh() {
	if c.conn == nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.Close()
	}
}

// Do sends a call and waits for its answer.
func (c *Client) Do(call *Call) {
	c.rec.Add("sent: %s id %s key %q", call.Class, call.ID, call.Key)
	call.Sent, call.Status, call.Body = time.Now(), 0, ""
	call.Err = c.do(call)
	call.Ended = time.Now()
	if call.Err != nil {
		c.Close()
	}
	c.rec.Add("answered: %s id %s: %d %.60q %v", call.Class, call.ID, call.Status, call.Body, call.Err)
}

func (c *Client) do(call *Call) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	patience := call.Patience
	if patience == 0 {
		patience = call.Left + time.Second
	}
	c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c.conn, call.text()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return err
	}
	call.Status, call.Body = resp.StatusCode, string(body)
	if resp.Close {
		c.Close()
	}
	return nil
}
