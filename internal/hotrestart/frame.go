// Package hotrestart is the link between two processes of one gateway while one takes over from
// the other: a Unix socket on which each tells the other what it has to know. It frames,
// checks and bounds; what the messages say is for whoever sends and takes them. It knows
// nothing of hosts, clients or requests.
package hotrestart

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Version is that of the messages. A process of another version is not spoken to.
const Version = 1

// Kind says what a message is.
type Kind uint8

// Kinds.
const (
	Hello   Kind = 1 + iota // the first of a process that starts: its version
	State                   // the answer: all that is known
	Busy                    // the answer where another process is taking over already
	Note                    // what has changed since
	Call                    // asks for something: a number, and what
	Ack                     // says what came of it: the number, and what is wrong
	Serving                 // the process that started takes clients now, and what it says of itself; again as that changes
	kinds
)

// mostPayload bounds a message.
const mostPayload = 16 << 20

// ErrDamaged is a message that is none, or not as it was sent.
var ErrDamaged = errors.New("hot restart: damaged message")

// headLen is a frame's head: the payload's length, the kind, and a checksum over both.
const headLen = 4 + 1 + 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(k Kind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, castagnoli), castagnoli, payload)
}

// AppendFrame appends a message as it goes over the link.
func AppendFrame(b []byte, k Kind, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, byte(k))
	b = binary.BigEndian.AppendUint32(b, sum(k, payload))
	return append(b, payload...)
}

// ReadFrame reads the next message. It takes up memory for what has come, not for what is
// announced.
func ReadFrame(r io.Reader) (Kind, []byte, error) {
	var head [headLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n, k := binary.BigEndian.Uint32(head[:]), Kind(head[4])
	if n > mostPayload || k == 0 || k >= kinds {
		return 0, nil, fmt.Errorf("%w: kind %d of %d bytes", ErrDamaged, k, n)
	}
	var payload bytes.Buffer
	if got, err := io.CopyN(&payload, r, int64(n)); err != nil {
		return 0, nil, fmt.Errorf("%w: %d of %d bytes came", ErrDamaged, got, n)
	}
	if sum(k, payload.Bytes()) != binary.BigEndian.Uint32(head[5:]) {
		return 0, nil, fmt.Errorf("%w: its checksum differs", ErrDamaged)
	}
	return k, payload.Bytes(), nil
}
