package gateway

import (
	"slices"
	"sync/atomic"
)

// packetsWaiting bounds packets that wait for a part. Beyond it they are lost, as on a link.
const packetsWaiting = 512

// inbox is packets from other gateways that wait for one of the gateway's parts in the talk.
type inbox struct {
	in   chan []byte
	lost atomic.Int64
}

func newInbox() inbox { return inbox{in: make(chan []byte, packetsWaiting)} }

// heard takes a packet from another gateway. It does not wait.
func (b *inbox) heard(data []byte) {
	select {
	case b.in <- slices.Clone(data):
	default:
		b.lost.Add(1)
	}
}

// packet is what the packages that decide what is said call one, each by a type of its own.
type packet = struct {
	To   string
	Data []byte
}

// sendAll sends packets to members, where this process is one.
func sendAll[P ~packet](g *Gateway, list []P) {
	if len(list) == 0 {
		return
	}
	b := g.talks()
	if b == nil {
		return
	}
	for _, p := range list {
		q := packet(p)
		b.Send(q.To, q.Data)
	}
}
