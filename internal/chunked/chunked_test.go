package chunked

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// wire is a connection on which parts come one at a time; behind the last of them a read would wait.
type wire struct {
	counter *Counter
	parts   [][]byte
	waited  bool
}

func (w *wire) Read(p []byte) (int, error) {
	if len(w.parts) == 0 {
		w.waited = true
		return 0, io.ErrNoProgress
	}
	n := copy(p, w.parts[0])
	w.counter.Came(p[:n])
	if w.parts[0] = w.parts[0][n:]; len(w.parts[0]) == 0 {
		w.parts = w.parts[1:]
	}
	return n, nil
}

// Whatever has come of a chunked body is read before anything is waited for, wherever that is cut.
func TestNothingThatHasComeIsHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text, content bytes.Buffer
		for range rapid.IntRange(1, 5).Draw(t, "chunks") {
			part := strings.Repeat("z", rapid.IntRange(1, 9000).Draw(t, "size"))
			fmt.Fprintf(&text, "%x%s\r\n%s\r\n", len(part), rapid.SampledFrom([]string{"", ";a=b"}).Draw(t, "extension"), part)
			content.WriteString(part)
		}
		text.WriteString("0\r\n\r\n")
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		came := text.Bytes()[:cut]
		c := &Counter{}
		w := &wire{counter: c}
		for rest := came; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			w.parts = append(w.parts, bytes.Clone(rest[:n]))
			rest = rest[n:]
		}
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), w)), nil)
		if err != nil {
			t.Fatal(err)
		}
		r := NewReader(resp.Body, c)
		got := 0
		buffer := make([]byte, rapid.IntRange(1, 20000).Draw(t, "buffer"))
		for {
			n, err := r.Read(buffer)
			if got += n; err != nil {
				break
			}
			if w.waited {
				t.Fatalf("behind %d bytes a read that gave %d has waited", got, n)
			}
		}
		if want := int(c.content.Load()); got != want {
			t.Fatalf("%d of %d bytes that had come were read", got, want)
		}
		if cut == text.Len() && got != content.Len() {
			t.Fatalf("%d of %d bytes were read", got, content.Len())
		}
	})
}
