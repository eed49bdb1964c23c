// Package asynclog takes log lines in without waiting for whoever reads them: a reader that hangs, or has gone,
// costs lines and never holds up a request.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer passes on what is written to it, each Write a line, in order. It is safe for concurrent use.
type Writer struct {
	to   io.Writer
	most int

	mu      sync.Mutex
	lines   [][]byte
	held    int // bytes of them
	lost    int // lines since the last that was taken
	writing bool
	ended   bool
	changed chan struct{} // has a token when there is something to write, or it has ended
	idle    chan struct{} // closed and replaced when all has been written
}

// New returns a Writer that holds so many bytes at most of lines that have not gone out to the writer given.
func New(to io.Writer, most int) *Writer {
	w := &Writer{to: to, most: most, changed: make(chan struct{}, 1), idle: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or counts it as lost where too much is held. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.held+len(line) > w.most {
		w.lost++
		return len(line), nil
	}
	if w.lost > 0 {
		w.add(fmt.Appendf(nil, "log: %d lines were lost, as nobody read them\n", w.lost))
		w.lost = 0
	}
	w.add(append([]byte(nil), line...))
	return len(line), nil
}

// add holds a line. The lock is held.
func (w *Writer) add(line []byte) {
	w.lines = append(w.lines, line)
	w.held += len(line)
	w.wake()
}

func (w *Writer) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// run writes lines until the end. Where a write hangs it ends with the process.
func (w *Writer) run() {
	for {
		w.mu.Lock()
		w.writing = len(w.lines) > 0
		if !w.writing {
			close(w.idle)
			w.idle = make(chan struct{})
			if w.ended {
				w.mu.Unlock()
				return
			}
			w.mu.Unlock()
			<-w.changed
			continue
		}
		line := w.lines[0]
		w.lines = w.lines[1:]
		w.mu.Unlock()
		w.to.Write(line) // what can't be written is lost
		w.mu.Lock()
		w.held -= len(line)
		w.mu.Unlock()
	}
}

// Close takes no further lines and waits until what is held has gone out, for so long at most.
func (w *Writer) Close(within time.Duration) {
	w.mu.Lock()
	w.ended = true
	idle, done := w.idle, !w.writing && len(w.lines) == 0
	w.mu.Unlock()
	w.wake()
	if done {
		return
	}
	select {
	case <-idle:
	case <-time.After(within):
	}
}
