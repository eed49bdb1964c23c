package body

import (
	"testing"
	"time"
)

// sender plays a client that writes a body, the systems that hold what is not read, and a gateway that reads.
type sender struct {
	length, written, read int64
	window, kept          int64 // what the receiving and the sending side hold at most
	wrote                 time.Time
}

// unread is what has come and not been read: the rest stays with the sending side.
func (s *sender) unread() int64 { return min(s.written-s.read, s.window) }

// write writes as much as the systems take, up to n bytes.
func (s *sender) write(now time.Time, n int64) {
	before := s.written
	s.written = min(s.written+n, s.length, s.read+s.window+s.kept)
	if s.written == s.length && before < s.length {
		s.wrote = now
	}
}

// Whatever is written and read when, a client is never held to owe a part of its body later than when it has written
// the last of it, and up to shortly before that where nothing keeps the body back.
func TestOwedIsNoLaterThanTheLastByte(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, c := range []struct {
		name         string
		length, rate int64 // bytes, a step
		reads        func(at int) int64
		window, kept int64
		told         bool
		within       time.Duration // of the last byte; 0: it need not be near
	}{
		{"all at once, read slowly", 600_000, 600_000, func(int) int64 { return 4_000 }, 64 << 10, 1 << 20, true, 0},
		{"all at once, never read", 600_000, 600_000, func(int) int64 { return 0 }, 64 << 10, 1 << 20, true, 0},
		{"all at once, untold", 600_000, 600_000, func(int) int64 { return 4_000 }, 64 << 10, 1 << 20, false, 0},
		{"slowly, read at once", 600_000, 3_200, func(int) int64 { return 1 << 20 }, 64 << 10, 1 << 20, true, 2 * step},
		{"slowly, untold, read at once", 600_000, 3_200, func(int) int64 { return 1 << 20 }, 64 << 10, 1 << 20, false, 2 * step},
		{"slowly, with rests of the host", 600_000, 3_200, func(at int) int64 { return int64(at / 10 % 2 << 20) }, 64 << 10, 1 << 20, true, 12 * step},
		{"long, read as it comes", 32 << 20, 1 << 20, func(int) int64 { return 1 << 20 }, 1 << 20, 2 << 20, true, 5 * step},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1, 0)
			s := &sender{length: c.length, window: c.window, kept: c.kept}
			told := int64(-1)
			if c.told {
				told = c.length
			}
			o := NewOwed(start, told)
			for at := 0; s.read < s.length && at < 2000; at++ {
				now := start.Add(time.Duration(at) * step)
				s.write(now, c.rate)
				before := s.unread()
				s.read += min(before, c.reads(at))
				o.Look(Look{At: now, Came: s.read, Unread: s.unread(), Waiting: c.reads(at) > before})
				if !s.wrote.IsZero() && o.At().After(s.wrote) {
					t.Fatalf("%v behind the start the client is held to owe a part up to %v, and wrote the last %v behind it",
						now.Sub(start), o.At().Sub(start), s.wrote.Sub(start))
				}
			}
			if early := s.wrote.Sub(o.At()); c.within > 0 && early > c.within {
				t.Errorf("it is held to have written all %v early", early)
			}
		})
	}
}

// A client whose system holds its last bytes behind a window that is closed, with little unread, is not held to owe a part
// for as long as that lasts, nor as the window opens again for a moment.
func TestClosedWindowWithLittleUnreadOwesNothing(t *testing.T) {
	start := time.Unix(1, 0)
	for _, length := range []int64{600_000, -1} {
		o := NewOwed(start, length)
		look := Look{Came: 64 << 10, Unread: 20 << 10}
		for at := range 100 {
			look.At = start.Add(time.Duration(at+1) * 50 * time.Millisecond)
			if at == 40 { // a probe
				look.Unread += 100 << 10
			}
			o.Look(look)
		}
		if late := o.At().Sub(start); late > 50*time.Millisecond {
			t.Errorf("of %d bytes a part is held to be owed %v behind the last byte", length, late)
		}
	}
}
