package front

import (
	"testing"
	"time"
)

// An answer that comes when its request's time is over, or nearly so, still has time to go out.
func TestLastAnswersGoOut(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ left, want time.Duration }{{time.Second, time.Second}, {time.Millisecond, lastSend}, {-time.Second, lastSend}} {
		if by := SendBy(now.Add(c.left), now); by != now.Add(c.want) {
			t.Errorf("with %v left it may take %v, want %v", c.left, by.Sub(now), c.want)
		}
	}
}
