package frostshift

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the lengths of the host lists that are measured.
var sizes = []int{10, 100, 1000, 10_000}

// newSized returns a balancer with n hosts.
func newSized(b *testing.B, n int) *Balancer {
	b.Helper()
	bal, err := New(Settings{Instances: 1, Classes: []Class{{Aim: time.Second, Deadline: 4 * time.Second}}, MaxAttempts: 4, Cancel: true}, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{ID: HostID(i + 1)}
	}
	bal.Start(0)
	bal.Hosts(1, ListFull, list)
	return bal
}

// BenchmarkDecision measures one request from its arrival to its answer.
func BenchmarkDecision(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bal := newSized(b, n)
			var acts []Action
			now := Time(time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += Time(time.Millisecond + 10*time.Microsecond)
				id := RequestID(i + 1)
				bal.Request(now, Request{ID: id, Left: time.Second})
				acts = bal.Drain(acts[:0])
				now += Time(time.Millisecond)
				bal.Outcome(now, Outcome{Request: id, Result: OK, Elapsed: time.Millisecond, Closed: true})
				acts = bal.Drain(acts[:0])
			}
		})
	}
}

// BenchmarkChange measures a change of 1% of the list: as many hosts are removed as added.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes[1:] {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bal := newSized(b, n)
			changed := max(1, n/100)
			next := n + 1
			list := make([]Host, 0, 2*changed)
			now := Time(time.Second)
			var acts []Action
			b.ReportAllocs()
			for b.Loop() {
				list = list[:0]
				for range changed {
					list = append(list, Host{ID: HostID(next - n), State: Removed}, Host{ID: HostID(next)})
					next++
				}
				now += Time(time.Second)
				bal.Hosts(now, ListChanges, list)
				acts = bal.Drain(acts[:0])
			}
		})
	}
}
