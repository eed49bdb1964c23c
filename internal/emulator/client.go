package emulator

import (
	"math"
	"slices"
	"strconv"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/shift"
)

// Request is what a client wants, with all its tries.
type Request struct {
	Class int
	Key   uint64 // of a keyed class, and of what it is about
	Work  time.Duration
	Team  int
	Began Time

	w        *World
	g        *gateway
	item     contract.Item
	unit     shift.Unit
	placed   bool
	tries    int
	side     int  // pool of the first try
	ranIn    int8 // pool + 1 in which it has run; -1: in two
	runs     int
	decided  bool // the client has its answer, or has given up
	deadline Time
	call     *exchange.Call
	out      int // number of the try that is open
}

// Totals are what the clients of a world saw.
type Totals struct {
	Requests, InTime, Late, Failed int
	Tries, Attempts, Near          int
	Vain                           int // attempts that brought no answer, or an error
	Connects                       int // connections to hosts that were opened
	// ColdLoad is the most that came to a cold host, as a part of what makes it fall over.
	ColdLoad float64
	// Twice are effects that ran more often than they may: unsafe ones that ran again, keyed ones
	// in two pools.
	Twice int
	// Unsure are tries that were failed because an earlier one may have run elsewhere.
	Unsure         int
	Worth, Asked   float64
	took           []float32 // milliseconds, of those that were served
	RefusedOverall int
}

// Try is one try as its client saw it.
type Try struct {
	At       time.Duration // of its end, since the beginning
	Side     int           // 1: the new pool; of the request's first try
	Class    int
	Retry    bool
	Good     bool // it was answered without an error
	InTime   bool // ... within the aim, counted from the first try
	Took     time.Duration
	Share    float64 // of the new pool at present
	Finished bool    // no further try follows
}

// logMean is the mu of a lognormal distribution with this mean.
func logMean(mean, sigma float64) float64 { return math.Log(mean) - sigma*sigma/2 }

func (w *World) work() time.Duration { return time.Duration(w.cost() * float64(time.Second)) }

// client begins a request and plans the next one.
func (w *World) client() {
	w.after(time.Duration(w.r.ExpFloat64()/(w.spec.Rate*w.load())*float64(time.Second)), w.client)
	w.ids++
	q := &Request{w: w, Began: w.now, g: w.gateways[w.deal()], Key: w.ids, Team: -1}
	part := w.r.Float64()
	for i := range w.spec.Classes {
		if part -= w.spec.Classes[i].Part; part < 0 || i == len(w.spec.Classes)-1 {
			q.Class = i
			break
		}
	}
	if n := len(w.keyWork); n > 0 {
		k := w.r.IntN(n)
		q.Work = w.keyWork[k]
		q.Key = uint64(k)<<40 | w.ids
	} else {
		q.Work = w.work()
	}
	if w.terms != nil {
		part := w.r.Float64()
		for i, t := range w.spec.Teams {
			if part -= t.Part; part < 0 || i == len(w.spec.Teams)-1 {
				q.Team = i
				break
			}
		}
	}
	c := &w.spec.Classes[q.Class]
	q.deadline = w.now + c.Deadline
	w.Totals.Requests++
	w.Totals.Asked += worthOf(c)
	q.try()
}

// deal draws the gateway that a client comes to.
func (w *World) deal() int {
	if w.dealt == nil {
		return w.r.IntN(len(w.gateways))
	}
	n, _ := slices.BinarySearch(w.dealt, w.r.Float64()*w.dealt[len(w.dealt)-1])
	return min(n, len(w.gateways)-1)
}

// load is what the troubles make of the rate now.
func (w *World) load() float64 {
	times := 1.0
	for i := range w.spec.Troubles {
		if t := &w.spec.Troubles[i]; t.Load > 0 && t.on(w.now-w.begin) {
			times *= t.Load
		}
	}
	return times
}

// pick sends the request by a plain rule in place of a gateway's, and at once.
func (q *Request) pick() {
	w := q.w
	hosts := w.hosts[w.spec.Pool]
	h := hosts[w.r.IntN(len(hosts))]
	if w.spec.Picker == "all" {
		first := w.r.IntN(len(hosts))
		for i := range hosts {
			if x := hosts[(first+i)%len(hosts)]; x.wait() < h.wait() {
				h = x
			}
		}
	}
	w.Totals.Attempts++
	out := q.out
	j := &job{q: q, work: q.Work}
	end := func(v exchange.Verdict) {
		if q.out == out {
			j.gone = true
			q.ended(exchange.Ending{At: w.now, Verdict: v})
		}
	}
	j.ends = func(status int) {
		w.after(w.spec.Near/2, func() {
			if status == 200 {
				end(exchange.Served)
			} else {
				end(exchange.Failed)
			}
		})
	}
	w.after(w.spec.Near/2, func() { h.arrive(j) })
	w.queue.push(q.deadline, func() { end(exchange.Failed) })
}

func worthOf(c *Class) float64 {
	if c.Worth == 0 {
		return 1
	}
	return c.Worth
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// try sends the request once more.
func (q *Request) try() {
	w, c := q.w, &q.w.spec.Classes[q.Class]
	q.tries++
	q.out = q.tries
	w.Totals.Tries++
	to := w.spec.Pool
	q.placed = false
	if q.g = w.alive(q.g, mix(q.Key)); q.g == nil {
		q.g = w.gateways[0]
		q.ended(exchange.Ending{At: w.now, Verdict: exchange.Failed})
		return
	}
	if w.spec.Picker != "" {
		q.pick()
		return
	}
	q.g.open = append(q.g.open, q)
	if q.g.move != nil {
		if !q.place() {
			return
		}
		to = w.spec.index(q.g.move.PoolOf(q.unit.Side))
	}
	p := q.g.pools[to]
	r := exchange.Request{ID: strconv.FormatUint(w.ids<<8|uint64(q.tries&0xff), 36) + "-" + strconv.FormatUint(q.Key, 36), Class: q.Class, Tenant: -1, Repeat: q.tries > 1,
		Deadline: q.deadline, Message: q, Watch: &try{q, q.tries}}
	if q.Team >= 0 {
		t := w.terms[q.Team]
		account, v := q.g.limiter.Enter(t, 0, q.tries > 1, w.now)
		if v != nil {
			q.ended(exchange.Ending{At: w.now, Verdict: exchange.Refused, Bound: true})
			return
		}
		q.item = contract.Item{Terms: t, Account: account, Class: q.Class, Deadline: q.deadline, Aim: q.Began + c.Aim}
		r.Item = &q.item
		r.Hold = &holding{q.g.limiter, account}
	}
	var fallback *exchange.Pool
	if f := w.spec.Fallback; f > 0 && f-1 != to && c.Effect != frostshift.Keyed {
		fallback = q.g.pools[f-1].Pool
	}
	q.call = q.g.x.Submit(r, p.Pool, fallback)
	out := q.out
	w.queue.push(q.deadline, func() { // the client waits no longer
		if !q.decided && q.out == out && !q.g.dead {
			q.call.Gone()
			for _, p := range q.g.pools { // it may have been handed on
				p.turn()
			}
		}
	})
	p.turn()
}

// place has the traffic shift say which pool the request goes to. Where it can't, the request has failed.
func (q *Request) place() bool {
	w, c := q.w, &q.w.spec.Classes[q.Class]
	named := c.Effect != frostshift.Safe
	a := shift.Ask{Key: mix(q.Key), Named: named, Keyed: named, Repeat: q.tries > 1, Class: q.Class, Worth: 1, Aim: c.Aim, Draw: w.r.Float64()}
	if len(w.keyWork) > 0 {
		a.Cost = q.Key>>40 + 1
	}
	if a.Keyed {
		a.Sticky = a.Key
		a.Draw = shift.Draw(mix(a.Key))
	}
	u, err := q.g.move.Place(w.now, &a)
	if err != nil {
		w.Totals.Unsure++
		q.ended(exchange.Ending{At: w.now, Verdict: exchange.Failed})
		return false
	}
	q.unit, q.placed = u, true
	if q.tries == 1 {
		q.side = int(u.Side)
	}
	return true
}

// holding is a request within a contract.
type holding struct {
	limiter *contract.Limiter
	account *contract.Account
}

func (h *holding) Release() { h.limiter.Leave(h.account, 0) }

// try is one try of a request that is open.
type try struct {
	q *Request
	n int
}

// Ended hears how it ended.
func (t *try) Ended(e exchange.Ending) {
	if t.n == t.q.out {
		t.q.ended(e)
	}
}

// ended takes in how a try ended.
func (q *Request) ended(e exchange.Ending) {
	w, c := q.w, &q.w.spec.Classes[q.Class]
	q.out = 0
	if i := slices.Index(q.g.open, q); i >= 0 {
		q.g.open = slices.Delete(q.g.open, i, i+1)
	}
	good := e.Verdict == exchange.Served && !e.Fault && !e.Left
	inTime := good && w.now <= q.Began+c.Aim
	if q.placed {
		q.placed = false
		q.g.move.Ended(w.now, &q.unit, shift.End{Good: good, Void: e.Bound || e.Left && q.unit.InTime(w.now), Work: e.Work})
	}
	// An unsafe request goes again only if it was refused.
	again := !good && !e.Left && q.tries < w.spec.Clients.Tries && (c.Effect != frostshift.Unsafe || e.Verdict == exchange.Refused)
	wait := time.Duration((1 + w.r.Float64()/2) * float64(w.spec.Clients.Backoff))
	again = again && w.now+wait < q.deadline
	if w.spec.Watch != nil {
		t := Try{At: w.now - w.begin, Side: q.side, Class: q.Class, Retry: q.tries > 1, Good: good, InTime: inTime, Took: w.now - q.Began, Finished: !again}
		if q.g.move != nil {
			t.Share = q.g.move.Share()
		}
		w.spec.Watch(t)
	}
	if again {
		w.after(wait, q.try)
		return
	}
	q.decided = true
	switch t := &w.Totals; {
	case inTime:
		t.InTime++
		t.Worth += worthOf(c)
	case good:
		t.Late++
	case e.Verdict == exchange.Refused:
		t.RefusedOverall++
	default:
		t.Failed++
	}
	if good && len(w.Totals.took) < mostTook {
		w.Totals.took = append(w.Totals.took, float32(w.now-q.Began)/float32(time.Millisecond))
	}
}

const mostTook = 1 << 20

// ran notes that the request has run in a pool.
func (q *Request) ran(pool int) {
	q.runs++
	twice := false
	switch q.w.spec.Classes[q.Class].Effect {
	case frostshift.Unsafe:
		twice = q.runs > 1
	case frostshift.Keyed: // hosts of one pool drop repeats
		twice = q.ranIn > 0 && q.ranIn != int8(pool+1)
	}
	if q.ranIn == 0 {
		q.ranIn = int8(pool + 1)
	}
	if twice {
		q.w.Totals.Twice++
	}
}
