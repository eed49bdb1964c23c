package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/front"
	"frostshift/internal/share"
)

// heardWithin is how long a reload waits for the first lists of new pools before it lets
// requests at them.
const heardWithin = 2 * time.Second

// Reload takes over another configuration, whole or, with an error, not at all. Requests
// that are open keep the one they began with; a pool that is as it was goes on running.
// Limits are those of the start: changing them wants a restart.
func (g *Gateway) Reload(m *config.Model) error {
	err := g.apply(m, cmp.Or(g.opt.HeardBy, heardWithin))
	if err != nil {
		g.reloads.refused.Add(1)
	} else {
		g.reloads.taken.Add(1)
		g.restart.settingsChanged()
	}
	return err
}

// Unread notes that a configuration could not be read, and was not taken over.
func (g *Gateway) Unread() { g.reloads.refused.Add(1) }

// apply takes over a configuration. It waits so long for the lists of new pools.
func (g *Gateway) apply(m *config.Model, wait time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return errors.New("the gateway is stopping")
	}
	g.warnOfRestarts(m)
	if err := g.useKeys(m); err != nil {
		return err
	}
	certificates, err := g.renew(m)
	if err != nil {
		return err
	}
	opened, err := g.listen(m)
	if err != nil {
		return err
	}
	next, fresh, err := g.poolsOf(m)
	if err == nil {
		err = g.divide(m, next)
	}
	if err != nil {
		for _, s := range opened {
			s.Close()
		}
		return err
	}
	// From here on nothing fails.
	if g.rights != nil {
		g.rights.keep(m)
	}
	g.useRules(m)
	for s, c := range certificates {
		s.certificate.Store(c)
	}
	g.startPools(m, next, fresh)
	g.awaitLists(fresh, wait)
	g.useSnapshot(m, next)
	g.moveListeners(m, opened)
	return nil
}

// warnOfRestarts logs what has changed in a configuration that only a restart takes over.
func (g *Gateway) warnOfRestarts(m *config.Model) {
	if g.model == nil {
		return
	}
	for _, part := range []struct {
		changed bool
		text    string
	}{
		{g.model.State != m.State, "the folder for what is remembered has changed; that wants a restart, the old one stays"},
		{g.model.Spool != m.Spool, "the spool has changed; that wants a restart, the old one stays"},
		{g.model.Limits != m.Limits, "limits have changed; that wants a restart, the old ones stay"},
		{!sameTalk(g.model.Gossip, m.Gossip), "the gossip among gateways has changed in more than its keys; that wants a restart, the old one stays"},
		{!reflect.DeepEqual(g.model.Quota, m.Quota), "the quota has changed; that wants a restart, the old one stays"},
	} {
		if part.changed {
			g.log.Warn(part.text)
		}
	}
}

// poolsOf are the pools of a configuration by name, and those of them that are new and not started yet.
// A pool that changes is a new one; the old one runs until its last request has ended.
func (g *Gateway) poolsOf(m *config.Model) (next map[string]*pool, fresh []*pool, err error) {
	next = map[string]*pool{}
	for _, def := range m.Pools {
		if old := g.pools[def.Name]; old != nil && old.def.SameBut(def) {
			next[def.Name] = old
			continue
		}
		p, err := g.newPool(def, m)
		if err != nil {
			return nil, nil, fmt.Errorf("pool %q: %w", def.Name, err)
		}
		next[def.Name] = p
		fresh = append(fresh, p)
	}
	return next, fresh, nil
}

// startPools starts the new pools and moves those that go on to the sources that the configuration names.
func (g *Gateway) startPools(m *config.Model, next map[string]*pool, fresh []*pool) {
	for _, def := range m.Pools {
		if p := next[def.Name]; !reflect.DeepEqual(p.def.Sources, def.Sources) {
			p.list.Move(def.Sources)
			p.def = def
		}
	}
	for _, p := range fresh {
		p.start(g)
		p.share(g.view, g.places)
	}
}

// awaitLists waits for the first lists of new pools, for so long in all.
func (g *Gateway) awaitLists(fresh []*pool, wait time.Duration) {
	if wait <= 0 {
		return
	}
	late := time.NewTimer(wait)
	defer late.Stop()
	for _, p := range fresh {
		select {
		case <-p.ready:
		case <-late.C:
			late.Reset(0)
		case <-g.halt:
		}
	}
}

// useSnapshot has requests that come from now on served by the configuration. Its pools are held until
// the last of them has ended.
func (g *Gateway) useSnapshot(m *config.Model, next map[string]*pool) {
	targets := map[string]*front.Target{}
	var held []*pool
	for name, p := range next {
		def := m.PoolNamed(name)
		targets[name] = &front.Target{Pool: p.ex, Bodies: p.bodies, Kept: p.bodies.Part(keptBodies, wholeBodies), Uploads: p.uploads, Answers: def.Answers, Authority: def.Authority}
		p.refs.Add(1)
		held = append(held, p)
	}
	g.conns.KeepHeads(slices.ContainsFunc(m.Policies, func(p *config.Policy) bool {
		return p != nil && p.Bodies != nil && p.Bodies.Requests != config.BodiesWhole
	}))
	g.upgrades.Store(slices.ContainsFunc(m.Policies, func(p *config.Policy) bool {
		return p != nil && p.Bodies != nil && len(p.Bodies.Upgrades) > 0
	}))
	old := g.pools
	g.pools, g.model = next, m
	led := g.moves.Use(m.Moves)
	g.admission.Use(front.NewSnapshot(m, targets, led, g.moves.Retired(), g.rules, func() {
		for _, p := range held {
			p.letGo()
		}
	}))
	for name, p := range old {
		if next[name] != p {
			g.replaced[p] = struct{}{}
			g.log.Info("pool ends with its last request", "pool", name)
		}
	}
}

// divide gives the pools of a configuration their guaranteed parts, and those that go
// away none.
func (g *Gateway) divide(m *config.Model, next map[string]*pool) error {
	for _, b := range []struct {
		total  *share.Budget
		holder func(*pool) *share.Holder
	}{
		{g.budgets.requests, func(p *pool) *share.Holder { return p.requests }},
		{g.budgets.uploads, func(p *pool) *share.Holder { return p.uploads }},
		{g.budgets.downloads, func(p *pool) *share.Holder { return p.downloads }},
		{g.budgets.conns, func(p *pool) *share.Holder { return p.conns }},
		{g.budgets.bodies, func(p *pool) *share.Holder { return p.bodies }},
		{g.budgets.answers, func(p *pool) *share.Holder { return p.answers }},
	} {
		parts := map[*share.Holder]int64{}
		for name, p := range g.pools {
			if next[name] != p {
				parts[b.holder(p)] = 0
			}
		}
		for _, def := range m.Pools {
			parts[b.holder(next[def.Name])] = int64(def.Guarantee * float64(b.total.Total()))
		}
		if err := b.total.Divide(parts); err != nil {
			return err
		}
	}
	return nil
}

// retire ends a server whose listener the configuration has no more, once its last connection has ended: each request
// has a time of its own, and no further one comes. A stop that comes meanwhile takes the server over. The lock is held.
func (g *Gateway) retire(s *server) {
	g.retiring[s] = struct{}{}
	g.running.Go(func() {
		s.Leave()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-g.halt:
				cancel()
			case <-ctx.Done():
			}
		}()
		if s.Shutdown(ctx) != nil {
			return // the stop has it
		}
		g.mu.Lock()
		delete(g.retiring, s)
		g.mu.Unlock()
	})
}

// moveListeners serves at new listeners and takes the old ones back: they finish what
// they hold.
func (g *Gateway) moveListeners(m *config.Model, opened []*server) {
	for l, s := range g.servers {
		if slices.Contains(m.Listeners, l) {
			continue
		}
		delete(g.servers, l)
		g.retire(s)
	}
	for _, s := range opened {
		g.servers[s.Listener] = s
	}
	for _, s := range g.servers {
		s.ln.Guard(g.guard(m, s.Name))
	}
	for _, s := range opened {
		if g.admission.Leaving() {
			s.endsNext(true)
		}
		if g.serving {
			g.serve(s)
		}
	}
}
