package emulator

import "frostshift"

// Time is virtual.
type Time = frostshift.Time

// queue holds what is to happen, the next first: a heap of four children a node, without
// interfaces. What is due at one time happens in the order in which it was asked for, so
// that a run is the same for the same seed.
type queue struct {
	list []event
	seq  uint64
}

type event struct {
	at  Time
	seq uint64
	do  func()
}

func (x *event) before(y *event) bool { return x.at < y.at || x.at == y.at && x.seq < y.seq }

func (q *queue) push(at Time, do func()) {
	q.seq++
	q.list = append(q.list, event{at, q.seq, do})
	i := len(q.list) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !q.list[i].before(&q.list[up]) {
			break
		}
		q.list[i], q.list[up] = q.list[up], q.list[i]
		i = up
	}
}

func (q *queue) pop() event {
	first := q.list[0]
	last := len(q.list) - 1
	e := q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	i := 0
	for {
		least := 4*i + 1
		if least >= last {
			break
		}
		for c := least + 1; c < min(least+4, last); c++ {
			if q.list[c].before(&q.list[least]) {
				least = c
			}
		}
		if !q.list[least].before(&e) {
			break
		}
		q.list[i] = q.list[least]
		i = least
	}
	if last > 0 {
		q.list[i] = e
	}
	return first
}
