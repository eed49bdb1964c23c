package inflight

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

// What members say to each other: a mark, a version, what it is, who speaks, instants in ms on the
// speaker's clock, and hosts. A form of another version is not read.
const (
	// Mark is the first byte of each packet, by which it is told from others.
	Mark          = 'L'
	packetVersion = 1
	kindDraws     = 1    // the hosts that the speaker draws from
	kindOut       = 2    // what it has out where the one spoken to draws
	kindWide      = 3    // it draws from more hosts than can be named
	asksBit       = 0x80 // with the kind: the speaker knows nothing of the way back yet
	mostName      = 64
	headBytes     = 5 + 4 + 4 + 4 + 2 + 2 + 2 + 2 + 1
	noEcho        = 65535 * time.Millisecond
)

type message struct {
	kind    byte
	all     bool
	asks    bool
	from    string
	session uint32
	stamp   uint32        // when it was sent
	echo    uint32        // the stamp of the last that came from the one spoken to
	held    time.Duration // since when; noEcho: nothing came of late
	waited  time.Duration // since what it says has changed
	knows   uint16        // digest of the hosts that the one spoken to is held to draw from
	seq     uint16        // of packets to the one spoken to
	loses   float64       // part of what that one sends that does not come
	list    []count
}

func stampOf(now Time) uint32 { return uint32(now / time.Millisecond) }

func (m *message) encode() []byte {
	kind := m.kind
	if m.all {
		kind, m.list = kindWide, nil
	}
	if m.asks {
		kind |= asksBit
	}
	b := make([]byte, 0, headBytes+len(m.from)+9*len(m.list))
	b = append(b, Mark, packetVersion, kind, byte(len(m.from)), byte(len(m.list)))
	b = append(b, m.from...)
	b = binary.BigEndian.AppendUint32(b, m.session)
	b = binary.BigEndian.AppendUint32(b, m.stamp)
	b = binary.BigEndian.AppendUint32(b, m.echo)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(m.held, 0), noEcho)/time.Millisecond))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(m.waited, 0), noEcho)/time.Millisecond))
	b = binary.BigEndian.AppendUint16(b, m.knows)
	b = binary.BigEndian.AppendUint16(b, m.seq)
	b = append(b, byte(100*min(max(m.loses, 0), 1)))
	for _, c := range m.list {
		b = binary.BigEndian.AppendUint64(b, uint64(c.host))
		b = append(b, byte(min(c.n, mostCount)))
	}
	return b
}

// decode reads what came from a peer; false: it is nothing that a member says.
func (m *message) decode(b []byte) bool {
	if len(b) < headBytes || b[0] != Mark || b[1] != packetVersion {
		return false
	}
	m.kind, m.asks = b[2]&^asksBit, b[2]&asksBit != 0
	if m.kind < kindDraws || m.kind > kindWide {
		return false
	}
	n, hosts := int(b[3]), int(b[4])
	if n == 0 || n > mostName || hosts > mostHosts || len(b) != headBytes+n+9*hosts || !utf8.Valid(b[5:5+n]) {
		return false
	}
	m.from = string(b[5 : 5+n])
	if m.kind == kindWide {
		m.kind, m.all = kindDraws, true
	}
	b = b[5+n:]
	m.session, m.stamp, m.echo = binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:])
	m.held = time.Duration(binary.BigEndian.Uint16(b[12:])) * time.Millisecond
	m.waited = time.Duration(binary.BigEndian.Uint16(b[14:])) * time.Millisecond
	m.knows = binary.BigEndian.Uint16(b[16:])
	m.seq, m.loses = binary.BigEndian.Uint16(b[18:]), min(1, float64(b[20])/100)
	b = b[21:]
	for i := range hosts {
		c := count{HostID(binary.BigEndian.Uint64(b[9*i:])), int(b[9*i+8])}
		if c.n > mostCount || i > 0 && c.host <= m.list[i-1].host { // in order, and so each once
			return false
		}
		m.list = append(m.list, c)
	}
	return true
}

// digest is of the hosts that somebody draws from, to tell whether another holds the same.
func digest(list []HostID, all bool) uint16 {
	if all {
		return 1
	}
	x := uint64(len(list)) + 2
	for _, h := range list {
		x = (x ^ uint64(h)) * 0x9e3779b97f4a7c15
		x ^= x >> 29
	}
	return uint16(x >> 40)
}
