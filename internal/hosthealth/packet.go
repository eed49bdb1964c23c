package hosthealth

import (
	"encoding/binary"
	"time"
	"unicode/utf8"
)

// Packet is to be sent to a member, as it is and at once; it may be lost, come twice or late.
type Packet struct {
	To   string
	Data []byte
}

// What members say to each other: a mark, a version, who speaks, and reports of hosts. A form of
// another version is not read.
const (
	// Mark is the first byte of each packet, by which it is told from others.
	Mark          = 'H'
	packetVersion = 1
	mostName      = 64
	reportBytes   = 8 + 8 + 4 + 1 + 4*(1+Classes)
	mostAge       = time.Hour
	countParts    = 64 // counts are told in parts of one
)

type message struct {
	from    string
	reports []report
}

type report struct {
	host    HostID
	started int64
	age     time.Duration // of the last outcome
	tally   tally
}

func (m *message) encode() []byte {
	b := make([]byte, 0, 4+len(m.from)+reportBytes*len(m.reports))
	b = append(b, Mark, packetVersion, byte(len(m.from)), byte(len(m.reports)))
	b = append(b, m.from...)
	for i := range m.reports {
		r := &m.reports[i]
		b = binary.BigEndian.AppendUint64(b, uint64(r.host))
		b = binary.BigEndian.AppendUint64(b, uint64(r.started))
		b = binary.BigEndian.AppendUint32(b, uint32(min(max(r.age, 0), mostAge)/time.Millisecond))
		b = append(b, byte(r.tally.last))
		for j := range r.tally.good {
			b = binary.BigEndian.AppendUint16(b, uint16(min(r.tally.good[j]*countParts, 65535)))
			b = binary.BigEndian.AppendUint16(b, uint16(min(r.tally.bad[j]*countParts, 65535)))
		}
	}
	return b
}

// decode reads what came from a peer; false: it is nothing that a member says.
func (m *message) decode(b []byte) bool {
	if len(b) < 4 || b[0] != Mark || b[1] != packetVersion {
		return false
	}
	n, count := int(b[2]), int(b[3])
	if n == 0 || n > mostName || count > mostTold || len(b) != 4+n+count*reportBytes || !utf8.Valid(b[4:4+n]) {
		return false
	}
	m.from = string(b[4 : 4+n])
	m.reports = make([]report, count)
	for i := range m.reports {
		r, p := &m.reports[i], b[4+n+i*reportBytes:]
		r.host, r.started = HostID(binary.BigEndian.Uint64(p)), int64(binary.BigEndian.Uint64(p[8:]))
		r.age = time.Duration(binary.BigEndian.Uint32(p[16:])) * time.Millisecond
		if r.tally.last = Outcome(p[20]); r.tally.last > Broke || r.tally.last == Erred || r.age > mostAge || r.started < 0 {
			return false
		}
		for j := range r.tally.good {
			r.tally.good[j] = float64(binary.BigEndian.Uint16(p[21+4*j:])) / countParts
			r.tally.bad[j] = float64(binary.BigEndian.Uint16(p[23+4*j:])) / countParts
		}
	}
	return true
}
