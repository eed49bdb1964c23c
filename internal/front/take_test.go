package front

import (
	"net/http"
	"testing"
	"time"

	"frostshift/internal/config"
)

// The time that a request has waited for its connection's turn is not passed on as time that its client has left.
func TestWaitForATurnIsTakenOffTheTimeLeft(t *testing.T) {
	for _, c := range []struct {
		left   string
		waited time.Duration
		want   time.Duration
	}{{"900m", 200 * time.Millisecond, 700 * time.Millisecond}, {"100m", time.Second, 0}, {"", 500 * time.Millisecond, 1500 * time.Millisecond}} {
		h := &Head{Header: http.Header{}, Waited: c.waited}
		if c.left != "" {
			h.Header.Set("X-Time-Left", c.left)
		}
		q := &admissionRequest{head: h, class: &config.Class{}}
		q.class.Deadline = 2 * time.Second
		if err := q.readTime(); err != nil || q.left != c.want {
			t.Errorf("%q behind %v: %v left, %v", c.left, c.waited, q.left, err)
		}
	}
}
