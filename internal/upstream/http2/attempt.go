package http2

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"frostshift"
	"frostshift/internal/exchange"
	"frostshift/internal/h2"
	"frostshift/internal/headcost"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
	"frostshift/internal/upstream"
)

// attempt is one try of a request at a host; it is the exchange's handle on it.
type attempt struct {
	*exchange.Attempt
	u   *Upstream
	off chan struct{} // closed: called off

	mu     sync.Mutex
	isOff  bool
	stream *h2.Stream
	conn   *conn
	timer  *time.Timer
	ended  bool
	body   []byte // of the answer
	held   int64  // bytes of room for it
	// headHeld are those for its head.
	headHeld int64

	malformed atomic.Bool                    // what came back is no answer
	lacks     atomic.Pointer[shortage.Error] // what has ended the attempt; nil: no shortage

	feeder *feeder     // of a body that is not whole; nil: it is
	fl     *answerFlow // the answer's body flows; nil: it does not, or not yet
	by     time.Time   // when the answer's head is due

	// Of the connection's reader:
	ahead  int // answers ahead of it
	status int
	header http.Header
	length int64
	over   bool // the answer is whole
}

// Start sends the request in a goroutine that reports what could not be sent; what was
// sent is reported by the connection's reader.
func (u *Upstream) Start(a *exchange.Attempt) exchange.Handle {
	t := &attempt{Attempt: a, u: u, off: make(chan struct{}), length: -1, by: a.Until}
	u.mu.Lock()
	h := u.hosts[a.Host]
	u.mu.Unlock()
	go t.run(h)
	return t
}

// run takes the attempt to a connection, to another one where the first takes no more streams.
func (t *attempt) run(h *host) {
	if h == nil || !t.Message.(*message.Request).Sendable() {
		t.end(frostshift.NotSent, nil)
		return
	}
	for {
		c, err := t.u.get(t, h)
		if err != nil {
			t.unconnected(err)
			return
		}
		if !t.MaySend() {
			c.give()
			t.end(frostshift.NotSent, nil)
			return
		}
		t.use(c)
		if !t.openBody() {
			t.end(frostshift.NotSent, nil)
			return
		}
		if c.open(t, t.out(h.address)) {
			t.sent()
			return
		}
		// The connection takes no more streams, or the attempt is off: nothing has been sent.
		off := t.use(nil)
		if !off {
			c.leave()
		}
		c.give()
		if off {
			t.end(frostshift.NotSent, nil)
			return
		}
	}
}

// unconnected ends an attempt for which there is no connection.
func (t *attempt) unconnected(err error) {
	t.mu.Lock()
	off := t.isOff
	t.mu.Unlock()
	if of := shortage.Of(err); of != nil && !off {
		t.lacks.Store(of)
		t.end(frostshift.NotSent, nil)
		return
	}
	if off || errors.Is(err, errCalledOff) {
		t.end(frostshift.NotSent, nil)
		return
	}
	t.end(frostshift.ConnectFailed, nil)
}

// use notes the connection that the attempt has a place on, and says whether it has been called off.
func (t *attempt) use(c *conn) (off bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	return t.isOff
}

// openBody opens the body, if it flows. It fails where an earlier attempt has used its beginning up.
func (t *attempt) openBody() bool {
	up := t.Message.(*message.Request).Upload
	if up == nil || t.feeder != nil {
		return true
	}
	r, err := up.Open()
	if err != nil {
		return false
	}
	up.Touch()
	t.feeder = newFeeder(t, up, r)
	return true
}

// sent has the attempt end at its time, and sends the body behind the head.
func (t *attempt) sent() {
	t.mu.Lock()
	if !t.ended && t.fl == nil {
		t.timer = time.AfterFunc(time.Until(t.by), t.late)
	}
	t.mu.Unlock()
	if t.feeder != nil {
		t.feeder.run()
	}
}

// out is the request as it goes to the host.
func (t *attempt) out(address string) *h2.Out {
	r := t.Message.(*message.Request)
	o := &h2.Out{Body: r.Body.Bytes(), Fields: make([]hpack.HeaderField, 0, len(r.Header)+6), MaySend: t.MaySend, Barred: t.barred}
	authority := r.Authority
	if authority == "" {
		authority = address
	}
	o.Fields = append(o.Fields, hpack.HeaderField{Name: ":method", Value: r.Method}, hpack.HeaderField{Name: ":scheme", Value: "http"},
		hpack.HeaderField{Name: ":authority", Value: authority}, hpack.HeaderField{Name: ":path", Value: r.Target},
		hpack.HeaderField{Name: "x-time-left", Value: strconv.FormatInt(t.Remaining().Microseconds(), 10) + "u"})
	if r.Upload != nil {
		o.More, o.Taken, o.Done = true, t.feeder.took, t.feeder.done
		if n := r.Upload.Length(); n >= 0 {
			o.Fields = append(o.Fields, hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(n, 10)})
		}
	}
	if r.Body.Len() > 0 {
		o.Fields = append(o.Fields, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(r.Body.Len())})
	}
	o.Fields = h2.AppendFields(o.Fields, r.Header)
	return o
}

// CallOff ends the attempt: when it returns, nothing more of it goes out but the word to
// stop. See h2.Link.Forget for hosts that take nothing in.
func (t *attempt) CallOff() {
	t.mu.Lock()
	if t.isOff {
		t.mu.Unlock()
		return
	}
	t.isOff = true
	close(t.off)
	s, c := t.stream, t.conn
	t.mu.Unlock()
	if s == nil {
		return // no stream will be opened
	}
	if c.link.Reset(s, http2.ErrCodeCancel) || t.begun(s) {
		t.end(frostshift.Canceled, nil)
	} else {
		t.end(frostshift.NotSent, nil)
	}
}

// barred ends the attempt where its first byte was due and may not go out any more.
func (t *attempt) barred() { t.end(frostshift.NotSent, nil) }

// begun says whether a host may have had a part of a request whose body is not whole, and so
// may act on it.
func (t *attempt) begun(s *h2.Stream) bool { return t.feeder != nil && s.Begun() }

// late gives the attempt up when its time is over.
func (t *attempt) late() {
	t.mu.Lock()
	s, c, flows := t.stream, t.conn, t.fl != nil
	t.mu.Unlock()
	if flows {
		return // it has come
	}
	if c.link.Reset(s, http2.ErrCodeCancel) || t.begun(s) {
		t.end(frostshift.TimedOut, nil)
	} else {
		t.end(frostshift.ConnectFailed, nil)
	}
}

// end reports how the attempt ended, once.
func (t *attempt) end(result frostshift.Result, answer *message.Answer) {
	t.mu.Lock()
	if t.fl != nil { // the head has been given on: it is the body that ends
		fl := t.fl
		t.mu.Unlock()
		fl.fail(result)
		return
	}
	if t.ended {
		t.mu.Unlock()
		if answer != nil {
			answer.Release()
		}
		return
	}
	t.ended = true
	if t.feeder != nil {
		t.feeder.r.Close()
		t.stop()
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	c, held := t.conn, t.held+t.headHeld
	t.held, t.headHeld, t.body = 0, 0, nil
	t.mu.Unlock()
	if c != nil {
		c.give()
	}
	if held > 0 {
		t.u.cfg.Bytes.Give(held)
	}
	switch {
	case answer != nil:
		t.Answered(t.Answers.Judge(answer.Status, answer.Header), upstream.After(answer), answer)
	case t.lacks.Load() != nil:
		go t.Short(t.lacks.Load(), result != frostshift.NotSent)
	case t.malformed.Load():
		go t.Malformed()
	default:
		go t.End(result) // may be called from the pool's loop, by CallOff
	}
}

// broken is the end of the connection under the attempt.
func (t *attempt) broken(s *h2.Stream) {
	if s.Whole() || t.begun(s) {
		t.end(frostshift.Reset, nil)
	} else {
		t.end(frostshift.ConnectFailed, nil)
	}
}

// headers takes the head of an answer, or its trailers.
func (t *attempt) headers(f *http2.MetaHeadersFrame) {
	if f.Truncated {
		t.odd()
		return
	}
	if t.status >= 200 { // trailers
		if !f.StreamEnded() || !h2.Trailers(f.Fields) {
			t.odd()
			return
		}
		if fl := t.flowNow(); fl != nil {
			fl.trailer = h2.TrailerOf(f.Fields)
			fl.last()
			return
		}
		t.last()
		return
	}
	status, header, length, err := h2.ReadResponse(f.Fields)
	if err != nil || status == http.StatusSwitchingProtocols || status < 200 && f.StreamEnded() {
		t.odd()
		return
	}
	req := t.Message.(*message.Request)
	if status < 200 { // an answer ahead
		if t.ahead++; t.ahead > mostAhead {
			t.odd()
		} else if status == http.StatusEarlyHints && req.Flow != nil && req.Flow.Hint != nil {
			req.Flow.Hint(status, message.EndToEnd(header))
		}
		return
	}
	if !t.holdHead(header) {
		t.short()
		return
	}
	t.status, t.header, t.length = status, header, length
	if !f.StreamEnded() && t.begin(req) {
		return
	}
	if length > maxAnswer {
		t.odd()
		return
	}
	if f.StreamEnded() {
		t.last()
	}
}

// freeHead is how much the head of an answer may cost that takes no room: what most cost.
const freeHead = 4 << 10

// holdHead takes room of answers for a head that costs much, and says whether there was any.
func (t *attempt) holdHead(h http.Header) bool {
	cost := headcost.Of(h) - freeHead
	if cost <= 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || !t.u.cfg.Bytes.Take(cost) {
		return t.ended // nobody gets it
	}
	t.headHeld = cost
	return true
}

// data takes a part of the answer's body.
func (t *attempt) data(f *http2.DataFrame) {
	part := f.Data()
	if fl := t.flowNow(); fl != nil {
		fl.put(part, int(f.Length), f.StreamEnded())
		return
	}
	defer t.conn.link.Credit(t.stream, int(f.Length))
	if t.status < 200 || t.over {
		t.odd()
		return
	}
	if isTooLong := t.isTooLong(part); isTooLong || !t.hold(part) {
		if isTooLong {
			t.odd()
		} else {
			t.short()
		}
		return
	}
	if f.StreamEnded() {
		t.last()
	}
}

// isTooLong says whether a part of the body makes it longer than it may be.
func (t *attempt) isTooLong(part []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int64(len(t.body) + len(part))
	return !t.ended && (n > maxAnswer || t.length >= 0 && n > t.length)
}

// hold takes in a part of the body, and says whether there is room for it.
func (t *attempt) hold(part []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended { // nobody gets it
		return true
	}
	n := int64(len(t.body) + len(part))
	if n > firstPart && n > t.held {
		more := max(n-t.held, firstPart)
		if !t.u.cfg.Bytes.Take(more) {
			return false
		}
		t.held += more
	}
	t.body = append(t.body, part...)
	return true
}

// last ends the attempt with the answer, which is whole.
func (t *attempt) last() {
	t.mu.Lock()
	n, ended := int64(len(t.body)), t.ended
	t.mu.Unlock()
	if ended {
		return
	}
	if t.length >= 0 && n != t.length && !(n == 0 && bodiless(t.Message.(*message.Request).Method, t.status)) {
		t.odd()
		return
	}
	t.over = true
	t.finish()
}

// bodiless says whether an answer has no body, whatever it tells of a length.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func (t *attempt) answered() bool {
	fl := t.flowNow()
	return t.over || fl != nil && fl.Ended()
}

// finish hands the whole answer on.
func (t *attempt) finish() {
	if t.flowNow() != nil {
		return // whoever reads the body ends it
	}
	s := t.stream
	if s.Whole() {
		t.Message.(*message.Request).Written.Store(true)
		t.conn.link.Forget(s)
	} else { // it answered before the request was whole: the rest is not sent
		t.conn.link.Reset(s, http2.ErrCodeNo)
	}
	t.mu.Lock()
	answer := &message.Answer{Status: t.status, Header: message.EndToEnd(t.header), Body: t.body, Length: -1}
	if bodiless(t.Message.(*message.Request).Method, t.status) && t.status != http.StatusNoContent {
		answer.Length = t.length
	}
	held := t.held + t.headHeld
	t.held, t.headHeld = 0, 0
	t.mu.Unlock()
	if held > 0 {
		room := t.u.cfg.Bytes
		answer.Free = func() { room.Give(held) }
	}
	t.end(frostshift.OK, answer)
}

// short ends the attempt for an answer that there is no room for. The request may have run.
func (t *attempt) short() {
	t.conn.link.Reset(t.stream, http2.ErrCodeCancel)
	t.lacks.Store(errNoRoom)
	t.end(frostshift.Canceled, nil)
}

// errNoRoom says that answers hold all the memory they may.
var errNoRoom = shortage.New(shortage.AnswerMemory)

// odd ends the attempt for an answer that none may give. The request may have run.
func (t *attempt) odd() {
	t.conn.link.Reset(t.stream, http2.ErrCodeProtocol)
	t.oddEnd()
}

func (t *attempt) oddEnd() {
	if fl := t.flowNow(); fl != nil {
		fl.fail(frostshift.Reset)
		return
	}
	t.malformed.Store(true)
	t.end(frostshift.Failed, nil)
}
