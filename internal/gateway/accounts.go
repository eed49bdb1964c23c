package gateway

import (
	"time"

	"frostshift/internal/contract"
)

const tellEvery = 10 * time.Second // what teams have had

// tellAccounts logs what each team that asked for something has had, until the gateway
// stops. Teams that asked for nothing since are not told of.
func (g *Gateway) tellAccounts() {
	told := map[string]int64{} // requests asked, as of the last line; of accounts that are kept
	every := g.opt.TellEvery
	if every == 0 {
		every = tellEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-g.halt:
			return
		case <-tick.C:
		}
		next := map[string]int64{}
		g.limiter.Accounts(g.exchange.Clock().Now(), func(a *contract.Account) {
			asked := a.Asked.Load()
			next[a.Team] = asked
			if asked == told[a.Team] {
				return
			}
			args := []any{"team", a.Team, "asked", asked, "served", a.Served.Load(), "failed", a.Failed.Load(), "left", a.Left.Load(),
				"refused_hosts", a.ByBalancer.Load()}
			for c := range contract.Causes {
				args = append(args, "refused_"+c.String(), a.Refused[c].Load())
			}
			args = append(args, "work", time.Duration(a.Work.Load()).Round(time.Millisecond), "lent", time.Duration(a.Lent.Load()).Round(time.Millisecond))
			g.log.Info("team", args...)
		})
		told = next
	}
}

// Accounts calls f for what each team has had of this gateway lately.
func (g *Gateway) Accounts(f func(*contract.Account)) {
	g.limiter.Accounts(g.exchange.Clock().Now(), f)
}
