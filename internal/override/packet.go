package override

import (
	"encoding/binary"
	"unicode/utf8"
)

// Packet is a datagram to be sent to a member unchanged and at once. It may be lost, duplicated or delayed.
type Packet struct {
	To   string
	Data []byte
}

// A packet consists of Mark, the packet version, the kind, the name of the sender, and overrides or digests.
// Packets of another version are rejected.
const (
	// Mark is the first byte of each packet. It distinguishes the packets of this package from others.
	Mark           = 'E'
	packetVersion  = 2
	maxNameBytes   = 64                 // bytes of a gateway name
	maxHostBytes   = 255                // bytes of a host
	maxStatesBytes = 1024               // bytes of the overrides in a packet with more than one
	eventBytes     = 8 + 1              // bytes of an event without its name
	banBytes       = 1 + eventBytes     // bytes of a ban without its name
	minStateBytes  = 1 + eventBytes + 1 // bytes of a state without its names and bans
)

// validName reports whether s is a non-empty valid UTF-8 string of at most limit bytes.
func validName(s string, limit int) bool { return s != "" && len(s) <= limit && utf8.ValidString(s) }

// kind is the kind of a message. Kinds from digestRequest on carry digests, the others overrides.
type kind byte

const (
	confirmRequest kind = iota // overrides; asks the receiver to confirm them once applied
	confirmation               // overrides that the sender has applied
	update                     // overrides that the receiver may lack
	digestRequest              // digests; asks for a digestReply and for the overrides that the sender lacks
	digestReply                // digests; asks for the overrides that the sender lacks
)

// message is a decoded packet.
type message struct {
	kind    kind
	from    string
	states  []State
	digests [bucketCount]uint64
}

// appendState appends the encoding of a state, which is the same at all gateways: the digests hash it.
func appendState(b []byte, s *State) []byte {
	b = appendName(b, s.Host)
	b = appendEvent(b, s.Returned)
	b = append(b, byte(len(s.Bans)))
	for _, ban := range s.Bans {
		covered := byte(0)
		if ban.Covered {
			covered = 1
		}
		b = append(b, covered)
		b = appendEvent(b, ban.Event)
	}
	return b
}

func appendEvent(b []byte, v Event) []byte {
	return appendName(binary.BigEndian.AppendUint64(b, v.Version), v.By)
}

func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// size returns the number of bytes of the encoding.
func (s *State) size() int {
	size := minStateBytes + len(s.Host) + len(s.Returned.By)
	for _, ban := range s.Bans {
		size += banBytes + len(ban.By)
	}
	return size
}

// fitCount returns how many of the states fit in one packet, at least 1 unless there are none.
func fitCount(states []State) int {
	n, size := 0, 0
	for i := range states {
		if size += states[i].size(); n > 0 && size > maxStatesBytes {
			break
		}
		n++
	}
	return n
}

// encode returns the message as a packet.
func (m *message) encode() []byte {
	b := []byte{Mark, packetVersion, byte(m.kind), byte(len(m.from))}
	b = append(b, m.from...)
	if m.kind >= digestRequest {
		for _, d := range m.digests {
			b = binary.BigEndian.AppendUint64(b, d)
		}
		return b
	}
	for i := range m.states {
		b = appendState(b, &m.states[i])
	}
	return b
}

// decode reads a packet from a peer. It returns false if the packet is malformed.
func (m *message) decode(b []byte) bool {
	if len(b) < 4 || b[0] != Mark || b[1] != packetVersion || kind(b[2]) > digestReply {
		return false
	}
	m.kind = kind(b[2])
	var ok bool
	if m.from, b, ok = cutName(b[3:]); !ok || !validName(m.from, maxNameBytes) {
		return false
	}
	if m.kind >= digestRequest {
		if len(b) != 8*bucketCount {
			return false
		}
		for i := range m.digests {
			m.digests[i] = binary.BigEndian.Uint64(b[8*i:])
		}
		return true
	}
	for len(b) > 0 {
		var s State
		if s, b, ok = cutState(b); !ok || !s.valid() {
			return false
		}
		m.states = append(m.states, s)
	}
	return len(m.states) > 0
}

// maxVersion is far more than operators can reach. The bound exists because an override with the maximum
// value of the type would leave no version for later overrides.
const maxVersion = 1 << 62

// cutState reads a state, and returns the bytes after it.
func cutState(b []byte) (s State, rest []byte, ok bool) {
	if s.Host, b, ok = cutName(b); !ok {
		return s, nil, false
	}
	if s.Returned, b, ok = cutEvent(b); !ok || len(b) == 0 {
		return s, nil, false
	}
	count := int(b[0])
	b = b[1:]
	for range count {
		if len(b) == 0 || b[0] > 1 {
			return s, nil, false
		}
		ban := Ban{Covered: b[0] == 1}
		if ban.Event, b, ok = cutEvent(b[1:]); !ok {
			return s, nil, false
		}
		s.Bans = append(s.Bans, ban)
	}
	return s, b, true
}

// cutEvent reads an event, and returns the bytes after it.
func cutEvent(b []byte) (v Event, rest []byte, ok bool) {
	if len(b) < eventBytes {
		return v, nil, false
	}
	v.Version = binary.BigEndian.Uint64(b)
	v.By, rest, ok = cutName(b[8:])
	return v, rest, ok
}

// cutName reads a name that is preceded by its length in one byte, and returns the bytes after it.
func cutName(b []byte) (s string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
