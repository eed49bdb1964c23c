package h2

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A stream is forgotten while a write is under way: a writer that is only late costs nobody else the
// connection, one that its peer holds up does.
func TestForgetWaitsForALateWriter(t *testing.T) {
	for held, closes := range map[time.Duration]bool{0: false, 3 * flushWait: false, (flushTurns - 1) * flushWait: false, time.Hour: true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			l := New(near, Config{Client: true})
			s := l.Open(1, nil)
			s.turn = 1 // the writer has had a part of it
			over := make(chan struct{})
			l.pen <- struct{}{}
			go func() {
				select {
				case <-time.After(held):
				case <-over:
				}
				<-l.pen
			}()
			synctest.Wait()
			began := time.Now()
			l.Forget(s)
			if took := time.Since(began); l.closed != closes || took > flushTurns*flushWait {
				t.Errorf("a write of %v: closed %t after %v, want %t within %v", held, l.closed, took, closes, flushTurns*flushWait)
			}
			close(over)
			synctest.Wait()
		})
	}
}
