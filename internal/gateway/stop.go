package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"frostshift/internal/drain"
)

// settleWithin is how long connections whose last answer is on its way may then take to be closed
// by their clients: the end of the process closes them above what is unread.
const settleWithin = 150 * time.Millisecond

// endWaits ends the wait of a reload, which holds the gateway's lock.
func (g *Gateway) endWaits() { g.halted.Do(func() { close(g.halt) }) }

// stopSchedule is the schedule of a stop, and the longest deadline that it goes by: that of the present
// settings, as the kill does, wherever the process runs and whether or not another one has taken over.
func (g *Gateway) stopSchedule() (schedule drain.Schedule, longest time.Duration) {
	longest = g.restart.longestDeadline()
	if g.opt.Stop != (drain.Schedule{}) {
		return g.opt.Stop, longest
	}
	return drain.ScheduleFor(longest), longest
}

// stop finishes what is held and ends everything.
func (g *Gateway) stop() {
	ordered := time.Now()
	g.endWaits()
	handed := g.restart.isHanded()
	schedule, longest := g.stopSchedule()
	g.exchange.EndBy(g.exchange.Clock().Now() + schedule.Answer)
	g.log.Info("stopping", "open", g.exchange.Open(), "longest deadline", longest, "handed over", handed,
		"accepts for", schedule.Accept, "answers within", schedule.Answer, "closes after", schedule.Close)
	if !handed { // else another process is the member
		g.leaveFleet()
	}
	servers := g.beginStop()
	g.clients.stop(schedule.Idle)
	if !handed { // else new connections are another process's
		g.linger(ordered.Add(schedule.Accept))
	}
	g.finish(servers, ordered, schedule)
	settling, settled := context.WithTimeout(context.Background(), settleWithin)
	g.conns.Settle(settling)
	settled()
	if g.keptLast != nil { // a second at most, and pools end behind it
		<-g.keptLast
	}
	close(g.ended)
	g.closeGossip()
	g.restart.end()
	g.admission.Use(nil)
	if g.desk != nil {
		g.desk.Close()
	}
	g.running.Wait()
}

// beginStop has no further configuration taken over, and returns all servers that may hold requests.
func (g *Gateway) beginStop() []*server {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return slices.AppendSeq(slices.Collect(maps.Values(g.servers)), maps.Keys(g.retiring))
}

// finish waits for what the servers hold, ends the requests that are open at the schedule's time for
// answers, and closes what is left at its end.
func (g *Gateway) finish(servers []*server, ordered time.Time, schedule drain.Schedule) {
	if shutdown(servers, ordered.Add(schedule.Answer)) {
		return
	}
	g.log.Warn("requests are ended ahead of the kill", "open", g.exchange.Open())
	g.endRequests(servers)
	if shutdown(servers, ordered.Add(schedule.Close)) {
		return
	}
	g.log.Warn("connections were still open at the end")
	for _, s := range servers {
		s.Close()
	}
}

// linger waits while the front still deals out connections. A listener that was closed earlier would
// reset what waits in the kernel's queue, which counts as accepted.
func (g *Gateway) linger(until time.Time) {
	if g.opt.Linger != nil {
		g.opt.Linger()
		return
	}
	time.Sleep(time.Until(until))
}

// endRequests gives each request that is open its answer, and those that are still being read one that
// refuses them: they would be lost at the kill that follows.
func (g *Gateway) endRequests(servers []*server) {
	for _, p := range g.runningPools() {
		p.ex.FailAll()
	}
	for _, s := range servers {
		s.ln.Expel()
	}
}

// runningPools returns the pools of the present configuration and those that a reload has replaced and
// that still hold requests.
func (g *Gateway) runningPools() []*pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldPools()
}

// heldPools is runningPools where the lock is held.
func (g *Gateway) heldPools() []*pool {
	return slices.AppendSeq(slices.Collect(maps.Values(g.pools)), maps.Keys(g.replaced))
}

// shutdown shuts servers down side by side and says whether all had finished in time.
func shutdown(servers []*server, by time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	var all sync.WaitGroup
	clean := make([]error, len(servers))
	for i, s := range servers {
		all.Go(func() { clean[i] = s.Shutdown(ctx) })
	}
	all.Wait()
	for _, err := range clean {
		if err != nil {
			return false
		}
	}
	return true
}
