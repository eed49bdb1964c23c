//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

func init() { cases["undelivered"] = undelivered }

const undeliveredConfig = `
name = "edge"
management = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "apps"
address = "%s"
protocol = "http2"

[[class]]
name = "booking"
effect = "unsafe"
aim = "500ms"
deadline = "2s"

[[pool]]
name = "bookings"
hosts = [%s]

[[route]]
name = "book"
prefix = "/book"
methods = ["POST"]
class = "booking"
pool = "bookings"
`

const (
	window    = 16 << 10 // what the client offers for each stream
	patience  = 1200 * time.Millisecond
	answerLen = 48 << 10
)

// undelivered: a client over HTTP/2 reads an answer slowly, resets the stream, and sends the booking once more with the same id.
func undelivered(r *run) error {
	ran := &runs{n: map[string]int{}}
	var hosts []string
	for range 2 {
		h, err := fake.Scripted(func(q *fake.Request) fake.Act {
			n := ran.add(q.ID)
			r.note("a host runs booking %s, for the %d. time", q.ID, n)
			return fake.Act{After: 50 * time.Millisecond, Answer: fake.Answer(200, strings.Repeat("b", answerLen))}
		})
		if err != nil {
			return err
		}
		defer h.Close()
		hosts = append(hosts, h.Addr())
	}
	management, front := port(), port()
	config, err := r.write("gw.toml", fmt.Sprintf(undeliveredConfig, management, front, quoted(hosts...)))
	if err != nil {
		return err
	}
	if _, err := r.start(config, management); err != nil {
		return err
	}
	client, err := fake.DialH2(front, 60*time.Second, http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
	if err != nil {
		return err
	}
	defer client.Close()
	for i := range bookings {
		id := fmt.Sprintf("booking-%d", i)
		if err := r.book(client, id); err != nil {
			return err
		}
		if n := ran.of(id); n > 1 {
			r.breaks("booking %s, which must never run twice, ran %d times", id, n)
		} else if n == 0 {
			return fmt.Errorf("booking %s never ran", id)
		}
	}
	return nil
}

// book asks for a booking. With trouble the client takes in a part of the answer and no more, resets the stream when
// its patience is over, and asks again with the same id.
func (r *run) book(client *fake.H2Client, id string) error {
	stream, err := r.ask(client, id)
	if err != nil {
		return err
	}
	if r.trouble {
		got, err := r.readPart(client, stream)
		if err != nil {
			return err
		}
		time.Sleep(patience)
		r.note("the client has %d of %d bytes of the answer to %s, and resets the stream", got, answerLen, id)
		if err := client.Write(func(f *http2.Framer) error { return f.WriteRSTStream(stream, http2.ErrCodeCancel) }); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		if stream, err = r.ask(client, id); err != nil {
			return err
		}
	}
	answers, _, err := client.Collect(stream)
	if err != nil {
		return err
	}
	a := answers[stream]
	r.note("the client has the answer %s to %s, %d bytes", a.Status, id, len(a.Body))
	return nil
}

func (r *run) ask(client *fake.H2Client, id string) (uint32, error) {
	stream, err := client.Open("POST", "/book/uplift", false, "x-correlation-id", id, "content-length", "4")
	if err != nil {
		return 0, err
	}
	r.note("the client asks for %s on stream %d", id, stream)
	return stream, client.Data(stream, true, []byte("bulk"))
}

// readPart reads as much of an answer as the window lets through.
func (r *run) readPart(client *fake.H2Client, stream uint32) (got int, err error) {
	for got < window {
		f, err := client.Read()
		if err != nil {
			return got, err
		}
		if d, ok := f.(*http2.DataFrame); ok && d.StreamID == stream {
			got += len(d.Data())
			n := uint32(d.Length) // the connection's window is given back, the stream's is not
			if err := client.Write(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, n) }); err != nil {
				return got, err
			}
		}
	}
	return got, nil
}
