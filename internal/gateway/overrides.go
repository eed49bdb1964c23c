package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/override"
	"frostshift/internal/peers"
)

// overrides is the gateway's part in overrides of hosts that hold for the whole fleet: it gives package
// override the time, the packets and the view, and carries out what counts.
type overrides struct {
	g *Gateway
	inbox

	// doing is held while an override is carried out, so that none is behind a later one. It is taken before mu.
	doing sync.Mutex

	mu    sync.Mutex
	store *override.Store
	// todo are overrides that are not carried out yet, in the order in which they came, at most one a host.
	todo []override.Entry
	most int // gateways that may be there
	// news is closed and replaced when members may have answered.
	news chan struct{}
}

// carryWithin is how long one look waits for pools to do what an override says. What does not hold by
// then is tried again with the next.
const carryWithin = 300 * time.Millisecond

// newOverrides makes a part where it is asked for; nil: it is not.
func newOverrides(g *Gateway, m *config.Model) *overrides {
	if m.Gossip == nil || !m.Gossip.Overrides {
		return nil
	}
	return &overrides{g: g, inbox: newInbox(), store: override.New(m.Name), news: make(chan struct{})}
}

func (d *overrides) now() override.Time { return d.g.exchange.Clock().Now() }

// run has the store look in turns until the gateway ends.
func (d *overrides) run() {
	tick := time.NewTicker(override.Step)
	defer tick.Stop()
	for {
		var out []override.Packet
		select {
		case <-d.g.ended:
			return
		case data := <-d.in:
			d.mu.Lock()
			said, entries := d.store.Take(d.now(), data)
			out = slices.Clone(said)
			for _, w := range entries {
				d.todo = append(slices.DeleteFunc(d.todo, func(o override.Entry) bool { return o.Host == w.Host }), w)
			}
			close(d.news)
			d.news = make(chan struct{})
			d.mu.Unlock()
		case <-tick.C:
			d.mu.Lock()
			out = slices.Clone(d.store.Tick(d.now()))
			d.mu.Unlock()
		}
		sendAll(d.g, out)
		d.carryOut()
	}
}

// carryOut does what overrides say that have come.
func (d *overrides) carryOut() {
	d.mu.Lock()
	todo := d.todo
	d.todo = nil
	d.mu.Unlock()
	if len(todo) == 0 {
		return
	}
	ctx, end := context.WithTimeout(context.Background(), carryWithin)
	defer end()
	for _, w := range todo {
		d.doing.Lock()
		d.mu.Lock()
		s, _ := d.store.Lookup(d.now(), w.Host)
		d.mu.Unlock()
		if s.Entry != w { // another has come meanwhile, here or from elsewhere
			d.doing.Unlock()
			continue
		}
		err := d.g.outEverywhere(ctx, w.Host, w.Out)
		d.mu.Lock()
		if err == nil {
			d.store.Done(w)
		} else if !slices.ContainsFunc(d.todo, func(o override.Entry) bool { return o.Host == w.Host }) {
			d.todo = append(d.todo, w)
		}
		d.mu.Unlock()
		d.doing.Unlock()
		if err == nil {
			d.g.log.Info("operators' override from another gateway", "host", w.Host, "out", w.Out, "said at", w.By)
		}
	}
}

// alive takes who lives.
func (d *overrides) alive(names []string, v peers.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = v.Most
	d.store.SetAlive(names)
}

// has says whether there is an override on a host, which no list here need name.
func (d *overrides) has(host string) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, has := d.store.Lookup(d.now(), host)
	return has
}

// entries are the overrides in effect, for a process of an earlier version.
func (d *overrides) entries() (list []override.Entry) {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.store.Status(d.now()) {
		list = append(list, s.Entry)
	}
	return list
}

// states are all overrides, for the process that takes over or starts next.
func (d *overrides) states() []override.State {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.States()
}

// adopt takes over the overrides of the process before. One of an earlier version has told no states.
func (d *overrides) adopt(states []override.State, entries []override.Entry) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range states {
		d.store.Adopt(d.now(), s)
	}
	if len(states) > 0 {
		return
	}
	for _, w := range entries {
		d.store.AdoptEntry(d.now(), w)
	}
}

// errNoFleet says that this gateway can't speak for the others.
var errNoFleet = errors.New("this gateway does not tell others what is out (fleet.overrides), or is no member yet")

// set is an operator's override at this gateway. It returns once it holds at all members that live, or with
// who has not said so; then it goes on to hold where it does, and to spread.
func (d *overrides) set(ctx context.Context, host string, out bool) (more string, err error) {
	if d == nil || d.g.talks() == nil {
		return "", errNoFleet
	}
	w, err := d.setHere(ctx, host, out)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		s, _ := d.store.Lookup(d.now(), host)
		switch {
		case s.Entry != w:
			return "", fmt.Errorf("another override has come in between, at %s: out is %t", s.By, s.Out)
		case len(s.Lack) == 0:
			more = fmt.Sprintf("it holds at all %d gateways that are heard", d.store.Alive())
			if away := d.most - d.store.Alive(); away > 0 {
				more += fmt.Sprintf("; %d more may run and get it when they are heard again", away)
			}
			return more, nil
		}
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
			d.mu.Lock()
		case <-ctx.Done():
			d.mu.Lock()
			return "", fmt.Errorf("it holds here, and not yet, as far as they said, at %s", strings.Join(s.Lack, ", "))
		}
	}
}

// setHere notes an operator's override and carries it out in this gateway. One that can't be done yet is tried again.
func (d *overrides) setHere(ctx context.Context, host string, out bool) (override.Entry, error) {
	d.doing.Lock()
	defer d.doing.Unlock()
	d.mu.Lock()
	w, err := d.store.Set(d.now(), host, out)
	d.mu.Unlock()
	if err != nil {
		return w, err
	}
	err = d.g.outEverywhere(ctx, host, out)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.store.Done(w)
	} else {
		d.todo = append(d.todo, w)
	}
	return w, err
}

// OverridesStatus is what operators are shown of overrides that are meant for the whole fleet.
type OverridesStatus struct {
	Name      string
	Counts    override.Counts
	Lost      int64 // packets that came and found no room
	Overrides []override.Status
}

// overridesStatus answers operators.
func (g *Gateway) overridesStatus(w http.ResponseWriter, _ *http.Request) {
	d := g.overrides
	if d == nil {
		http.Error(w, errNoFleet.Error(), http.StatusNotFound)
		return
	}
	g.mu.Lock()
	name := g.model.Name
	g.mu.Unlock()
	d.mu.Lock()
	s := OverridesStatus{Name: name, Counts: d.store.Counts(), Lost: d.lost.Load(), Overrides: d.store.Status(d.now())}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
