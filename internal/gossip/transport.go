package gossip

import (
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Bounds of what the sockets take. A member sends a few packets a second; one that floods loses
// its own.
const (
	packetBytes  = 64 << 10
	packetsAhead = 256  // that wait to be handled; the next is dropped
	packetsFrom  = 400  // a second from one address
	sources      = 4096 // addresses that are counted apart; more share one count
	streamsOpen  = 32   // connections that others have opened
	streamFor    = 10 * time.Second
)

// transport is UDP and TCP on one address, with bounds on memory, packets and connections.
type transport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	packets chan *memberlist.Packet
	streams chan net.Conn
	open    chan struct{} // a place for each connection
	end     chan struct{}
	wg      sync.WaitGroup
	once    sync.Once

	dropped, refused atomic.Int64 // packets and connections beyond the bounds
	sent, sentBytes  atomic.Int64

	rates map[netip.AddrPort]*rate // of the loop of packets alone
}

type rate struct {
	second int64
	n      int
}

// listen opens both sockets.
func listen(addr string) (*transport, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	at = netip.AddrPortFrom(at.Addr(), uint16(tcp.Addr().(*net.TCPAddr).Port))
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		tcp.Close()
		return nil, err
	}
	t := &transport{udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, packetsAhead), streams: make(chan net.Conn),
		open: make(chan struct{}, streamsOpen), end: make(chan struct{}), rates: map[netip.AddrPort]*rate{}}
	t.wg.Go(t.receive)
	t.wg.Go(t.accept)
	return t, nil
}

func (t *transport) addr() netip.AddrPort { return t.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

func (t *transport) receive() {
	buf := make([]byte, packetBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		now := time.Now()
		if err != nil || n == 0 {
			continue
		}
		if !t.within(from, now.Unix()) {
			t.dropped.Add(1)
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: now}
		select {
		case t.packets <- p:
		default:
			t.dropped.Add(1)
		}
	}
}

// within says whether an address has sent no more than it may in this second.
func (t *transport) within(from netip.AddrPort, second int64) bool {
	r := t.rates[from]
	if r == nil {
		if len(t.rates) >= sources {
			for a, old := range t.rates { // those that are silent give way
				if old.second < second-1 {
					delete(t.rates, a)
				}
			}
			if len(t.rates) >= sources {
				from = netip.AddrPort{}
				r = t.rates[from]
			}
		}
		if r == nil {
			r = &rate{}
			t.rates[from] = r
		}
	}
	if r.second != second {
		r.second, r.n = second, 0
	}
	r.n++
	return r.n <= packetsFrom
}

func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			select {
			case <-t.end:
				return
			case <-time.After(20 * time.Millisecond): // descriptors are short
				continue
			}
		}
		select {
		case t.open <- struct{}{}:
		default:
			t.refused.Add(1)
			c.Close()
			continue
		}
		c.SetDeadline(time.Now().Add(streamFor))
		select {
		case t.streams <- &stream{Conn: c, t: t}:
		case <-t.end:
			c.Close()
			return
		}
	}
}

// stream is a connection that another opened: its place is free again when it closes.
type stream struct {
	net.Conn
	t    *transport
	once sync.Once
}

func (s *stream) Close() error {
	s.once.Do(func() { <-s.t.open })
	return s.Conn.Close()
}

// SetDeadline leaves the connection no longer than a connection may be open.
func (s *stream) SetDeadline(at time.Time) error {
	if most := time.Now().Add(streamFor); at.IsZero() || at.After(most) {
		at = most
	}
	return s.Conn.SetDeadline(at)
}

// FinalAdvertiseAddr is where others reach this member: as configured, or where it listens.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		at := t.addr()
		return at.Addr().AsSlice(), int(at.Port()), nil
	}
	parsed := net.ParseIP(ip)
	if parsed == nil {
		return nil, 0, errors.New("advertise: " + strconv.Quote(ip) + " is no address")
	}
	return parsed, port, nil
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	t.sent.Add(1)
	t.sentBytes.Add(int64(len(b)))
	_, err = t.udp.WriteToUDPAddrPort(b, at)
	return time.Now(), err
}

// PacketCh has the packets that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh has the connections that others opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout connects to a member, from the address that packets come from.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if ip := t.addr().Addr(); !ip.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	return d.Dial("tcp", addr)
}

// Shutdown closes both sockets.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.end)
		t.tcp.Close()
		t.udp.Close()
		t.wg.Wait()
	})
	return nil
}
