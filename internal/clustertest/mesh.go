package clustertest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"frostshift/internal/gossip"
	"frostshift/internal/peers"
)

// Way is what befalls packets from one member to another. The zero value passes them on.
type Way struct {
	Cut   bool
	Loss  float64 // part that is lost
	Twice float64 // part that comes twice
	Delay time.Duration
	// Jitter is added to the delay, up to so much by chance: packets overtake one another.
	Jitter time.Duration
}

// Mesh is the links between members: each is reached through a relay that knows who sends.
type Mesh struct {
	mu    sync.Mutex
	r     *rand.Rand
	way   func(from, to int) Way
	index map[netip.Addr]int // of members, by the loopback address that is each one's own
	list  []*meshRelay
	wg    sync.WaitGroup
}

type meshRelay struct {
	m    *Mesh
	n    int
	to   *net.UDPAddr
	udp  *net.UDPConn
	tcp  net.Listener
	open sync.Map // connections, with the member that each came from
}

// NewMesh makes a mesh without members. Its chances follow from the seed.
func NewMesh(seed uint64) *Mesh {
	return &Mesh{r: rand.New(rand.NewPCG(seed, 13)), way: func(int, int) Way { return Way{} }, index: map[netip.Addr]int{}}
}

// Add puts a relay before a member; its address is for the member to advertise.
func (m *Mesh) Add(talk string) (advertise string, err error) {
	to, err := net.ResolveUDPAddr("udp", talk)
	if err != nil {
		return "", err
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcp.Addr().(*net.TCPAddr).IP, Port: tcp.Addr().(*net.TCPAddr).Port})
	if err != nil {
		tcp.Close()
		return "", err
	}
	m.mu.Lock()
	r := &meshRelay{m: m, n: len(m.list), to: to, udp: udp, tcp: tcp}
	m.list = append(m.list, r)
	m.index[to.AddrPort().Addr().Unmap()] = r.n
	m.mu.Unlock()
	m.wg.Go(r.packets)
	m.wg.Go(r.streams)
	return tcp.Addr().String(), nil
}

// Set changes the ways, also for what is connected; nil: all pass.
func (m *Mesh) Set(way func(from, to int) Way) {
	m.mu.Lock()
	m.way = way
	if way == nil {
		m.way = func(int, int) Way { return Way{} }
	}
	list := slices.Clone(m.list)
	m.mu.Unlock()
	for _, r := range list {
		r.open.Range(func(c, from any) bool {
			if m.apart(from.(int), r.n) {
				c.(net.Conn).Close()
			}
			return true
		})
	}
}

// apart says whether a stream from one member to another breaks: packets are cut on the way there or back.
func (m *Mesh) apart(from, to int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.way(from, to).Cut || m.way(to, from).Cut
}

// sender is the member that an address belongs to; -1: none.
func (m *Mesh) sender(at netip.Addr) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n, known := m.index[at.Unmap()]; known {
		return n
	}
	return -1
}

// Close ends the relays.
func (m *Mesh) Close() {
	m.Set(func(int, int) Way { return Way{Cut: true} })
	for _, r := range m.list {
		r.udp.Close()
		r.tcp.Close()
	}
	m.wg.Wait()
}

// pass throws the dice for a packet: how often it comes, and how late.
func (m *Mesh) pass(from, to int) (times int, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.way(from, to)
	if w.Cut || w.Loss > 0 && m.r.Float64() < w.Loss {
		return 0, 0
	}
	times, delay = 1, w.Delay
	if w.Twice > 0 && m.r.Float64() < w.Twice {
		times = 2
	}
	if w.Jitter > 0 {
		delay += time.Duration(m.r.Int64N(int64(w.Jitter)))
	}
	return times, delay
}

func (r *meshRelay) packets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		times, delay := r.m.pass(r.m.sender(from.Addr()), r.n)
		for range times {
			if delay == 0 {
				r.udp.WriteToUDP(buf[:n], r.to)
				continue
			}
			p := slices.Clone(buf[:n])
			time.AfterFunc(delay, func() { r.udp.WriteToUDP(p, r.to) })
		}
	}
}

func (r *meshRelay) streams() {
	for {
		near, err := r.tcp.Accept()
		if err != nil {
			return
		}
		from := r.m.sender(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if r.m.apart(from, r.n) {
			near.Close()
			continue
		}
		r.m.wg.Go(func() {
			defer near.Close()
			far, err := net.DialTimeout("tcp", r.to.String(), time.Second)
			if err != nil {
				return
			}
			defer far.Close()
			for _, c := range []net.Conn{near, far} {
				c.SetDeadline(time.Now().Add(10 * time.Second))
				r.open.Store(c, from)
				defer r.open.Delete(c)
			}
			if r.m.apart(from, r.n) { // since it was let in
				return
			}
			back := make(chan struct{})
			go func() {
				defer close(back)
				defer near.Close()
				io.Copy(near, far)
			}()
			io.Copy(far, near)
			far.Close()
			<-back
		})
	}
}

// Talk has a process talk to the others through the mesh, nil: without one. Its configuration
// gets what Shape.Fleet says.
func (p *Process) Talk(m *Mesh) (err error) {
	if p.talk, err = p.holdAt(p.ownAddress()); err != nil {
		return err
	}
	if err := p.Manage(); err != nil {
		return err
	}
	p.Advertise = p.talk
	if m != nil {
		p.Advertise, err = m.Add(p.talk)
	}
	return err
}

// Manage gives a process an address for operators.
func (p *Process) Manage() (err error) {
	p.Desk, err = p.hold()
	return err
}

// Fleet asks a process what it knows of the others.
func (p *Process) Fleet(ctx context.Context) (s gossip.Status, err error) {
	err = p.read(ctx, "/fleet", &s)
	return s, err
}

// read asks a process for what it shows operators.
func (p *Process) read(ctx context.Context, path string, into any) error {
	status, text, err := p.call(ctx, http.MethodGet, path)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s: %d %s", p.Name, status, text)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

// call asks for a page at the second address.
func (p *Process) call(ctx context.Context, method, path string) (status int, text string, err error) {
	ctx, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.Desk+path, nil)
	if err != nil {
		return 0, "", err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(io.LimitReader(answer.Body, 8<<20))
	return answer.StatusCode, string(b), err
}

// Agree says whether each of the processes holds just the names for alive, and calls its side so.
func Agree(ctx context.Context, list []*Process, alive map[string]bool, side peers.Side) (ok bool, why string) {
	for _, p := range list {
		s, err := p.Fleet(ctx)
		if err != nil {
			return false, err.Error()
		}
		n := 0
		for _, m := range s.Members {
			if m.State == peers.Alive {
				if n++; !alive[m.Name] {
					return false, fmt.Sprintf("%s holds %s for alive", p.Name, m.Name)
				}
			}
		}
		if n != len(alive) || s.View.Side != side {
			return false, fmt.Sprintf("%s holds %d for alive, want %d; side %v, want %v", p.Name, n, len(alive), s.View.Side, side)
		}
	}
	return true, ""
}
