package emulator

import (
	"slices"

	"frostshift"
	"frostshift/internal/exchange"
)

// port is an attempt on its way to a host and back: what the exchange sees as an upstream.
type port struct {
	p    *pool
	a    *exchange.Attempt
	h    *Host
	job  *job
	done bool
}

// Start begins an attempt.
func (p *pool) Start(a *exchange.Attempt) exchange.Handle {
	w := p.w
	h := w.byID[p.n][a.Host]
	q := a.Message.(*Request)
	o := &port{p: p, a: a, h: h}
	way := w.spec.Near
	if h.Zone != p.g.zone {
		way = w.spec.Far
	}
	extra := h.connection(p.g.n)
	if extra > 0 {
		w.Totals.Connects++
	}
	o.job = &job{q: q, work: q.Work + extra}
	p.out = append(p.out, o)
	w.Totals.Attempts++
	if h.Zone == p.g.zone {
		w.Totals.Near++
	}
	o.job.ends = func(status int) { w.after(way/2, func() { o.answered(status) }) }
	w.after(way/2, func() {
		if h.dead {
			w.after(way/2, func() { o.end(frostshift.ConnectFailed) })
			return
		}
		h.arrive(o.job)
	})
	if left := a.Left; left > 0 {
		w.after(left, func() { o.end(frostshift.TimedOut) })
	}
	return o
}

// answered brings a host's answer; 0: the connection broke.
func (o *port) answered(status int) {
	if o.done {
		return
	}
	if status == 0 {
		o.end(frostshift.Reset)
		return
	}
	o.ends()
	o.h.release(o.p.g.n)
	o.a.Answered(o.a.Answers.Judge(status, nil), 0, nothing{})
	o.p.turn()
}

func (o *port) end(r frostshift.Result) {
	if o.done {
		return
	}
	o.ends()
	o.job.gone = true
	o.a.End(r)
	o.p.turn()
}

// ends takes the attempt from those that are out.
func (o *port) ends() {
	o.done = true
	if i := slices.Index(o.p.out, o); i >= 0 {
		o.p.out = slices.Delete(o.p.out, i, i+1)
	}
}

// CallOff ends the attempt; the host works on if it has begun.
func (o *port) CallOff() {
	o.job.gone = true
	o.p.w.after(0, func() { o.end(frostshift.Canceled) })
}

// saw is what an attempt has shown of a host.
func (p *pool) saw(id frostshift.HostID, answered bool) {
	h := p.w.byID[p.n][id]
	s := p.seen[h.Name]
	if answered {
		s.LastAnswer = p.w.now
	} else {
		s.LastConnectFailure = p.w.now
	}
	p.seen[h.Name] = s
}

// nothing is an answer that holds nothing.
type nothing struct{}

func (nothing) Release() {}

func (nothing) Light() bool { return true }
