package h2

import (
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"
	"pgregory.net/rapid"
)

func fieldsOf(pairs ...string) (out []hpack.HeaderField) {
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	return out
}

func TestRequestFields(t *testing.T) {
	r, err := ReadRequest(fieldsOf(":method", "GET", ":scheme", "https", ":path", "/a?b", "host", "x.test", "cookie", "a=1", "cookie", "b=2", "x-a", "1", "x-a", "2", "content-length", "7"))
	if err != nil || r.Authority != "x.test" || r.Header.Get("Cookie") != "a=1; b=2" || len(r.Header["X-A"]) != 2 || r.Length != 7 || r.Header.Get("Content-Length") != "" {
		t.Errorf("%+v, %v", r, err)
	}
}

// What goes out as fields comes back as the same headers, less what can't stand there; and
// nothing that goes out could end a field early or stand for another.
func TestFieldsThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"X-A", "Accept", "Connection", "Transfer-Encoding", "Te", "Host", "Content-Length", "Keep-Alive", "X B", "X:C", "X\r\nD"})
		value := rapid.StringMatching("[ -~\r\n\x00]{0,12}")
		in := http.Header{}
		for range rapid.IntRange(0, 6).Draw(t, "n") {
			n := name.Draw(t, "name")
			in[n] = append(in[n], value.Draw(t, "value"))
		}
		fields := append(fieldsOf(":status", "200"), AppendFields(nil, in)...)
		status, out, length, err := ReadResponse(fields)
		if err != nil || status != 200 || length != -1 {
			t.Fatalf("%v: %d, %d, %v", fields, status, length, err)
		}
		for n, values := range out {
			for _, v := range values {
				found := false
				for _, w := range in[n] {
					found = found || w == v
				}
				if !found || n != "X-A" && n != "Accept" {
					t.Fatalf("%q: %q came out of %v", n, v, in)
				}
			}
		}
	})
}

func TestBucket(t *testing.T) {
	b := Bucket{Rate: 10, Burst: 5}
	now := time.Unix(1000, 0)
	take := func(n int) (got int) {
		for range n {
			if b.Take(now) {
				got++
			}
		}
		return got
	}
	if got := take(20); got != 5 {
		t.Errorf("%d at once, want 5", got)
	}
	now = now.Add(250 * time.Millisecond)
	if got := take(20); got != 2 {
		t.Errorf("%d after a quarter of a second, want 2", got)
	}
	now = now.Add(-time.Hour)
	if got := take(20); got != 0 {
		t.Errorf("%d after a step back", got)
	}
	now = now.Add(100 * time.Hour)
	if got := take(20); got != 5 {
		t.Errorf("%d after a long time, want 5", got)
	}
}
