// Package heavy finds the most frequent of a very large number of keys, and their names, in fixed
// memory. It uses the Space-Saving algorithm of Metwally, Agrawal and El Abbadi (2005), with counts
// that decay, so that keys that were heavy long ago are replaced. In a list of n keys, a key that has
// more than 1/n of the total weight is always included, and no count is too high by more than its
// Error.
//
// The package reads no clock and contains no limit rules. A List is not safe for concurrent use.
package heavy

import (
	"cmp"
	"slices"
)

// Key is a frequent key, as Top returns it.
type Key struct {
	Hash  uint64
	Name  string
	Count float64 // total weight after decay, including Error
	Error float64 // upper bound of how much Count is too high
}

// List holds the heaviest of the keys that were added.
type List struct {
	keys []Key
	size int
	// maxName is the maximum length of a stored name, in bytes. Longer names are cut.
	maxName int
	gain    float64 // scale of newly added weight: Fade raises it instead of reducing all counts
}

// New makes a list of at most size keys, with names cut to maxName bytes.
func New(size, maxName int) *List { return &List{size: size, maxName: maxName, gain: 1} }

// maxGain is the scale above which Fade normalizes all counts, so that they do not overflow.
const maxGain = 1e100

// Add adds weight to a key. It calls name only if the key is not in the list. If the list is full,
// such a key replaces the one with the lowest count, and inherits that count as its Error.
func (l *List) Add(hash uint64, weight float64, name func() string) {
	weight *= l.gain
	lightest := -1
	for i := range l.keys { // the list is short enough that a heap would cost more
		k := &l.keys[i]
		if k.Hash == hash {
			k.Count += weight
			return
		}
		if lightest < 0 || k.Count < l.keys[lightest].Count {
			lightest = i
		}
	}
	if len(l.keys) < l.size {
		l.keys = append(l.keys, Key{Hash: hash, Name: l.cutName(name()), Count: weight})
		return
	}
	k := &l.keys[lightest]
	*k = Key{Hash: hash, Name: l.cutName(name()), Count: k.Count + weight, Error: k.Count}
}

// cutName returns a copy of at most maxName bytes of a name.
func (l *List) cutName(name string) string {
	if len(name) > l.maxName {
		name = name[:l.maxName]
	}
	return string([]byte(name)) // a copy, so that no larger string is kept in memory
}

// Fade multiplies every count by factor. It ignores a factor that is not between 0 and 1, exclusive.
func (l *List) Fade(factor float64) {
	if !(factor > 0 && factor < 1) {
		return
	}
	if l.gain /= factor; l.gain > maxGain {
		for i := range l.keys {
			l.keys[i].Count /= l.gain
			l.keys[i].Error /= l.gain
		}
		l.gain = 1
	}
}

// Top returns up to n of the heaviest keys, heaviest first, with their decayed counts.
func (l *List) Top(n int) []Key {
	top := slices.Clone(l.keys)
	for i := range top {
		top[i].Count /= l.gain
		top[i].Error /= l.gain
	}
	slices.SortFunc(top, func(x, y Key) int { return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Hash, y.Hash)) })
	return top[:min(n, len(top))]
}
