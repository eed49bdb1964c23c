//go:build review

// Package stand holds the stand-ins of the review's cases: hosts, a discovery, clients, and the
// platform that starts a gateway with the command of the deploy file. They do what the pages say
// of them, on loopback addresses and the real clock.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Record is the case's record: a line for whatever is sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

// NewRecord begins a record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), begun: time.Now()}, nil
}

// At is a time as the record shows it: seconds since its beginning.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and shows it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Write adds what a process writes to its log.
func (r *Record) Write(b []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimRight(string(b), "\n"), "\n") {
		r.Add("log: %s", line)
	}
	return len(b), nil
}

// Close ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
