package emulator

import (
	"time"

	"frostshift"
)

// keptBy is a gateway's pool, and kept what it had learned and when.
type keptBy struct{ gateway, pool int }

type kept struct {
	memory frostshift.Memory
	at     Time
}

const keepEvery = 5 * time.Second

// keep has a gateway write down what it learns, each at its own times.
func (w *World) keep(g *gateway) {
	var write func()
	write = func() {
		if g.dead {
			return
		}
		for i, p := range g.pools {
			p.Memory(func(m frostshift.Memory, _ float64) { w.kept[keptBy{g.n, i}] = kept{m, w.now} })
			p.turn()
		}
		w.after(keepEvery, write)
	}
	w.after(time.Duration(w.dice.Int64N(int64(keepEvery))), write)
}
