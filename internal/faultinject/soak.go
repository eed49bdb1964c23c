package faultinject

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// crowdSize is how many clients a crowd has that connect and say nothing.
const crowdSize = 1200

// soakKinds are the kinds of clients that a soak draws from, with how many there are at most.
var soakKinds = []Group{
	{Kind: "heads", N: 250}, {Kind: "halfheads", N: 400}, {Kind: "largeheads", N: 200}, {Kind: "halflarge", N: 300},
	{Kind: "stopped", N: 250}, {Kind: "slowbody", N: 150}, {Kind: "uploads", N: 30}, {Kind: "readers", N: 100},
	{Kind: "slowanswers", N: 40}, {Kind: "answerheads", N: 100}, {Kind: "flood", N: 3}, {Kind: "leavers", N: 30},
	{Kind: "again", N: 30}, {Kind: "odd", N: 3}, {Kind: "each", N: 60},
	{Kind: "paced", N: 60}, {Kind: "headrests", N: 30}, {Kind: "headbreaks", N: 10}, {Kind: "uploadrests", N: 20}, {Kind: "chunkrests", N: 20},
	{Kind: "halfbodies", N: 500}, {Kind: "thinbodies", N: 500}, {Kind: "restingreaders", N: 500},
	{Kind: "steadyreaders", N: 20}, {Kind: "steadyhosts", N: 10}, {Kind: "chunkwriters", N: 20}, {Kind: "stoppers", N: 40},
	{Kind: "flood-ready", N: 60}, {Kind: "unread-ready", N: 60}, {Kind: "flood-options", N: 30}, {Kind: "flood-over", N: 30}, {Kind: "flood-brief", N: 30},
	{Kind: "flood-sound", N: 20}, {Kind: "flood-names", N: 10}, {Kind: "flood-unsound", N: 30}, {Kind: "flood-bytechunks", N: 30}, {Kind: "flood-longanswers", N: 30},
}

// DrawSoak draws a trial from a seed: limits, groups of clients, in some runs a crowd, and signals in series.
func DrawSoak(seed uint64, lasts time.Duration) Trial {
	r := rand.New(rand.NewPCG(seed, 3))
	t := Trial{Seed: seed, MemoryMB: []int{96, 192}[r.IntN(2)], Descriptors: []int{512, 1024}[r.IntN(2)], Lasts: lasts, Upgradable: r.IntN(3) == 0}
	t.Groups = []Group{{Kind: "quiet", N: 20}, {Kind: "everyclass", N: 20}, {Kind: "each", N: 5}, {Kind: "smallbodies", N: 20}}
	kinds := slices.Clone(soakKinds)
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, g := range kinds[:2+r.IntN(4)] {
		g.N = 1 + r.IntN(g.N)
		g.From = time.Duration(r.Int64N(int64(lasts / 3)))
		t.Groups = append(t.Groups, g)
	}
	if r.IntN(3) == 0 {
		t.Groups = append(t.Groups, Group{Kind: "idle", N: crowdSize, From: time.Duration(r.Int64N(int64(lasts / 2)))})
	}
	t.Signals = drawSignals(r, &t)
	return t
}

// drawSignals draws one or two series of signals, each of up to three that follow shortly upon one another.
func drawSignals(r *rand.Rand, t *Trial) (list []Signal) {
	kinds := []string{"kill", "stop", "reload", "kill"}
	if t.Upgradable {
		kinds = append(kinds, "upgrade", "upgrade")
	}
	for range 1 + r.IntN(2) {
		at := time.Second + time.Duration(r.Int64N(int64(t.Lasts*2/3)))
		for range 1 + r.IntN(3) {
			list = append(list, Signal{At: at, Do: kinds[r.IntN(len(kinds))]})
			at += time.Duration(300+r.IntN(1500)) * time.Millisecond
		}
	}
	slices.SortFunc(list, func(x, y Signal) int { return cmp.Compare(x.At, y.At) })
	return list
}

// String tells what is played, for reports.
func (t Trial) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d MB, %d descriptors:", t.MemoryMB, t.Descriptors)
	for _, g := range t.Groups {
		fmt.Fprintf(&b, " %s %d", g.Kind, g.N)
	}
	for _, s := range t.Signals {
		fmt.Fprintf(&b, ", %s at %.1f s", s.Do, s.At.Seconds())
	}
	return b.String()
}
