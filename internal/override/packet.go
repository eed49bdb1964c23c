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
	Mark            = 'E'
	packetVersion   = 1
	maxNameBytes    = 64            // bytes of a gateway name
	maxHostBytes    = 255           // bytes of a host
	maxEntriesBytes = 1024          // bytes of the overrides in a packet
	minEntryBytes   = 1 + 8 + 1 + 1 // bytes of an override without its names
)

// valid reports whether the names and the version of an override are within their bounds.
func (w Entry) valid() bool {
	return validName(w.Host, maxHostBytes) && validName(w.By, maxNameBytes) && w.Version > 0 && w.Version <= maxVersion
}

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
	entries []Entry
	digests [bucketCount]uint64
}

// appendEntry appends the encoding of an override, which is the same at all gateways: the digests hash it.
func appendEntry(b []byte, w Entry) []byte {
	out := byte(0)
	if w.Out {
		out = 1
	}
	b = append(b, out)
	b = binary.BigEndian.AppendUint64(b, w.Version)
	b = append(append(b, byte(len(w.Host))), w.Host...)
	return append(append(b, byte(len(w.By))), w.By...)
}

// fitCount returns how many of the overrides fit in one packet, at least 1 unless there are none.
func fitCount(entries []Entry) int {
	n, size := 0, 0
	for _, w := range entries {
		if size += minEntryBytes + len(w.Host) + len(w.By); n > 0 && size > maxEntriesBytes {
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
	for _, w := range m.entries {
		b = appendEntry(b, w)
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
		if len(b) < minEntryBytes || b[0] > 1 {
			return false
		}
		w := Entry{Out: b[0] == 1, Version: binary.BigEndian.Uint64(b[1:])}
		if w.Host, b, ok = cutName(b[9:]); !ok {
			return false
		}
		if w.By, b, ok = cutName(b); !ok || !w.valid() {
			return false
		}
		m.entries = append(m.entries, w)
	}
	return len(m.entries) > 0
}

// maxVersion is far more than operators can reach. The bound exists because an override with the maximum
// value of the type would leave no version for later overrides.
const maxVersion = 1 << 62

// cutName reads a name that is preceded by its length in one byte, and returns the bytes after it.
func cutName(b []byte) (s string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
