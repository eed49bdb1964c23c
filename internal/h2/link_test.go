package h2

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
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

// Whether a stream may go out is asked immediately before its first byte: one that waited for the writer's
// turn meanwhile, and may not any more, is not seen by the peer, and the next one is.
func TestFirstByteIsAskedForInTheWritersTurn(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	l := New(near, Config{Client: true})
	go l.write()
	may := true
	barred := make(chan struct{})
	l.pen <- struct{}{} // a write is under way
	left, stays := l.Open(1, nil), l.Open(3, nil)
	fields := []hpack.HeaderField{{Name: ":path", Value: "/"}}
	l.Send(left, &Out{Fields: fields, MaySend: func() bool { return may }, Barred: func() { close(barred) }})
	l.Send(stays, &Out{Fields: fields, MaySend: func() bool { return true }, Barred: func() { t.Error("barred though it may go out") }})
	may = false
	<-l.pen
	far.SetReadDeadline(time.Now().Add(10 * time.Second))
	f, err := http2.NewFramer(far, far).ReadFrame()
	if err != nil || f.Header().StreamID != stays.ID {
		t.Fatalf("the first frame is %v, %v", f, err)
	}
	<-barred
	if l.Stream(left.ID) != nil || left.Begun() || left.Whole() || !stays.Begun() {
		t.Error("the stream that may not go out is not forgotten, or the other is")
	}
	l.Close()
	<-l.Ended()
}
