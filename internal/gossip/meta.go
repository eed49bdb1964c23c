package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"unicode/utf8"

	"frostshift/internal/peers"
)

// What a member says of itself goes with memberlist's alive messages, at most metaMost bytes: a
// version of this form, and then parts, each a tag, a length and its bytes. A part whose tag is
// not known is passed over, so that versions can stand beside each other; a form of another
// version is not read, and its member counts with nothing known of it.
const (
	metaVersion = 1
	metaMost    = 256
)

const (
	tagStarted  = 1 // 8 bytes, milliseconds
	tagZone     = 2 // text
	tagTakes    = 3 // 8 bytes, a float
	tagVersions = 4 // the least and the most version of what is said
	tagLeaves   = 5 // nothing: it leaves
)

// The versions of what is said among gateways that this program understands.
const (
	leastVersion = 1
	mostVersion  = 1
)

var errMeta = errors.New("what the member says of itself can't be read")

func encodeMeta(m *peers.Member, leaves bool) []byte {
	b := []byte{metaVersion}
	b = append(b, tagStarted, 8)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Started))
	if m.Zone != "" {
		b = append(append(b, tagZone, byte(len(m.Zone))), m.Zone...)
	}
	b = append(b, tagTakes, 8)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(m.Takes))
	if leaves {
		b = append(b, tagLeaves, 0)
	}
	return append(b, tagVersions, 2, m.Least, m.Most)
}

// decodeMeta reads into a member what came from a peer: nothing in it is trusted.
func decodeMeta(b []byte, m *peers.Member) (leaves bool, err error) {
	m.Takes = 1
	if len(b) == 0 || len(b) > metaMost {
		return false, errMeta
	}
	if b[0] != metaVersion {
		return false, nil
	}
	for b = b[1:]; len(b) > 0; {
		if len(b) < 2 || len(b)-2 < int(b[1]) {
			return false, errMeta
		}
		tag, part := b[0], b[2:2+int(b[1])]
		b = b[2+len(part):]
		switch {
		case tag == tagStarted && len(part) == 8:
			m.Started = int64(binary.BigEndian.Uint64(part))
		case tag == tagZone && len(part) <= 64 && utf8.Valid(part):
			m.Zone = string(part)
		case tag == tagTakes && len(part) == 8:
			if f := math.Float64frombits(binary.BigEndian.Uint64(part)); f > 0 && f <= 1000 {
				m.Takes = f
			}
		case tag == tagVersions && len(part) == 2:
			m.Least, m.Most = part[0], part[1]
		case tag == tagLeaves:
			leaves = true
		}
	}
	return leaves, nil
}
