package fake

import "sync"

// Room is a bounded amount of something that is taken and given back, like memory for bodies.
type Room struct {
	mu         sync.Mutex
	used, most int64
}

// NewRoom returns a room that holds most.
func NewRoom(most int64) *Room { return &Room{most: most} }

// Take takes n and says whether there was as much.
func (r *Room) Take(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used+n > r.most {
		return false
	}
	r.used += n
	return true
}

// Give gives n back.
func (r *Room) Give(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= n
}

// Used is how much is taken.
func (r *Room) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}
