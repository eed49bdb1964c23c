// Package stream carries bodies that are not held whole: a request's from its client to the
// attempts at it, one after the other, with as much of its beginning kept as package body
// allows. It knows no protocol: fronts are its sources, upstreams its readers.
package stream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"frostshift/internal/body"
	"frostshift/internal/shortage"
)

// Errors of a body.
var (
	ErrGone   = errors.New("the beginning of the body is gone")
	ErrClosed = errors.New("the body is read no more")
	ErrSlow   = errors.New("the body is slow")
	ErrLong   = errors.New("the body is too long")
	ErrLength = errors.New("the body is not as long as was said")

	errNoSpool = errors.New("there is none")
)

// Source is where a request's body comes from. Its methods are called by one goroutine at a
// time, but for SetReadDeadline.
type Source interface {
	// Read reads what has come, and ends with io.EOF where the client said that it was all;
	// any other error is a body that broke off.
	Read(p []byte) (int, error)
	// SetReadDeadline ends a Read that has waited until then with os.ErrDeadlineExceeded.
	SetReadDeadline(t time.Time) error
	// Unread is how many bytes have come that Read has not given yet, and whether the last one is known to be among
	// them. It may be called at any time and must not block.
	Unread() (n int64, whole bool)
	// Trailer is what followed the body, once it has ended; nil: nothing.
	Trailer() http.Header
}

// Room bounds the bytes that are kept in memory.
type Room interface {
	Take(n int64) bool
	Give(n int64)
}

// File keeps bytes on disk. Close gives the room back.
type File interface {
	io.WriterAt
	io.ReaderAt
	io.Closer
}

// Config is what an Upload needs.
type Config struct {
	Source Source
	Bounds body.Bounds
	Room   Room                 // for what is kept in memory
	Spool  func() (File, error) // for what is kept on disk; nil: nothing is
	Strict bool                 // a body that can't be kept on disk breaks, and is not sent on without
	Idle   time.Duration        // that the client may let pass without a byte; 0: any
	// Silence is the same for a single rest, where that may be shorter; 0: Idle.
	Silence time.Duration
	Rate    int64 // bytes a second that it must send in the long run, beyond Idle; 0: any
	Raw     bool  // bytes go on unframed, behind a switch of protocols
	Timed   bool  // the client has said how long it waits, see OwedAt
	// MakeRoom is called where a body that is read ahead finds no room, and says whether to look again; nil: never.
	MakeRoom func() bool
	// Lost is told why the beginning of the body is let go ahead of its bounds; nil: nobody is. It must not block.
	Lost func(*shortage.Error)
}

// Upload is the body of one request on its way. It is safe for concurrent use; of its
// Readers one reads at a time.
//
// Nobody reads ahead: bytes leave the client's connection as an attempt asks for them, so a
// host that takes nothing in slows the client, and what is held is what is kept and one
// buffer.
type Upload struct {
	cfg    Config
	failed chan struct{} // closed: err is set and is not io.EOF

	mu       sync.Mutex
	changed  *sync.Cond
	replay   *body.Replay
	owed     *body.Owed
	kept     []byte
	room     int64   // that kept takes up, used or not
	ready    int64   // bytes that have come and can be read, if they are still there
	pooled   *[]byte // where kept is from; nil: it is its own
	file     File
	err      error // io.EOF: it has ended; nil: more may come
	fetching bool
	closed   bool
	waited   time.Duration // for the client
	since    time.Time     // while fetching
	set      time.Time     // the source's deadline; zero: none
	touched  bool          // an attempt has had the head, a byte, or the end
}

// NewUpload returns the body that comes from a source.
func NewUpload(cfg Config) *Upload {
	u := &Upload{cfg: cfg, failed: make(chan struct{}), replay: body.NewReplay(cfg.Bounds), owed: body.NewOwed(time.Now(), cfg.Bounds.Length)}
	u.changed = sync.NewCond(&u.mu)
	return u
}

// Length is how many bytes the client has announced; -1: it has not.
func (u *Upload) Length() int64 { return u.cfg.Bounds.Length }

// Raw says that the bytes go on without framing, once the protocol has been switched.
func (u *Upload) Raw() bool { return u.cfg.Raw }

// Source is where the body comes from.
func (u *Upload) Source() Source { return u.cfg.Source }

// State is what is left for another attempt.
func (u *Upload) State() body.State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replay.State()
}

// Came is how many bytes of the body have come.
func (u *Upload) Came() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replay.Came()
}

// Err is why the body broke; nil: it has not, or has ended.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF {
		return nil
	}
	return u.err
}

// Broken says whether the client's sending broke off.
func (u *Upload) Broken() bool { return u.Err() != nil }

// Failed is closed once the body is broken.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Ended says whether the last byte has come.
func (u *Upload) Ended() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// OwedAt is the last time at which the client is known to have owed a part of the body. One that has not said how long it
// waits is held to owe a part until the end has been read.
func (u *Upload) OwedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.err != nil || u.closed || u.cfg.Raw:
	case !u.cfg.Timed:
		u.owed.Waited(time.Now())
	default:
		l := body.Look{At: time.Now(), Came: u.replay.Came(), Waiting: u.fetching}
		l.Unread, l.Whole = u.cfg.Source.Unread()
		u.owed.Look(l)
	}
	return u.owed.At()
}

// Touch notes that an attempt is about to send the head ahead of the body: a host may act on that.
func (u *Upload) Touch() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.touched = true
}

// Touched says whether an attempt has had anything of the request.
func (u *Upload) Touched() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.touched
}

// Waited is how long attempts have waited for the client so far.
func (u *Upload) Waited() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.waited
	if u.fetching {
		w += time.Since(u.since)
	}
	return w
}

// Stalled is for how long the client has been waited for without a byte; 0: it is not waited for.
func (u *Upload) Stalled(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.fetching || u.closed || u.err != nil {
		return 0
	}
	if n, _ := u.cfg.Source.Unread(); n > 0 { // it has come, and nobody has had the time to read it
		return 0
	}
	return now.Sub(u.since)
}

// Break ends the body with an error, unless it has ended: nothing more of it is waited for.
func (u *Upload) Break(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil || u.closed {
		return
	}
	u.err = err
	close(u.failed)
	if u.fetching {
		u.cfg.Source.SetReadDeadline(time.Unix(1, 0))
	}
	u.changed.Broadcast()
}

// Close ends the body: nothing more is read from its source once Close has returned, and
// what was kept is let go.
func (u *Upload) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	u.closed = true
	if u.fetching {
		u.mu.Unlock()
		u.cfg.Source.SetReadDeadline(time.Unix(1, 0))
		u.mu.Lock()
	}
	for u.fetching {
		u.changed.Wait()
	}
	u.drop()
	u.changed.Broadcast()
}

// drop lets go of what is kept. The lock is held.
func (u *Upload) drop() {
	u.shed()
	u.giveRoom()
	if u.file != nil {
		u.file.Close()
		u.file = nil
	}
}

// beginnings are buffers for what is kept in memory, of the most that is kept mostly: only
// the upload reads them, so they come back with its end.
var beginnings sync.Pool

const (
	beginning   = 64<<10 + 512
	leastPooled = 16 << 10 // what is shorter is made to measure
)

// grow makes memory for n bytes in all where what is kept is, if the room has any. The lock is held.
func (u *Upload) grow(n int64) bool {
	size := n // of the memory
	if n > leastPooled && n <= beginning {
		size = beginning
	}
	if more := size - u.room; more > 0 {
		if !u.cfg.Room.Take(more) {
			return false
		}
		u.room = size
	}
	if size != beginning {
		next := append(make([]byte, 0, n), u.kept...)
		u.shed()
		u.kept = next
		return true
	}
	b, _ := beginnings.Get().(*[]byte)
	if b == nil {
		made := make([]byte, beginning)
		b = &made
	}
	next := append((*b)[:0:n], u.kept...)
	u.shed()
	u.kept, u.pooled = next, b
	return true
}

// giveRoom gives back the room of what was kept. The lock is held.
func (u *Upload) giveRoom() {
	if u.room > 0 {
		u.cfg.Room.Give(u.room)
		u.room = 0
	}
}

// shed lets go of the memory of what is kept. The lock is held.
func (u *Upload) shed() {
	if u.pooled != nil {
		beginnings.Put(u.pooled)
	}
	u.kept, u.pooled = nil, nil
}

// Filled is a body that has come whole, with what it holds.
type Filled struct {
	Body *body.Complete
	Held int64 // bytes of the room
	// Again gives the body's memory to another, for whoever knows that nobody reads it any more; nil: it is not used again.
	Again func()
}

// Fill reads ahead until the body has ended, n bytes are kept or there is no room for more. It is called before the first
// Open. Where all of the body has come, without trailers, it is handed over, and the Upload is of no more use; nil: it has
// not, and what has come is read by the first Reader.
func (u *Upload) Fill(n int64) (*Filled, error) {
	r, err := u.Open()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	told := u.Length()
	for err == nil && (r.at < n || r.at == told) {
		p, ok := u.spare(n, told)
		for !ok && u.cfg.MakeRoom != nil && u.cfg.MakeRoom() {
			p, ok = u.spare(n, told)
		}
		if !ok { // what is read from here on goes to an attempt
			break
		}
		if r.at < n {
			p = p[:min(int64(len(p)), n-r.at)]
		}
		_, err = r.Read(p)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.touched = false
	switch {
	case err == io.EOF && u.cfg.Source.Trailer() == nil:
		return u.handOver(), nil
	case err == io.EOF:
		err = nil
	}
	return nil, err
}

// spare is memory behind what is kept: it grows with what has come and not with what was announced, up to n bytes.
func (u *Upload) spare(n, told int64) (p []byte, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.kept) == cap(u.kept) {
		next := max(4*int64(cap(u.kept)), 4<<10)
		if told >= 0 {
			next = min(next, told+1) // one byte more, for the end to be seen
		}
		if !u.grow(min(next, n+1)) {
			return nil, false
		}
	}
	return u.kept[len(u.kept):cap(u.kept)], true
}

// handOver hands over a body that has ended; nil: not all of it is kept in memory. The lock is held.
func (u *Upload) handOver() *Filled {
	whole, err := body.NewComplete(u.kept, u.replay.Came(), u.cfg.Bounds.Length)
	if err != nil || u.replay.State() != body.Whole {
		return nil
	}
	f := &Filled{Body: whole, Held: u.room}
	if b := u.pooled; b != nil {
		f.Again = func() { beginnings.Put(b) }
	}
	u.kept, u.pooled, u.room, u.closed = nil, nil, 0, true
	return f
}

// silence is how long a single rest of the client may be; 0: any.
func (u *Upload) silence() time.Duration {
	if u.cfg.Silence > 0 {
		return u.cfg.Silence
	}
	return u.cfg.Idle
}

// deadline is when a read that begins now has waited for too long: for a single rest, or for as long
// as a client may take in all for what it has sent. The lock is held.
func (u *Upload) deadline(now time.Time) (t time.Time) {
	if silence := u.silence(); silence > 0 {
		t = now.Add(silence)
	}
	if u.cfg.Rate > 0 {
		may := u.cfg.Idle + time.Duration(float64(u.replay.Came())/float64(u.cfg.Rate)*float64(time.Second))
		if rate := now.Add(may - u.waited); t.IsZero() || rate.Before(t) {
			t = rate
		}
	}
	return t
}

// keep keeps bytes that have come, or lets go of all that was kept. An error: the body must be
// kept and can't be. The lock is held, but not while bytes go to disk.
func (u *Upload) keep(p []byte, needed bool) error {
	switch u.replay.Took(int64(len(p)), needed) {
	case body.Keep:
		need := int64(len(u.kept) + len(p))
		if need <= int64(cap(u.kept)) || u.grow(max(need, min(4*int64(cap(u.kept)), u.cfg.Bounds.Memory))) {
			u.kept = append(u.kept, p...)
			return nil
		}
		u.lost(shortage.New(shortage.BodyMemory))
		u.replay.Lose()
	case body.Spill:
		err := u.spill(p)
		if err == nil {
			return nil
		}
		lack := &shortage.Error{Resource: shortage.Spool, Err: err}
		u.replay.NoDisk()
		u.drop()
		if u.cfg.Strict {
			return lack
		}
		u.lost(lack)
		return nil
	}
	u.drop()
	return nil
}

// lost says why the beginning is let go.
func (u *Upload) lost(why *shortage.Error) {
	if u.cfg.Lost != nil {
		u.cfg.Lost(why)
	}
}

// spill writes to disk what has come, and what was kept in memory before. The lock is held,
// but not while it writes: whoever asks how things stand must not wait for a disk.
func (u *Upload) spill(p []byte) error {
	f, before, at := u.file, u.kept, u.replay.Came()-int64(len(p))
	u.mu.Unlock()
	var err error
	if f == nil {
		if u.cfg.Spool == nil {
			err = errNoSpool
		} else {
			f, err = u.cfg.Spool()
		}
		if err == nil && len(before) > 0 {
			_, err = f.WriteAt(before, 0)
		}
	}
	if err == nil {
		_, err = f.WriteAt(p, at)
	}
	u.mu.Lock()
	if u.file == nil && f != nil {
		u.file = f
	}
	if err != nil {
		return err
	}
	u.shed()
	u.giveRoom()
	return nil
}

// Trailer is what followed the body, once it has ended; nil: nothing.
func (u *Upload) Trailer() http.Header {
	if !u.Ended() {
		return nil
	}
	return u.cfg.Source.Trailer()
}
