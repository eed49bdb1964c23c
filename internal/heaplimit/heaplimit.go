// Package heaplimit sets the memory limit of the Go runtime to a part of what a process may use, for processes that
// share one bound for a while. A limit below what is in use has the runtime collect garbage without a pause: while the
// part is smaller than that, the limit stays a little above what is in use, and follows it down.
package heaplimit

import (
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// lookEvery is the time between two looks at what is in use while the part is not the whole. Each look beyond the part
	// costs a collection.
	lookEvery = 100 * time.Millisecond
	// sparePart is one part in so many of the live heap that may be allocated between two collections, leastSpare the
	// least of that in bytes. The runtime keeps 1 MiB of it back.
	sparePart  = 4
	leastSpare = 3 << 20
)

// Limit is the memory limit of the process's runtime. It is safe for concurrent use.
type Limit struct {
	whole int64 // bytes, of a process that shares with none

	mu    sync.Mutex
	ended chan struct{} // closed: the limit is not followed any more; nil: it is not followed
}

// New sets the limit to a number of bytes.
func New(whole int64) *Limit {
	debug.SetMemoryLimit(whole)
	return &Limit{whole: whole}
}

// Share keeps this process to a part of the whole, in (0, 1]. What it holds beyond that goes back to the system as it is
// let go of.
func (l *Limit) Share(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		close(l.ended)
		l.ended = nil
	}
	if part >= 1 {
		debug.SetMemoryLimit(l.whole)
		return
	}
	l.ended = make(chan struct{})
	go l.follow(int64(part*float64(l.whole)), l.ended)
}

// follow sets the limit to a target, or by what is in use where that is more, until it is ended.
func (l *Limit) follow(target int64, ended <-chan struct{}) {
	for {
		if inUse().held() > target {
			debug.FreeOSMemory()
		}
		if !l.set(max(target, inUse().least()), ended) {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(lookEvery):
		}
	}
}

// set sets the limit, unless another part holds by now.
func (l *Limit) set(limit int64, ended <-chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
	}
	debug.SetMemoryLimit(limit)
	return true
}

// usage is what the runtime has in use, in bytes.
type usage struct {
	live    int64 // of the heap, by the last collection
	objects int64 // of the heap, with garbage
	free    int64 // of the heap, and not given back to the system
	other   int64 // collecting doesn't free it
}

// held is what the system has given, in bytes.
func (u usage) held() int64 { return u.objects + u.free + u.other }

// least is the lowest limit at which collections have a pause between them.
func (u usage) least() int64 { return u.other + u.live + max(u.live/sparePart, leastSpare) }

// The runtime's names of what it has in use (runtime/metrics).
const (
	liveName = iota
	totalName
	releasedName
	freeName
	objectsName
	names
)

var metricNames = [names]string{
	liveName:     "/gc/heap/live:bytes",
	totalName:    "/memory/classes/total:bytes",
	releasedName: "/memory/classes/heap/released:bytes",
	freeName:     "/memory/classes/heap/free:bytes",
	objectsName:  "/memory/classes/heap/objects:bytes",
}

// inUse reads what is in use. What the runtime doesn't tell is 0.
func inUse() usage {
	samples := make([]metrics.Sample, names)
	for i := range samples {
		samples[i].Name = metricNames[i]
	}
	metrics.Read(samples)
	value := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	u := usage{live: value(liveName), objects: value(objectsName), free: value(freeName)}
	u.other = value(totalName) - value(releasedName) - u.free - u.objects
	return u
}
