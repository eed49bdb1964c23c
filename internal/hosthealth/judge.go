package hosthealth

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// contradicted says whether others, one at least, have had answers where this gateway has none.
func (b *Store) contradicted(h *host) bool {
	for _, t := range h.said {
		if t.last == Answered && t.good[0] >= 0.5 && t.at > h.own.at-b.cfg.Lasts/2 {
			return true
		}
	}
	return false
}

// turn orders gateways by who is to try a host that is down, for each host in another way.
func (b *Store) turn(h HostID, name string) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(h))
	return xxhash.Sum64(append(key[:], name...))
}

// voice is what one reporter, or this gateway, met at a host.
type voice struct {
	*tally
	turn uint64 // when it is to try the host, among all
	zone string // its gateway's
}

// voices are all that count of a host, this gateway's own first.
func (b *Store) voices(h *host) (list []voice) {
	if h.met && b.now-h.own.at < b.span() {
		h.own.fade(b.now, b.span())
		list = append(list, voice{&h.own, b.turn(h.id, b.cfg.Self), b.cfg.Zone})
	}
	for _, name := range slices.Sorted(maps.Keys(h.said)) { // sums of floats depend on their order
		t := h.said[name]
		if b.now-t.at >= b.span() {
			delete(h.said, name)
			continue
		}
		t.fade(b.now, b.span())
		list = append(list, voice{t, b.turn(h.id, name), b.zones[name]})
	}
	return list
}

// here are those whose connections tell whether the host is there for this gateway: of its zone, for a cut between
// zones leaves a host to those on its side. Those of all zones tell where this one has too few gateways, and
// where some of two zones at least were refused and too few of this one have met it.
func (b *Store) here(list []voice) []voice {
	var near []voice
	refused, zones := "", 0
	for _, v := range list {
		if v.zone == b.cfg.Zone {
			near = append(near, v)
		}
		if v.last == Refused && (zones == 0 || v.zone != refused) {
			refused = v.zone
			zones++
		}
	}
	if len(near) >= proofs || b.near+1 >= proofs && zones < 2 {
		return near
	}
	return list
}

// judge is the verdict on a host.
func (b *Store) judge(h *host) Verdict {
	v := Verdict{Host: h.id, Started: h.started}
	list := b.voices(h)
	if v.Reporters = len(list); h.met && v.Reporters > 0 && list[0].tally == &h.own {
		v.Reporters--
	}
	if v.Reporters == 0 {
		return v // its own outcomes are not what others say
	}
	gone, refused, back := b.connections(b.here(list))
	errs := b.errors(list)
	if h.met { // own answers stand against what others say
		own := 0.0
		for i := 1; i <= Classes; i++ {
			own += h.own.speaks(i)
		}
		gone *= 1 + min(h.own.speaks(0), 0)/reporterMost
		errs *= max(0, 1+min(own, 0)/reporterMost)
	}
	v.Doubt = min(max(gone, errs)/sure, 1)
	v.Doubt = math.Round(v.Doubt*doubtParts) / doubtParts
	v.Refused = len(refused)
	if v.Down = v.Refused >= max(2, min(proofs, len(b.others)+1)); !v.Down {
		h.down = 0
	} else if h.down == 0 {
		h.down = b.now
	}
	if v.Down {
		v.Wait = b.waits(h, refused, back)
	}
	if v.Doubt > 0 || v.Down {
		v.Until = b.now + b.cfg.Lasts
	}
	return v
}

// connections is how far connections speak against a host, by whom it is held to be gone (nobody, where it
// is not), and how many had an answer after the last refusal of all.
func (b *Store) connections(list []voice) (sum float64, refused []voice, back int) {
	var answered []voice
	for _, v := range list {
		switch v.last {
		case Refused:
			refused = append(refused, v)
			continue
		case Answered:
			answered = append(answered, v)
		}
		sum += v.speaks(0)
	}
	if len(refused) == 0 {
		return max(sum, 0), nil, 0
	}
	// Refusals stand where they are more than twice the answers since the host is held to have gone, by
	// the median of those who say so: it may be back, or reached by some, and who has said so for long
	// while others were answered may lie.
	last := slices.MaxFunc(refused, func(x, y voice) int { return cmp.Compare(x.at, y.at) }).at
	slices.SortFunc(refused, func(x, y voice) int { return cmp.Compare(x.from, y.from) })
	since, against := refused[len(refused)/2].from, 0
	for _, v := range answered {
		if v.at >= since {
			against++
		}
		if v.at > last {
			back++
		}
	}
	if len(refused) <= 2*against || back >= min(saidBack, len(b.others)) {
		return max(sum, 0), nil, back
	}
	for _, v := range refused {
		sum += v.speaks(0)
	}
	return max(sum, 0), refused, back
}

// errors is how far errors speak against a host. What fails in one class alone, or is served well in another, is not
// the host's fault: more than one reporter's word is needed for either.
func (b *Store) errors(list []voice) float64 {
	sum, worst := 0.0, 0.0
	for i := 1; i <= Classes; i++ {
		class := 0.0
		for _, v := range list {
			class += v.speaks(i)
		}
		if class <= -reporterMost {
			return 0
		}
		worst = max(worst, class)
		sum += class
	}
	if b.cfg.Classes > 1 && sum-worst < reporterMost {
		return 0
	}
	return max(sum, 0)
}

// waits says whether others try a host that is down, by whose turn it is among those who were refused.
func (b *Store) waits(h *host, refused []voice, back int) bool {
	mine := b.turn(h.id, b.cfg.Self)
	at := float64(mine) / math.MaxUint64
	if h.met && h.own.last == Refused && b.now-h.own.at < b.span()+time.Duration(at*ownSpans*float64(b.span())) {
		before := 0
		for _, v := range refused {
			if v.turn < mine {
				before++
			}
		}
		return before >= tries*(1+back)
	}
	// All of it is what others say, or long ago.
	return b.now-h.down < b.cfg.Lasts+time.Duration(at*float64(b.span()))
}
