package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/inflight"
	"frostshift/internal/membership"
)

// loads is the gateway's part in what gateways tell each other of the attempts that they have out at
// hosts: it gives package inflight the time, the packets and its own counts, and pools the news. Nothing
// waits for it, and without the others pools go by their own counts.
type loads struct {
	g *Gateway
	inbox
	kick chan struct{} // something is to be told

	mu    sync.Mutex
	store *inflight.Store
}

// drawsEvery is how often pools are asked which hosts they draw from.
const drawsEvery = time.Second

// newLoads makes a part where it is asked for; nil: it is not.
func newLoads(g *Gateway, m *config.Model) *loads {
	if m.Gossip == nil || !m.Gossip.Load {
		return nil
	}
	return &loads{g: g, inbox: newInbox(), kick: make(chan struct{}, 1), store: inflight.New(m.Name, rand.Uint32())}
}

func (c *loads) now() inflight.Time { return c.g.exchange.Clock().Now() }

// run has the store look whenever it has something to do, until the gateway ends.
func (c *loads) run() {
	draws := time.NewTicker(drawsEvery)
	defer draws.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-c.g.ended:
			return
		case <-draws.C:
			c.draws()
			continue
		case data := <-c.in:
			c.mu.Lock()
			c.store.Take(c.now(), data)
			c.mu.Unlock()
		case <-c.kick:
		case <-wake.C:
		}
		c.mu.Lock()
		now := c.now()
		next := c.store.Next(now)
		if next > now {
			c.mu.Unlock()
			wake.Reset(next - now)
			continue
		}
		out, news := c.store.Tick(now)
		next = c.store.Next(now)
		c.mu.Unlock()
		wake.Reset(max(next-now, time.Millisecond))
		sendAll(c.g, out)
		if len(news) == 0 {
			continue
		}
		list := make([]frostshift.PeerLoad, len(news))
		for i, n := range news {
			list[i] = frostshift.PeerLoad{Host: frostshift.HostID(n.Host), InFlight: n.Out, Until: n.Until}
		}
		for _, p := range c.g.exchanges() {
			p.PeerLoad(list)
		}
	}
}

// draws asks the pools which hosts they draw from. Each answers in its loop; what one says late counts at
// the next turn.
func (c *loads) draws() {
	for _, p := range c.g.exchanges() {
		p.ReportStatus(func(s frostshift.Status) {
			var list []inflight.HostID
			for _, id := range s.Drawn() {
				list = append(list, inflight.HostID(id))
			}
			c.mu.Lock()
			c.store.Draws(c.now(), list)
			c.mu.Unlock()
		})
	}
}

// out notes own attempts. It is called in pools' loops.
func (c *loads) out(id frostshift.HostID, more int) {
	c.mu.Lock()
	c.store.Out(c.now(), inflight.HostID(id), more)
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// alive takes who lives.
func (c *loads) alive(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.View(c.now(), names)
}

// exchanges are the pools that run.
func (g *Gateway) exchanges() []*exchange.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.heldPools()
	pools := make([]*exchange.Pool, 0, len(held))
	for _, p := range held {
		pools = append(pools, p.ex)
	}
	return pools
}

// LoadStatus is what operators are shown of what gateways have out at hosts.
type LoadStatus struct {
	Name   string
	Counts inflight.Counts
	Lost   int64 // packets that came and found no room
	Hosts  []LoadHost
}

// LoadHost is a host at which somebody has attempts out.
type LoadHost struct {
	Name string
	inflight.Status
}

// loadStatus answers operators.
func (g *Gateway) loadStatus(w http.ResponseWriter, _ *http.Request) {
	c := g.loads
	if c == nil {
		http.Error(w, "what is out at hosts is not told among gateways", http.StatusNotFound)
		return
	}
	c.mu.Lock()
	s := LoadStatus{Counts: c.store.Counts(), Lost: c.lost.Load()}
	list := c.store.Status(c.now())
	c.mu.Unlock()
	var names map[frostshift.HostID]string
	s.Name, names = g.names()
	for _, host := range list {
		s.Hosts = append(s.Hosts, LoadHost{names[frostshift.HostID(host.Host)], host})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// names are the gateway's own, and those of all pools' hosts.
func (g *Gateway) names() (self string, hosts map[frostshift.HostID]string) {
	hosts = map[frostshift.HostID]string{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		for _, name := range p.known.names() {
			hosts[membership.HostID(name)] = name
		}
	}
	return g.model.Name, hosts
}
