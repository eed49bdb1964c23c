// Package h2 is what both ends of an HTTP/2 connection (RFC 9113) share: reading and
// writing frames, flow control both ways, limits against floods, and messages to and from
// header fields. It knows nothing of requests' meaning, of pools or of hosts; who uses it
// decides which streams there are.
//
// link.go is the connection, writer.go sends, flow.go counts windows, fields.go reads
// header fields, limits.go bounds what a peer may do.
package h2

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Sizes of a link.
const (
	MaxFrame    = 64 << 10 // bytes of a frame's payload, both ways: fewer calls for long bodies, and no turn longer than that
	firstFrame  = 16 << 10 // ... before the peer has said what it takes in
	MaxHeader   = 16 << 10 // bytes of a header list, counted as RFC 9113 section 10.5.1 says
	FirstWindow = 65535    // of each stream and connection before any settings
	maxWindow   = 1<<31 - 1
	mostControl = 1000 // control frames that wait to be written
	// mostRead bounds the bytes of one frame with all CONTINUATION frames that belong to it:
	// frames without end, however small, must not keep a reader busy (CVE-2024-27316).
	mostRead = max(4*MaxHeader, MaxFrame+1<<10)
	// WriteWithin is how long the peer may take to take in what is written.
	WriteWithin = 5 * time.Second
)

// Config says what a link offers its peer.
type Config struct {
	// StreamWindow is the window offered for each stream, ConnWindow the one for the whole
	// connection: what the peer may send before it is given credit.
	StreamWindow, ConnWindow uint32
	MaxStreams               uint32 // that the peer may open at once
	Client                   bool   // this end opens the streams
	Connect                  bool   // the peer may ask for other protocols on a stream (RFC 8441)
}

// Link is one HTTP/2 connection. Its methods are safe for concurrent use, but ReadFrame
// belongs to one goroutine.
type Link struct {
	Conn   net.Conn
	cfg    Config
	framer *http2.Framer
	in     *bufio.Reader
	limit  io.LimitedReader

	// pen is held (it holds one) while frames are chosen, written or flushed; it is taken
	// before mu. A channel, since Forget takes it only within a time.
	pen     chan struct{}
	out     *bufio.Writer
	encoder *hpack.Encoder
	encoded headerBuffer
	dueSet  time.Time // when the deadline of writes was set; of the pen

	mu          sync.Mutex
	wake        *sync.Cond // the writer's
	control     []func(*http2.Framer) error
	ready       streamList // streams that may have something to send
	streams     map[uint32]*Stream
	sendWindow  int64
	recvWindow  int64
	consumed    int64 // received, not yet given credit for
	peerInitial int64
	peerStreams uint32 // that the peer lets this end open
	peerFrame   int
	earned      int64  // bytes of bodies sent that no window update has been counted against
	written     uint64 // turns that streams have had
	flushed     uint64 // of them, those whose frames have been handed to the connection
	closed      bool
	half        bool          // with closed: only the sending side
	ended       chan struct{} // closed: the writer has ended
}

// headerBuffer collects one encoded header block.
type headerBuffer struct{ b []byte }

func (h *headerBuffer) Write(p []byte) (int, error) {
	h.b = append(h.b, p...)
	return len(p), nil
}

// Stream is one stream of a link.
type Stream struct {
	ID    uint32
	Owner any // for the caller

	link       *Link
	sendWindow int64
	recvWindow int64
	window     int64 // what it was offered in all
	consumed   int64
	out        *Out
	inReady    bool
	next       *Stream // in the list of those ready
	forgotten  bool
	turn       uint64 // its last one
}

// Out is what one stream sends: header fields and a body, to its end.
type Out struct {
	Fields []hpack.HeaderField
	Body   []byte
	// Done is called once the last byte has been handed to the connection, by the writer
	// and with no lock held. It must not block. It is not called for what never gets there.
	Done func()
	// Ending is called once the last byte is in the writer's buffer, before the peer can see
	// it, in the same way. nil: nobody asks.
	Ending func()
	// More says that Body is not all: Append gives what follows, or the end. Taken is called,
	// like Done, each time that all there is so far has been handed to the connection.
	More  bool
	Taken func()
	// Trailer follows the body.
	Trailer []hpack.HeaderField
	// MaySend is asked by the writer immediately before the first byte. Where it says no the stream is
	// forgotten, nothing of it goes out, and Barred is called in a goroutine. It must not block, nor
	// call the link. nil: it may.
	MaySend func() bool
	Barred  func()

	headSent bool
	sent     int
	whole    bool // its last byte has been given to the writer: it may be on its way
}

// New returns a link over a connection; Start begins it.
func New(c net.Conn, cfg Config) *Link {
	l := &Link{Conn: c, cfg: cfg, streams: map[uint32]*Stream{}, sendWindow: FirstWindow, recvWindow: FirstWindow,
		peerInitial: FirstWindow, peerStreams: 100, peerFrame: firstFrame, ended: make(chan struct{}), pen: make(chan struct{}, 1)}
	if !cfg.Client {
		l.peerStreams = 0
	}
	l.wake = sync.NewCond(&l.mu)
	l.limit.R = c
	l.in = bufio.NewReaderSize(&l.limit, 4<<10)
	l.out = bufio.NewWriterSize(c, 8<<10) // longer parts go past it
	l.framer = http2.NewFramer(l.out, l.in)
	l.framer.SetReuseFrames()
	l.framer.SetMaxReadFrameSize(MaxFrame)
	l.framer.MaxHeaderListSize = MaxHeader
	l.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	l.encoder = hpack.NewEncoder(&l.encoded)
	return l
}

// Start writes this end's preface and settings and begins to write what is sent.
func (l *Link) Start() {
	l.Control(func(f *http2.Framer) error {
		if l.cfg.Client {
			if _, err := l.out.WriteString(http2.ClientPreface); err != nil {
				return err
			}
		}
		settings := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: l.cfg.StreamWindow},
			{ID: http2.SettingMaxHeaderListSize, Val: MaxHeader}, {ID: http2.SettingMaxFrameSize, Val: MaxFrame}}
		if l.cfg.Client {
			settings = append(settings, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
		} else {
			settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: l.cfg.MaxStreams})
			if l.cfg.Connect {
				settings = append(settings, http2.Setting{ID: http2.SettingEnableConnectProtocol, Val: 1})
			}
		}
		return f.WriteSettings(settings...)
	})
	if more := int64(l.cfg.ConnWindow) - FirstWindow; more > 0 {
		l.mu.Lock()
		l.recvWindow += more
		l.mu.Unlock()
		l.Control(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, uint32(more)) })
	}
	go l.write()
}

// ErrPreface says that what comes does not begin as HTTP/2 does.
var ErrPreface = errors.New("h2: no client preface")

// ReadPreface reads the client's preface (RFC 9113 section 3.4).
func (l *Link) ReadPreface() error {
	l.limit.N = int64(len(http2.ClientPreface)) + mostRead
	buf := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(l.in, buf); err != nil {
		return err
	}
	if string(buf) != http2.ClientPreface {
		return ErrPreface
	}
	return nil
}

// ReadFrame reads the next frame; header blocks come whole and decoded. The frame is
// valid until the next call. An error of type http2.StreamError leaves the link usable.
func (l *Link) ReadFrame() (http2.Frame, error) {
	l.limit.N = mostRead
	return l.framer.ReadFrame()
}

// Open makes a stream that the peer or this end opens.
func (l *Link) Open(id uint32, owner any) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &Stream{ID: id, Owner: owner, link: l, sendWindow: l.peerInitial, recvWindow: int64(l.cfg.StreamWindow), window: int64(l.cfg.StreamWindow)}
	l.streams[id] = s
	return s
}

// Stream finds an open stream; nil: there is none of this id.
func (l *Link) Stream(id uint32) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

// Streams is how many streams are open, and how many the peer lets this end open.
func (l *Link) Streams() (open int, most uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams), l.peerStreams
}

// Each calls f for every open stream. It holds no lock meanwhile.
func (l *Link) Each(f func(*Stream)) {
	l.mu.Lock()
	list := make([]*Stream, 0, len(l.streams))
	for _, s := range l.streams {
		list = append(list, s)
	}
	l.mu.Unlock()
	for _, s := range list {
		f(s)
	}
}

// flushWait is how long Forget waits for a write that is under way: microseconds, unless
// the peer takes nothing in. It waits so in flushTurns turns: a process that gets no processor time
// sees a timer and the write that it waits for at once, and would take itself for the peer.
const (
	flushWait  = 2 * time.Millisecond
	flushTurns = 10
)

// Forget ends this end's memory of a stream. When it returns, nothing more of it goes out:
// what the writer's buffer holds of a request is sent here and now, and if the peer takes
// nothing in, the connection is closed. It says whether the stream's last byte may have
// gone out.
func (l *Link) Forget(s *Stream) (whole bool) {
	l.mu.Lock()
	s.forgotten = true
	delete(l.streams, s.ID)
	whole = s.out != nil && s.out.whole
	buffered := l.cfg.Client && s.turn > l.flushed && !l.closed
	l.mu.Unlock()
	if buffered && !l.flushSoon() {
		l.Close()
	}
	return whole
}

// takePen waits for the writer's turn to end and says whether it did in the time.
func (l *Link) takePen() bool {
	select {
	case l.pen <- struct{}{}:
		return true
	default:
	}
	turn := time.NewTimer(flushWait)
	defer turn.Stop()
	for n := 1; ; n++ {
		select {
		case l.pen <- struct{}{}:
			return true
		case <-turn.C:
			if n == flushTurns {
				return false
			}
			turn.Reset(flushWait)
		}
	}
}

// flushSoon hands what is buffered to the connection and says whether that was done in
// flushTurns turns of flushWait. The writer's own turn would come later: it may have much to do.
func (l *Link) flushSoon() bool {
	if !l.takePen() {
		return false
	}
	defer func() { <-l.pen }()
	if l.out.Buffered() == 0 {
		return true
	}
	l.Conn.SetWriteDeadline(time.Now().Add(flushTurns * flushWait))
	l.dueSet = time.Time{}
	return l.flush() == nil
}

// Close ends the connection at once.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.wake.Broadcast()
	l.mu.Unlock()
	l.Conn.Close()
}

// Finish ends this end's sending, once what waits to be written has been or could not be.
// The connection is still read: were it closed with anything unread, the peer would lose
// what it has not read of ours (RFC 9112 section 9.6 tells why). Whoever reads closes it.
func (l *Link) Finish() {
	l.mu.Lock()
	l.closed, l.half = true, true
	l.wake.Broadcast()
	l.mu.Unlock()
	<-l.ended
}

// Ended is closed when nothing is written any more.
func (l *Link) Ended() <-chan struct{} { return l.ended }
