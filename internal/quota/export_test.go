package quota

import "fmt"

// Rewrite changes what a member says, as a liar would; polls and strange packets stay.
func Rewrite(data []byte, f func(want, loan float64) (float64, float64)) []byte {
	var m message
	if !m.decode(data) || m.kind != kindReply {
		return data
	}
	for i := range m.entries {
		m.entries[i].a, m.entries[i].b = f(m.entries[i].a, m.entries[i].b)
	}
	return m.encode()
}

// Kept is how much state a store holds.
func (b *Store) Kept() (played, owned, peers int) { return len(b.played), len(b.owned), len(b.peers) }

// Rename has a word come from another process each time, of the same name or of one that nobody has.
func Rename(data []byte, turn int) []byte {
	var m message
	if !m.decode(data) || m.kind != kindReply {
		return data
	}
	if m.from.boot += uint64(turn); turn%3 == 0 {
		m.from.name = fmt.Sprint("liar", turn)
	}
	return m.encode()
}
