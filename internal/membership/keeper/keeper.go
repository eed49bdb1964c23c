// Package keeper keeps the list of one pool's hosts: it follows the pool's sources, merges
// them (package view), holds the result against what was seen on sockets (package belief)
// and hands on what the pool goes by. What is decided is decided there; here are the
// goroutine, the clock and the log.
package keeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/fairqueue"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/source"
	"frostshift/internal/membership/view"
)

const (
	lookEvery = 250 * time.Millisecond // at the clock and at what was seen, while that may change anything
	// seenEvery is how exact the time of a good answer is kept: storing each would make all
	// cores write to one line of memory.
	seenEvery = 50 * time.Millisecond
)

// Config is what a keeper is made of.
type Config struct {
	Specs  []source.Spec // the first has the highest precedence
	Belief belief.Config
	// Part is the part of the pool that this gateway uses; nil: all of it.
	Part *Part
	Log  *slog.Logger
	// List gets what the pool goes by: at first the whole list, then what changes. It is
	// called from one goroutine at a time.
	List func(*membership.List)
	// Show gets what is known when it has changed, once a second at most; nil: nobody asks.
	// It is called from the goroutine that follows the lists and must not block.
	Show func(State)
	// Silence and Every are as in source.Config.
	Silence, Every time.Duration
	// Heard is what the sources have told an earlier keeper of the pool.
	Heard []Report
	// Processor is what all sources together use of it; nil: it is not shared out.
	Processor *fairqueue.Peer
}

// Keeper keeps a pool's list. Its methods are safe for concurrent use.
type Keeper struct {
	cfg       Config
	start     time.Time
	followers []*source.Follower
	in        chan news
	ask       chan func()
	shared    chan Shared // holds the last one that was said; one goroutine says them
	done      chan struct{}

	specsMu sync.Mutex
	specs   []source.Spec

	seenMu sync.RWMutex
	seen   map[frostshift.HostID]*seen

	// Of Run's goroutine:
	merger  *view.Merger
	belief  *belief.Belief
	part    *part         // nil: the whole pool
	whole   bool          // the whole list has been handed on
	changed bool          // since it was last shown
	shownAt time.Duration // when it was
	doubted bool          // as last logged
}

// seen is when a host was last seen, since the keeper's start; negative: never.
type seen struct{ good, bad atomic.Int64 }

// news is what a source says.
type news struct {
	source int
	list   *membership.List // nil: it has moved
}

// sink hands what a source says to the keeper.
type sink struct {
	k *Keeper
	i int
}

func (s sink) List(l *membership.List) { s.send(news{s.i, l}) }
func (s sink) Moved()                  { s.send(news{s.i, nil}) }
func (s sink) Lost()                   {}

func (s sink) send(n news) {
	select {
	case s.k.in <- n:
	case <-s.k.done:
	}
}

// New returns a keeper; Run runs it.
func New(cfg Config) *Keeper {
	k := &Keeper{cfg: cfg, specs: cfg.Specs, start: time.Now(), in: make(chan news), ask: make(chan func()), done: make(chan struct{}), shared: make(chan Shared, 1),
		seen: map[frostshift.HostID]*seen{}, merger: view.New(len(cfg.Specs)), belief: belief.New(cfg.Belief)}
	if cfg.Part != nil {
		k.part = newPart(*cfg.Part)
	}
	for i := range cfg.Specs {
		k.followers = append(k.followers, source.NewFollower(source.Config{Sink: sink{k: k, i: i}, Log: cfg.Log, Silence: cfg.Silence, Every: cfg.Every, Processor: cfg.Processor}))
	}
	return k
}

func (k *Keeper) now() time.Duration { return time.Since(k.start) }

// Run follows the sources until the context ends and all that it started has ended.
func (k *Keeper) Run(ctx context.Context) {
	var parts sync.WaitGroup
	defer parts.Wait()
	defer close(k.done)
	for i, f := range k.followers {
		parts.Go(func() { f.Run(ctx, k.cfg.Specs[i]) })
	}
	k.takeHeard()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.in:
			k.take(n)
		case f := <-k.ask:
			f()
		case s := <-k.shared:
			k.share(s)
		case <-tick.C:
			changed := k.merger.Tick(k.now())
			k.apply(changed)
			if len(changed) > 0 || k.belief.Unsure() || k.part != nil && k.whole {
				k.decide()
			}
			k.show()
		}
	}
}

// Move turns the sources to other places; there must be as many as before.
func (k *Keeper) Move(specs []source.Spec) {
	k.specsMu.Lock()
	k.specs = specs
	k.specsMu.Unlock()
	for i, f := range k.followers {
		f.Move(specs[i])
	}
}

func (k *Keeper) take(n news) {
	if n.list == nil {
		k.merger.Forget(n.source)
		return
	}
	skipped := k.merger.Skipped(n.source)
	changed := k.merger.Take(k.now(), n.source, n.list)
	if k.merger.Skipped(n.source) > skipped {
		k.cfg.Log.Warn("a host list is older than the one before", "source", k.name(n.source), "index", *n.list.Index)
	}
	k.changed = k.changed || len(changed) > 0 || !k.whole
	k.apply(changed)
	k.decide()
}

func (k *Keeper) name(i int) string {
	k.specsMu.Lock()
	defer k.specsMu.Unlock()
	return k.specs[i].String()
}

// apply tells the belief of entries that have changed.
func (k *Keeper) apply(changed []string) {
	now := k.now()
	for _, name := range changed {
		e, listed := k.merger.Get(name)
		switch {
		case !listed:
			k.belief.Dropped(now, name, false)
		case e.Hidden != "":
			k.cfg.Log.Warn("two hosts have one address", "host", name, "address", e.Address, "counts", e.Hidden)
			k.belief.Dropped(now, name, true)
		case e.Status == membership.Left:
			k.belief.Dropped(now, name, true)
		default:
			k.watch(membership.HostID(name))
			k.belief.Listed(now, e.Endpoint)
		}
	}
}

// decide hands on what has changed of what the pool goes by.
func (k *Keeper) decide() {
	changes := k.belief.Decide(k.now(), k.lookup)
	if len(changes) > 0 || !k.whole {
		version := k.merger.Version()
		l := &membership.List{Index: &version, Snapshot: !k.whole, Endpoints: changes}
		k.whole = true
		if k.part == nil {
			k.cfg.List(l)
		}
		for _, e := range changes {
			if e.Status == membership.Left {
				k.unwatch(membership.HostID(e.Name))
			}
		}
	}
	if k.part != nil {
		wide := k.part.wide
		l := k.part.take(k.now(), changes, func(name string) bool { s := k.lookup(name); return s.LastConnectFailure > s.LastAnswer })
		if k.part.wide != wide {
			k.cfg.Log.Warn("most hosts of this gateway's part can't be reached, or could not: its width has changed", "times", k.part.wide)
		}
		if l != nil {
			k.cfg.List(l)
		}
	}
	k.changed = k.changed || len(changes) > 0
	k.logDoubts()
}

// logDoubts tells when hosts begin to be treated otherwise than listed, and when that is over.
func (k *Keeper) logDoubts() {
	kept, damped := k.belief.Doubted()
	before := k.doubted
	k.doubted = kept+damped > 0
	switch {
	case k.doubted && !before:
		for _, d := range k.belief.Doubts(k.now()) {
			k.cfg.Log.Warn("the host list is doubted", "kept", kept, "damped", damped, "believed", k.belief.Believed(), "one", d.Host.Name, "why", d.Why)
			break
		}
	case !k.doubted && before:
		k.cfg.Log.Info("the host list is followed again", "believed", k.belief.Believed())
	}
}

// Saw tells of an attempt at a host: it has answered, or could not be connected to.
func (k *Keeper) Saw(id frostshift.HostID, answered bool) {
	k.seenMu.RLock()
	s := k.seen[id]
	k.seenMu.RUnlock()
	if s == nil {
		return
	}
	now := int64(k.now())
	switch good := s.good.Load(); {
	case !answered:
		s.bad.Store(now)
	case now-good > int64(seenEvery) || s.bad.Load() >= good:
		s.good.Store(now)
	}
}

func (k *Keeper) watch(id frostshift.HostID) {
	k.seenMu.Lock()
	defer k.seenMu.Unlock()
	if k.seen[id] == nil {
		s := new(seen)
		s.good.Store(-1)
		s.bad.Store(-1)
		k.seen[id] = s
	}
}

func (k *Keeper) unwatch(id frostshift.HostID) {
	k.seenMu.Lock()
	delete(k.seen, id)
	k.seenMu.Unlock()
}

func (k *Keeper) lookup(name string) belief.Seen {
	k.seenMu.RLock()
	s := k.seen[membership.HostID(name)]
	k.seenMu.RUnlock()
	if s == nil {
		return belief.Seen{LastAnswer: -1, LastConnectFailure: -1}
	}
	return belief.Seen{LastAnswer: time.Duration(s.good.Load()), LastConnectFailure: time.Duration(s.bad.Load())}
}
