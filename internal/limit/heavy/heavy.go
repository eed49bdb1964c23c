// Package heavy finds the keys that come most often of very many, in fixed memory, with the names
// that they have: Space-Saving of Metwally, Agrawal and El Abbadi (2005), with counts that fade so
// that what was heavy long ago gives way. A key that makes more than one part in the size of all
// weight is always among them, and no count is too high by more than its Error.
//
// It knows neither clock nor rules. A List is not safe for concurrent use.
package heavy

import (
	"cmp"
	"slices"
)

// Key is a key that comes often.
type Key struct {
	Hash  uint64
	Name  string
	Count float64 // weight, the error included
	Error float64 // that the count may be too high by
}

// List is the heaviest of the keys that were added.
type List struct {
	keys []Key
	size int
	// longest is how much of a name is kept, in bytes.
	longest int
	gain    float64 // what one weighs now: it grows, in place of all counts fading
}

// New makes a list of so many keys, with names of so many bytes at most.
func New(size, longest int) *List { return &List{size: size, longest: longest, gain: 1} }

const mostGain = 1e100

// Add adds weight to a key. name is asked for only if the key is new here.
func (l *List) Add(hash uint64, weight float64, name func() string) {
	weight *= l.gain
	least := -1
	for i := range l.keys { // short enough that a heap would cost more
		k := &l.keys[i]
		if k.Hash == hash {
			k.Count += weight
			return
		}
		if least < 0 || k.Count < l.keys[least].Count {
			least = i
		}
	}
	if len(l.keys) < l.size {
		l.keys = append(l.keys, Key{Hash: hash, Name: l.short(name()), Count: weight})
		return
	}
	k := &l.keys[least]
	*k = Key{Hash: hash, Name: l.short(name()), Count: k.Count + weight, Error: k.Count}
}

func (l *List) short(name string) string {
	if len(name) > l.longest {
		name = name[:l.longest]
	}
	return string([]byte(name)) // not a part of something larger
}

// Fade leaves a part of every count.
func (l *List) Fade(part float64) {
	if !(part > 0 && part < 1) {
		return
	}
	if l.gain /= part; l.gain > mostGain {
		for i := range l.keys {
			l.keys[i].Count /= l.gain
			l.keys[i].Error /= l.gain
		}
		l.gain = 1
	}
}

// Top are the heaviest, heaviest first, with what they weigh now.
func (l *List) Top(n int) []Key {
	list := slices.Clone(l.keys)
	for i := range list {
		list[i].Count /= l.gain
		list[i].Error /= l.gain
	}
	slices.SortFunc(list, func(x, y Key) int { return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Hash, y.Hash)) })
	return list[:min(n, len(list))]
}
