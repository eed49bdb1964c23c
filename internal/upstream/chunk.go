package upstream

import (
	"sync"

	"frostshift/internal/exchange"
)

const (
	// wideChunk is the buffer for a body on its way where there is room, narrowChunk where there is none.
	wideChunk   = 64 << 10
	narrowChunk = 8 << 10
)

var wideChunks, narrowChunks = chunkPool(wideChunk), chunkPool(narrowChunk)

func chunkPool(size int) *sync.Pool {
	return &sync.Pool{New: func() any { b := make([]byte, size); return &b }}
}

// Chunk is a buffer for a request's body on its way. It is held for as long as the client may send nothing, so a wide
// one counts in the room.
type Chunk struct {
	Bytes []byte
	from  *[]byte
	room  exchange.Room // nil: it counts nowhere
}

// TakeChunk returns a buffer, a wide one where the room has any.
func TakeChunk(room exchange.Room) *Chunk {
	pool := wideChunks
	if !room.Take(wideChunk) {
		pool, room = narrowChunks, nil
	}
	b := pool.Get().(*[]byte)
	return &Chunk{Bytes: *b, from: b, room: room}
}

// Free gives the buffer to another body.
func (c *Chunk) Free() {
	if c.room == nil {
		narrowChunks.Put(c.from)
		return
	}
	wideChunks.Put(c.from)
	c.Drop()
}

// Drop gives its room back alone: the buffer may still be read.
func (c *Chunk) Drop() {
	if c.room != nil {
		c.room.Give(wideChunk)
	}
}
