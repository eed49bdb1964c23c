package gossip

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"frostshift/internal/peers"
)

// Status is what operators are shown.
type Status struct {
	Name    string
	Listen  string
	View    peers.View
	Members []MemberStatus
	// Keys are fingerprints, the first is that which is used for sending.
	Keys []string `json:",omitempty"`
	// Dropped and Refused are packets and connections beyond what the sockets take, Sent and
	// SentBytes what was sent.
	Dropped, Refused, Sent, SentBytes int64
	Health                            int  // of detection here, 0 is best: Lifeguard's own doubt
	Leaving                           bool // it has said so
}

// MemberStatus is a member as it is held.
type MemberStatus struct {
	peers.Status
	RoundTrip time.Duration `json:",omitempty"`
	Twice     bool          `json:",omitempty"` // another has its name
}

// Status is how things stand. Where the agent has ended it is empty but for the name.
func (b *Agent) Status(ctx context.Context) (s Status) {
	s.Name, s.Listen = b.cfg.Name, b.Addr()
	s.Dropped, s.Refused, s.Sent, s.SentBytes = b.t.dropped.Load(), b.t.refused.Load(), b.t.sent.Load(), b.t.sentBytes.Load()
	s.Health = b.list.GetHealthScore()
	var members []peers.Status
	b.ask(ctx, func(r *peers.Registry) {
		now := time.Since(b.began)
		r.Tick(now)
		s.View, members = r.View(), r.Members(now)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Leaving = b.leaving
	for _, m := range members {
		s.Members = append(s.Members, MemberStatus{Status: m, RoundTrip: b.rtts[m.Name], Twice: time.Since(b.twice[m.Name]) < time.Minute})
	}
	if b.ring != nil {
		for _, k := range b.ring.GetKeys() {
			s.Keys = append(s.Keys, Fingerprint(k))
		}
	}
	return s
}

// Fingerprint names a key without telling it.
func Fingerprint(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}
