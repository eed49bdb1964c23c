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
	"frostshift/internal/edict"
	"frostshift/internal/roster"
)

// edicts is the gateway's part in operators' words on hosts that hold for the whole fleet: it gives package
// edict the time, the packets and the view, and carries out what counts.
type edicts struct {
	g *Gateway
	inbox

	// doing is held while a word is carried out, so that none is behind a later one. It is taken before mu.
	doing sync.Mutex

	mu   sync.Mutex
	book *edict.Book
	// todo are words that are not carried out yet, in the order in which they came, at most one a host.
	todo []edict.Word
	most int // gateways that may be there
	// news is closed and replaced when members may have answered.
	news chan struct{}
}

// carryWithin is how long one look waits for pools to do what a word says. What does not hold by
// then is tried again with the next.
const carryWithin = 300 * time.Millisecond

// newEdicts makes a part where it is asked for; nil: it is not.
func newEdicts(g *Gateway, m *config.Model) *edicts {
	if m.Bank == nil || !m.Bank.Bans {
		return nil
	}
	return &edicts{g: g, inbox: newInbox(), book: edict.New(m.Name), news: make(chan struct{})}
}

func (d *edicts) now() edict.Time { return d.g.exchange.Clock().Now() }

// run has the book look in turns until the gateway ends.
func (d *edicts) run() {
	tick := time.NewTicker(edict.Step)
	defer tick.Stop()
	for {
		var out []edict.Packet
		select {
		case <-d.g.ended:
			return
		case data := <-d.in:
			d.mu.Lock()
			said, words := d.book.Take(d.now(), data)
			out = slices.Clone(said)
			for _, w := range words {
				d.todo = append(slices.DeleteFunc(d.todo, func(o edict.Word) bool { return o.Host == w.Host }), w)
			}
			close(d.news)
			d.news = make(chan struct{})
			d.mu.Unlock()
		case <-tick.C:
			d.mu.Lock()
			out = slices.Clone(d.book.Tick(d.now()))
			d.mu.Unlock()
		}
		sendAll(d.g, out)
		d.carryOut()
	}
}

// carryOut does what words say that have come.
func (d *edicts) carryOut() {
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
		s, _ := d.book.Of(d.now(), w.Host)
		d.mu.Unlock()
		if s.Word != w { // another has come meanwhile, here or from elsewhere
			d.doing.Unlock()
			continue
		}
		err := d.g.outEverywhere(ctx, w.Host, w.Out)
		d.mu.Lock()
		if err == nil {
			d.book.Holds(w)
		} else if !slices.ContainsFunc(d.todo, func(o edict.Word) bool { return o.Host == w.Host }) {
			d.todo = append(d.todo, w)
		}
		d.mu.Unlock()
		d.doing.Unlock()
		if err == nil {
			d.g.log.Info("operators' word from another gateway", "host", w.Host, "out", w.Out, "said at", w.By)
		}
	}
}

// alive takes who lives.
func (d *edicts) alive(names []string, v roster.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = v.Most
	d.book.View(names)
}

// has says whether there is a word on a host, which no list here need name.
func (d *edicts) has(host string) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, has := d.book.Of(d.now(), host)
	return has
}

// words are all that count, for the process that takes over or starts next.
func (d *edicts) words() (list []edict.Word) {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.book.Status(d.now()) {
		list = append(list, s.Word)
	}
	return list
}

// adopt takes over the words of the process before, and what they brought with them.
func (d *edicts) adopt(list []edict.Word) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range list {
		d.book.Adopt(d.now(), w)
	}
}

// errNoFleet says that this gateway can't speak for the others.
var errNoFleet = errors.New("this gateway does not tell others what is out (bank.bans), or is no member yet")

// say is an operator's word at this gateway. It returns once it holds at all members that live, or with
// who has not said so; then it goes on to hold where it does, and to spread.
func (d *edicts) say(ctx context.Context, host string, out bool) (more string, err error) {
	if d == nil || d.g.talks() == nil {
		return "", errNoFleet
	}
	w, err := d.sayHere(ctx, host, out)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		s, _ := d.book.Of(d.now(), host)
		switch {
		case s.Word != w:
			return "", fmt.Errorf("another word has come in between, at %s: out is %t", s.By, s.Out)
		case len(s.Lack) == 0:
			more = fmt.Sprintf("it holds at all %d gateways that are heard", d.book.Alive())
			if away := d.most - d.book.Alive(); away > 0 {
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

// sayHere notes an operator's word and carries it out in this gateway. One that can't be done yet is tried again.
func (d *edicts) sayHere(ctx context.Context, host string, out bool) (edict.Word, error) {
	d.doing.Lock()
	defer d.doing.Unlock()
	d.mu.Lock()
	w, err := d.book.Say(d.now(), host, out)
	d.mu.Unlock()
	if err != nil {
		return w, err
	}
	err = d.g.outEverywhere(ctx, host, out)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.book.Holds(w)
	} else {
		d.todo = append(d.todo, w)
	}
	return w, err
}

// EdictsStatus is what operators are shown of words that are meant for the whole fleet.
type EdictsStatus struct {
	Name   string
	Counts edict.Counts
	Lost   int64 // packets that came and found no room
	Words  []edict.Status
}

// edictsStatus answers operators.
func (g *Gateway) edictsStatus(w http.ResponseWriter, _ *http.Request) {
	d := g.edicts
	if d == nil {
		http.Error(w, errNoFleet.Error(), http.StatusNotFound)
		return
	}
	g.mu.Lock()
	name := g.model.Name
	g.mu.Unlock()
	d.mu.Lock()
	s := EdictsStatus{Name: name, Counts: d.book.Counts(), Lost: d.lost.Load(), Words: d.book.Status(d.now())}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
