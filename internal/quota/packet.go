package quota

import (
	"encoding/binary"
	"iter"
	"math"
	"slices"
	"time"
	"unicode/utf8"
)

// Packet is to be sent to a member, as it is and at once; it may be lost, come twice or late.
type Packet struct {
	To   string
	Data []byte
}

// What members say to each other: a version, a kind, who speaks (name and boot), its clock, which
// word of the other it goes back to (boot and clock; 0: none), and entries. A form of another
// version is not read: who speaks it keeps to its even part.
const (
	packetVersion = 1
	kindPoll      = 1 // an owner's: entries are a limit and what is granted
	kindReply     = 2 // a member's: a limit, what is wanted beyond what is kept, what is lent; unasked (no echo): whether a poll was missed
	entryBytes    = 24
	mostEntries   = 40 // in a packet: it stays below 1,200 bytes
	mostName      = 64
)

type message struct {
	kind     byte
	from     peer
	at       Time
	echoBoot uint64
	echo     Time
	entries  []entry
}

type entry struct {
	id   uint64
	a, b float64
}

// chunks parts entries into packets.
func chunks(list []entry) iter.Seq[[]entry] { return slices.Chunk(list, mostEntries) }

func (m *message) encode() []byte {
	b := make([]byte, 0, 3+len(m.from.name)+34+entryBytes*len(m.entries))
	b = append(b, packetVersion, m.kind, byte(len(m.from.name)))
	b = append(b, m.from.name...)
	for _, v := range []uint64{m.from.boot, uint64(m.at), m.echoBoot, uint64(m.echo)} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.entries)))
	for _, e := range m.entries {
		b = binary.BigEndian.AppendUint64(b, e.id)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.a))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.b))
	}
	return b
}

// decode reads what came from a peer; false: it is nothing that a member says.
func (m *message) decode(b []byte) bool {
	if len(b) < 3 || b[0] != packetVersion || b[1] != kindPoll && b[1] != kindReply {
		return false
	}
	n := int(b[2])
	if n == 0 || n > mostName || len(b) < 3+n+34 || !utf8.Valid(b[3:3+n]) {
		return false
	}
	m.kind, m.from.name = b[1], string(b[3:3+n])
	b = b[3+n:]
	word := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	m.from.boot, m.at, m.echoBoot, m.echo = word(0), Time(word(1)), word(2), Time(word(3))
	count := int(binary.BigEndian.Uint16(b[32:]))
	b = b[34:]
	if count > mostEntries || len(b) != count*entryBytes || m.at <= 0 || m.echo < 0 || m.at > mostTime || m.echo > mostTime {
		return false
	}
	m.entries = make([]entry, count)
	for i := range m.entries {
		e := entry{binary.BigEndian.Uint64(b), math.Float64frombits(binary.BigEndian.Uint64(b[8:])), math.Float64frombits(binary.BigEndian.Uint64(b[16:]))}
		if !(e.a >= 0 && e.a <= mostAmount && e.b >= 0 && e.b <= mostAmount) {
			return false
		}
		m.entries[i] = e
		b = b[entryBytes:]
	}
	return true
}

const (
	mostAmount = 1e12
	mostTime   = 200 * 365 * 24 * time.Hour // so that sums of times stay in range
)
