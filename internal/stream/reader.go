package stream

import (
	"errors"
	"io"
	"os"
	"time"

	"frostshift/internal/body"
)

// Reader is an attempt's view of the body, from the first byte on.
type Reader struct {
	u      *Upload
	at     int64
	off    bool
	waited time.Duration // for the client, since Waited was asked
}

// Waited is how long reads have waited for the client since it was asked before.
func (r *Reader) Waited() time.Duration {
	r.u.mu.Lock()
	defer r.u.mu.Unlock()
	d := r.waited
	r.waited = 0
	return d
}

// Open begins to read the body from its first byte; ErrGone: that is not there any more. The
// Reader before must have been closed.
func (u *Upload) Open() (*Reader, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.closed:
		return nil, ErrClosed
	case u.replay.State() == body.Dropped:
		return nil, ErrGone
	}
	return &Reader{u: u}, nil
}

// Close ends a Read that waits, and all later ones. Bytes that the client sends for it are
// kept for the next Reader.
func (r *Reader) Close() {
	r.u.mu.Lock()
	r.off = true
	r.u.changed.Broadcast()
	r.u.mu.Unlock()
}

// Read reads the next bytes, and waits for the client to send some. io.EOF: that was all,
// and it is as the client said. It must not be called from several goroutines at once.
func (r *Reader) Read(p []byte) (int, error) {
	u := r.u
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		switch {
		case r.off || u.closed:
			return 0, ErrClosed
		case r.at < int64(len(u.kept)):
			n := copy(p, u.kept[r.at:])
			r.at += int64(n)
			u.touched = true
			return n, nil
		case r.at < u.ready:
			return r.fromDisk(p, u.ready)
		case u.err != nil:
			u.touched = true
			return 0, u.err
		case !u.fetching:
			return r.fetch(p)
		}
		began := time.Now()
		u.changed.Wait() // an attempt that has ended still waits for the client
		r.waited += time.Since(began)
	}
}

// fromDisk reads what has been spilled. The lock is held.
func (r *Reader) fromDisk(p []byte, came int64) (int, error) {
	u := r.u
	f := u.file
	if f == nil || u.replay.State() != body.Spilled {
		return 0, ErrGone
	}
	u.mu.Unlock()
	n, err := f.ReadAt(p[:min(int64(len(p)), came-r.at)], r.at)
	u.mu.Lock()
	r.at += int64(n)
	if n > 0 {
		u.touched = true
		return n, nil
	}
	u.replay.NoDisk()
	u.drop()
	return 0, errors.Join(ErrGone, err)
}

// readTime is how long a read of bytes that have come may take: one that takes longer has waited for them.
const readTime = time.Millisecond

// resetPart is the part of a rest by which its deadline may be too early.
const resetPart = 64

// fetch reads from the source and keeps what it reads as it should be. The lock is held.
func (r *Reader) fetch(p []byte) (int, error) {
	u := r.u
	u.fetching, u.since = true, time.Now()
	late := u.deadline(u.since)
	set := late.Sub(u.set) > u.silence()/resetPart || late.Before(u.set) // a call for each read is many
	if set {
		u.set = late
	}
	u.mu.Unlock()
	if set {
		u.cfg.Source.SetReadDeadline(late)
	}
	n, err := u.cfg.Source.Read(p)
	u.mu.Lock()
	took := time.Since(u.since)
	if took > readTime {
		u.owed.Waited(u.since.Add(took))
	}
	u.waited += took
	r.waited += took
	switch {
	case n > 0 && u.replay.TooLong(int64(n)):
		n, err = 0, ErrLong
	case n > 0 && u.replay.OffLength(int64(n)):
		n, err = 0, ErrLength
	}
	if n > 0 {
		if lack := u.keep(p[:n], r.off); lack != nil {
			n, err = 0, lack
		}
	}
	u.ready = u.replay.Came()
	if err == io.EOF && !u.replay.End() {
		err = ErrLength
	}
	u.fetching = false
	if err != nil && u.err == nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errors.Join(ErrSlow, err)
		}
		if u.err = err; err != io.EOF {
			close(u.failed)
		}
	}
	u.changed.Broadcast()
	if r.off || u.closed {
		return 0, ErrClosed
	}
	if n > 0 { // an end that came with them is read with the next call
		r.at += int64(n)
		u.touched = true
		return n, nil
	}
	return 0, u.err
}
