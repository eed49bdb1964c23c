package fake

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/miekg/dns"
)

// DNS is a name server on a loopback address, over UDP and TCP on one port, that answers
// what it is told.
type DNS struct {
	udp, tcp *dns.Server
	addr     string

	mu    sync.Mutex
	zones map[dns.Question]Records

	// UDP and TCP count the questions; Asked gets each one that finds room.
	UDP, TCP atomic.Int64
	Asked    chan dns.Question
}

// Records is the answer to one question.
type Records struct {
	Answer, Extra, Authority []string // in the form of a zone file
	Rcode                    int
	Truncated                bool   // over UDP
	Silent                   bool   // there is no answer
	Other                    string // the question that the answer claims to be to
}

// NewDNS starts a name server without any name.
func NewDNS() (*DNS, error) {
	d := &DNS{zones: map[dns.Question]Records{}, Asked: make(chan dns.Question, 1000)}
	for range 20 { // the port that the kernel gives for the one may be taken for the other
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			l.Close()
			continue
		}
		d.addr = l.Addr().String()
		d.tcp = &dns.Server{Listener: l, Handler: dns.HandlerFunc(d.serve)}
		d.udp = &dns.Server{PacketConn: p, Handler: dns.HandlerFunc(d.serve)}
		var ready sync.WaitGroup
		for _, s := range []*dns.Server{d.tcp, d.udp} {
			ready.Add(1)
			s.NotifyStartedFunc = ready.Done
			go s.ActivateAndServe()
		}
		ready.Wait()
		return d, nil
	}
	return nil, net.ErrClosed
}

// Addr is where it listens.
func (d *DNS) Addr() string { return d.addr }

// Set says how a question is answered from now on.
func (d *DNS) Set(name string, qtype uint16, r Records) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones[dns.Question{Name: dns.Fqdn(name), Qtype: qtype, Qclass: dns.ClassINET}] = r
}

// End closes everything.
func (d *DNS) End() {
	d.tcp.Shutdown()
	d.udp.Shutdown()
}

func (d *DNS) serve(w dns.ResponseWriter, q *dns.Msg) {
	_, stream := w.RemoteAddr().(*net.TCPAddr)
	if stream {
		d.TCP.Add(1)
	} else {
		d.UDP.Add(1)
	}
	d.mu.Lock()
	r, known := d.zones[q.Question[0]]
	d.mu.Unlock()
	select {
	case d.Asked <- q.Question[0]:
	default:
	}
	if r.Silent {
		return
	}
	m := new(dns.Msg)
	m.SetReply(q)
	if m.Rcode = r.Rcode; !known {
		m.Rcode = dns.RcodeNameError
	}
	if r.Other != "" {
		m.Question[0].Name = r.Other
	}
	if r.Truncated && !stream {
		m.Truncated = true
		w.WriteMsg(m)
		return
	}
	for _, part := range []struct {
		from []string
		to   *[]dns.RR
	}{{r.Answer, &m.Answer}, {r.Extra, &m.Extra}, {r.Authority, &m.Ns}} {
		for _, text := range part.from {
			rr, err := dns.NewRR(text)
			if err != nil {
				panic(err) // a script that is wrong
			}
			*part.to = append(*part.to, rr)
		}
	}
	w.WriteMsg(m)
}
