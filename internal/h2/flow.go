package h2

import (
	"golang.org/x/net/http2"
)

// Settings takes in the peer's settings and acknowledges them.
func (l *Link) Settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	if f.NumSettings() > 100 {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	l.mu.Lock()
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			diff := int64(s.Val) - l.peerInitial
			l.peerInitial = int64(s.Val)
			for _, st := range l.streams {
				if st.sendWindow += diff; st.sendWindow > maxWindow {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
				l.ready.push(st)
			}
		case http2.SettingMaxConcurrentStreams:
			if l.cfg.Client {
				l.peerStreams = s.Val
			}
		case http2.SettingMaxFrameSize:
			l.peerFrame = min(int(s.Val), MaxFrame)
		case http2.SettingHeaderTableSize:
			l.control = append(l.control, func(*http2.Framer) error {
				l.encoder.SetMaxDynamicTableSize(min(s.Val, 4096))
				return nil
			})
		}
		return nil
	})
	l.wake.Signal()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	l.Control(func(f *http2.Framer) error { return f.WriteSettingsAck() })
	return nil
}

const (
	perUpdate  = 256      // bytes of bodies that a peer may give credit for with one update
	mostEarned = 64 << 20 // ... and up to so many, later
)

// Earned says whether a window update is one of those that a reader of what was sent needs.
func (l *Link) Earned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.earned < perUpdate {
		return false
	}
	l.earned -= perUpdate
	return true
}

// WindowUpdate takes in more room from the peer.
func (l *Link) WindowUpdate(f *http2.WindowUpdateFrame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.StreamID == 0 {
		if l.sendWindow += int64(f.Increment); l.sendWindow > maxWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		for _, s := range l.streams {
			if s.out != nil && s.sendWindow > 0 {
				l.ready.push(s)
			}
		}
	} else if s := l.streams[f.StreamID]; s != nil {
		if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindow {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
		l.ready.push(s)
	}
	l.wake.Signal()
	return nil
}

// Received counts bytes of a DATA frame, padding included, against the windows that the
// peer was given. s is nil for a stream that is no more.
func (l *Link) Received(s *Stream, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recvWindow -= int64(n); l.recvWindow < 0 {
		return http2.ConnectionError(http2.ErrCodeFlowControl)
	}
	if s != nil {
		if s.recvWindow -= int64(n); s.recvWindow < 0 {
			return http2.StreamError{StreamID: s.ID, Code: http2.ErrCodeFlowControl}
		}
	}
	return nil
}

// CreditStream gives room back on the stream alone, as its bytes are taken in by whoever they
// are for; that of the connection was given back as they came, so that a stream which nobody
// reads holds up no other.
func (l *Link) CreditStream(s *Stream, n int) {
	l.mu.Lock()
	var stream int64
	if !s.forgotten {
		if s.consumed += int64(n); s.consumed >= s.window/2 {
			stream, s.consumed = s.consumed, 0
			s.recvWindow += stream
		}
	}
	l.mu.Unlock()
	if stream > 0 {
		id := s.ID
		l.Control(func(f *http2.Framer) error { return f.WriteWindowUpdate(id, uint32(stream)) })
	}
}

// Widen offers the peer a larger window for a stream.
func (l *Link) Widen(s *Stream, more int64) {
	l.mu.Lock()
	gone := s.forgotten
	if !gone {
		s.window += more
		s.recvWindow += more
	}
	l.mu.Unlock()
	if id := s.ID; !gone {
		l.Control(func(f *http2.Framer) error { return f.WriteWindowUpdate(id, uint32(more)) })
	}
}

// Credit gives the peer back room that was taken by bytes of a DATA frame: on the whole
// connection, and on the stream unless it is nil. Small amounts are gathered.
func (l *Link) Credit(s *Stream, n int) {
	if n <= 0 {
		return
	}
	l.mu.Lock()
	var conn, stream int64
	if l.consumed += int64(n); l.consumed >= int64(l.cfg.ConnWindow)/2 || l.recvWindow < int64(l.cfg.ConnWindow)/4 {
		conn, l.consumed = l.consumed, 0
		l.recvWindow += conn
	}
	if s != nil && !s.forgotten {
		if s.consumed += int64(n); s.consumed >= s.window/2 {
			stream, s.consumed = s.consumed, 0
			s.recvWindow += stream
		}
	}
	l.mu.Unlock()
	if conn > 0 {
		l.Control(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, uint32(conn)) })
	}
	if stream > 0 {
		id := s.ID
		l.Control(func(f *http2.Framer) error { return f.WriteWindowUpdate(id, uint32(stream)) })
	}
}
