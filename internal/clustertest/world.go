package clustertest

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Setup is hosts and processes that are to be started together.
type Setup struct {
	Program  string // see Build
	Dir      string
	Seed     uint64
	Hosts    int
	Nature   func(n int) Nature
	Gateways int
	Shape    Shape // its hosts and where to join are filled in
	// Talk has the processes know each other, through a mesh. Those that talk can be asked how they
	// stand; with Manage others can be, too. Direct leaves out the mesh: it would be short of processor time.
	Talk, Manage, Direct bool
	// Teams have contracts; those with a rate share it as package quota does, by this Lease.
	Teams []Team
	Lease time.Duration
	// Through leads a gateway to a host by another address, a relay's; nil: straight.
	Through func(addr string) (string, error)
}

// World is hosts, processes and the audit of what passes between them.
type World struct {
	Audit *Audit
	Hosts []*Host
	List  []*Process
	Shape Shape
	Mesh  *Mesh // nil: they do not talk
	Ready time.Duration
	fleet *Fleet
}

// NewWorld starts it all and waits until each process serves. Close ends it.
func NewWorld(ctx context.Context, s Setup) (w *World, err error) {
	w = &World{Audit: NewAudit(s.Hosts, s.Seed), Shape: s.Shape, fleet: NewFleet(s.Program, s.Dir)}
	defer func() {
		if err != nil {
			w.Close()
		}
	}()
	for n := range s.Hosts {
		h, err := NewHost(n, s.Nature(n), w.Audit)
		if err != nil {
			return w, err
		}
		w.Hosts = append(w.Hosts, h)
		addr := h.Addr
		if s.Through != nil {
			if addr, err = s.Through(addr); err != nil {
				return w, err
			}
		}
		w.Shape.Hosts = append(w.Shape.Hosts, addr)
	}
	if s.Talk && !s.Direct {
		w.Mesh = NewMesh(s.Seed)
	}
	for n := range s.Gateways {
		p, err := w.fleet.Add(fmt.Sprint("g", n))
		if err != nil {
			return w, err
		}
		w.List = append(w.List, p)
		if s.Manage && !s.Talk {
			if err := p.Manage(); err != nil {
				return w, err
			}
		}
		if s.Talk {
			if err := p.Talk(w.Mesh); err != nil {
				return w, err
			}
			if n < 3 {
				w.Shape.Join = append(w.Shape.Join, p.Advertise)
			}
		}
	}
	if len(s.Teams) > 0 {
		if err := w.contracts(s); err != nil {
			return w, err
		}
	}
	for n, p := range w.List {
		if err := p.Configure(w.Shape.Text(p, min(n, max(w.Shape.Gateways-1, 0)))); err != nil {
			return w, err
		}
	}
	began := time.Now()
	err = StartAll(ctx, w.List)
	w.Ready = time.Since(began)
	return w, err
}

// Attempts is how many attempts at hosts all processes have made.
func (w *World) Attempts(ctx context.Context) (sum float64, err error) {
	for _, p := range w.List {
		_, text, err := p.call(ctx, http.MethodGet, "/stats")
		if err != nil {
			return 0, err
		}
		_, after, _ := strings.Cut(text, "\nedge_gw_upstream_requests ")
		line, _, _ := strings.Cut(after, "\n")
		n, err := strconv.ParseFloat(line, 64)
		if err != nil {
			return 0, fmt.Errorf("%s says %q of its attempts", p.Name, line)
		}
		sum += n
	}
	return sum, nil
}

// Close ends all that was started.
func (w *World) Close() {
	w.fleet.Close()
	if w.Mesh != nil {
		w.Mesh.Close()
	}
	for _, h := range w.Hosts {
		h.Close()
	}
}
