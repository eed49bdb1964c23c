package override

import (
	"encoding/binary"
	"unicode/utf8"
)

// Packet is to be sent to a member, as it is and at once; it may be lost, come twice or late.
type Packet struct {
	To   string
	Data []byte
}

// What members say to each other: a mark, a version, a kind, who speaks, and overrides or digests. A form
// of another version is not read.
const (
	// Mark is the first byte of each packet, by which it is told from others.
	Mark          = 'E'
	packetVersion = 1
	mostName      = 64   // bytes of a gateway's name
	mostHost      = 255  // bytes of a host's
	mostBytes     = 1024 // of the overrides in a packet
	entryBytes    = 1 + 8 + 1 + 1
)

// valid says whether a member may say the override.
func (w Entry) valid() bool {
	return name(w.Host, mostHost) && name(w.By, mostName) && w.Version > 0 && w.Version <= mostVersion
}

func name(s string, most int) bool { return s != "" && len(s) <= most && utf8.ValidString(s) }

type kind byte

const (
	asks     kind = iota // overrides: say when they hold with you
	holds                // overrides that hold here
	tells                // overrides that you may lack
	compares             // digests: give me what I lack, and yours
	answers              // digests: give me what I lack
)

type message struct {
	kind    kind
	from    string
	entries []Entry
	digests [buckets]uint64
}

// appendWord is the form of an override, the same at all gateways.
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

// fitting is how many of the overrides go in one packet, one at least.
func fitting(entries []Entry) int {
	n, size := 0, 0
	for _, w := range entries {
		if size += entryBytes + len(w.Host) + len(w.By); n > 0 && size > mostBytes {
			break
		}
		n++
	}
	return n
}

func (m *message) encode() []byte {
	b := []byte{Mark, packetVersion, byte(m.kind), byte(len(m.from))}
	b = append(b, m.from...)
	if m.kind >= compares {
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

// decode reads what came from a peer; false: it is nothing that a member says.
func (m *message) decode(b []byte) bool {
	if len(b) < 4 || b[0] != Mark || b[1] != packetVersion || kind(b[2]) > answers {
		return false
	}
	m.kind = kind(b[2])
	var ok bool
	if m.from, b, ok = cutName(b[3:]); !ok || !name(m.from, mostName) {
		return false
	}
	if m.kind >= compares {
		if len(b) != 8*buckets {
			return false
		}
		for i := range m.digests {
			m.digests[i] = binary.BigEndian.Uint64(b[8*i:])
		}
		return true
	}
	for len(b) > 0 {
		if len(b) < entryBytes || b[0] > 1 {
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

// mostVersion is far more than operators say: one who claims the last version there is would leave no room
// for later overrides.
const mostVersion = 1 << 62

// cutName takes a name with its length before it.
func cutName(b []byte) (s string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
