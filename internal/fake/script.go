package fake

import (
	"fmt"
	"io"
	"time"
)

// Act is what a host does with a request.
type Act struct {
	After  time.Duration   // it works so long first
	Until  <-chan struct{} // and then until this is closed
	Answer string          // raw bytes
	Bytes  int             // with Half or Broken: so many of them
	End    End
}

// End is how an act ends.
type End uint8

// Ends of an act.
const (
	Keep   End = iota // the connection stays open for the next request
	Close             // it is closed
	Broken            // reset after Bytes of the answer
	Half              // Bytes of the answer, then silence until the other side closes
)

// Script says what a host does with each request.
type Script func(*Request) Act

// Scripted starts a host that follows a script.
func Scripted(s Script) (*Host, error) {
	return NewHost(func(r *Request) bool { return play(r, s(r)) })
}

func play(r *Request, a Act) bool {
	if a.After > 0 {
		select {
		case <-time.After(a.After):
		case <-r.Ended:
			return false
		}
	}
	if a.Until != nil {
		select {
		case <-a.Until:
		case <-r.Ended:
			return false
		}
	}
	text := a.Answer
	if a.End == Broken || a.End == Half {
		text = text[:min(a.Bytes, len(text))]
	}
	if text != "" {
		if _, err := io.WriteString(r.Conn, text); err != nil {
			return false
		}
	}
	switch a.End {
	case Keep:
		return true
	case Broken:
		Reset(r.Conn)
	case Half:
		r.Conn.Read(make([]byte, 1)) // until the other side closes, or the host ends
	}
	return false
}

// Answer is a whole answer as it goes over the wire.
func Answer(status int, body string, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n" + body
}

// Serve answers 200 with the body.
func Serve(body string) Act { return Act{Answer: Answer(200, body)} }

// Error answers 500: the request may have run.
func Error() Act { return Act{Answer: Answer(500, "")} }

// Turned answers as a host that is full or drains: the request has not run.
func Turned() Act { return Act{Answer: Answer(503, "", "X-Unprocessed: 1")} }

// Silent takes the request and answers nothing.
func Silent() Act { return Act{End: Half} }

// Break resets the connection once the request has come.
func Break() Act { return Act{End: Broken} }

// Always plays one act for every request.
func Always(a Act) Script { return func(*Request) Act { return a } }
