package front

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"frostshift/internal/shortage"
	"frostshift/internal/stream"
)

const (
	// stalledBody is how long nothing may have come of a body whose memory or connection others need.
	stalledBody = 250 * time.Millisecond
	// makeBodyRoomTries is how often a body that finds no room looks again, each time behind a stalled one that is refused
	// for it, if there is any left.
	makeBodyRoomTries = 4
)

// errStalled says that a body was refused which nothing had come of for a while.
var errStalled = errors.New("the body has stalled")

// BodyReads are the bodies that are read ahead of any attempt. Where others need what they hold, those are refused that
// have stalled the longest: nothing of their requests has been sent on. It is safe for concurrent use.
type BodyReads struct {
	mu    sync.Mutex
	reads map[*stream.Upload]struct{}
}

// NewBodyReads returns an account without bodies.
func NewBodyReads() *BodyReads { return &BodyReads{reads: map[*stream.Upload]struct{}{}} }

// follow notes a body up to the call of end. A nil account notes nothing.
func (b *BodyReads) follow(u *stream.Upload) (end func()) {
	if b == nil {
		return func() {}
	}
	b.mu.Lock()
	b.reads[u] = struct{}{}
	b.mu.Unlock()
	return func() {
		b.mu.Lock()
		delete(b.reads, u)
		b.mu.Unlock()
	}
}

// refuseStalled refuses the request whose body has stalled the longest, for what another needs, and says whether there was
// one. What it holds comes back shortly behind that.
func (b *BodyReads) refuseStalled(of *shortage.Error) bool {
	if b == nil {
		return false
	}
	now := time.Now()
	b.mu.Lock()
	var oldest *stream.Upload
	var longest time.Duration
	for u := range b.reads {
		if stalled := u.Stalled(now); stalled >= stalledBody && stalled > longest {
			oldest, longest = u, stalled
		}
	}
	delete(b.reads, oldest)
	b.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.Break(fmt.Errorf("%w: %w", errStalled, of))
	return true
}

// makeRoom returns how a body that finds no room has stalled ones refused for it: a call says whether to look again.
func (b *BodyReads) makeRoom() func() bool {
	tries := 0
	return func() bool {
		if tries++; tries > makeBodyRoomTries || !b.refuseStalled(shortage.New(shortage.BodyMemory)) {
			return false
		}
		time.Sleep(makeRoomWait)
		return true
	}
}
