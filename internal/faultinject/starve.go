package faultinject

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// starvation is how long the processes of a trial, and the trial itself, were kept from running by others on the
// machine. A deployment has a core of its own: what is late by that is not the gateway's.
type starvation struct {
	mu      sync.Mutex
	samples []starvedSample
	waits   map[int]time.Duration // by process, as of its last sample
}

// starvedSample is all the time lost up to an instant.
type starvedSample struct {
	at   time.Time
	lost time.Duration
}

// sample adds what processes have lost since their last sample, and the trial's own delay.
func (s *starvation) sample(now time.Time, processes []int, own time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits == nil {
		s.waits = map[int]time.Duration{}
	}
	lost := max(0, own)
	for _, pid := range processes {
		wait := runQueueWait(pid)
		if last, known := s.waits[pid]; known && wait > last {
			lost += wait - last
		}
		s.waits[pid] = wait
	}
	if n := len(s.samples); n > 0 {
		lost += s.samples[n-1].lost
	}
	s.samples = append(s.samples, starvedSample{now, lost})
}

// between is how much was lost between two times, by whole samples.
func (s *starvation) between(from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0
	}
	index := func(at time.Time) int {
		n, _ := slices.BinarySearchFunc(s.samples, at, func(x starvedSample, at time.Time) int { return x.at.Compare(at) })
		return n
	}
	first, last := max(0, index(from)-1), min(len(s.samples)-1, index(to))
	return s.samples[last].lost - s.samples[first].lost
}

// runQueueWait is how long the threads of a process have been ready to run and have not run; 0 where the system does
// not say (proc(5), schedstat).
func runQueueWait(pid int) (sum time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(text), &ran, &waited); err == nil {
			sum += time.Duration(waited)
		}
	}
	return sum
}
