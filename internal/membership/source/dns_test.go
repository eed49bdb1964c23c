package source

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"frostshift/internal/fake"
	"frostshift/internal/membership"
)

func nameServer(t *testing.T) *fake.DNS {
	t.Helper()
	d, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.End)
	return d
}

// one asks once.
func one(d *DNS) (hosts []string, ttl time.Duration, err error) {
	ctx, end := context.WithTimeout(context.Background(), patience)
	defer end()
	list, ttl, err := d.ask(ctx)
	for _, e := range list {
		if e.Check() != nil {
			err = e.Check()
		}
		hosts = append(hosts, e.Name+" "+e.Address)
	}
	return hosts, ttl, err
}

func TestDNSAnswers(t *testing.T) {
	d := nameServer(t)
	for _, c := range []struct {
		name, kind string
		set        map[string]fake.Records // by type and name
		want       []string
		ttl        time.Duration
		err        string
	}{
		{"a", "a", map[string]fake.Records{"A a.": {Answer: []string{"a. 30 A 127.0.0.2", "a. 20 A 127.0.0.1", "a. 20 A 127.0.0.1"}}},
			[]string{"127.0.0.1:80 127.0.0.1:80", "127.0.0.2:80 127.0.0.2:80"}, 20 * time.Second, ""},
		{"ttl0", "a", map[string]fake.Records{"A ttl0.": {Answer: []string{"ttl0. 0 A 127.0.0.2"}}}, []string{"127.0.0.2:80 127.0.0.2:80"}, 0, ""},
		{"six", "both", map[string]fake.Records{"AAAA six.": {Answer: []string{"six. 30 AAAA ::1"}}, "A six.": {}}, []string{"[::1]:80 [::1]:80"}, time.Second, ""},
		{"alias", "a", map[string]fake.Records{"A alias.": {Answer: []string{"alias. 9 CNAME real.", "other. 1 A 127.0.0.9", "real. 30 A 127.0.0.2"}}},
			[]string{"127.0.0.2:80 127.0.0.2:80"}, 9 * time.Second, ""},
		{"round", "a", map[string]fake.Records{"A round.": {Answer: []string{"round. 9 CNAME circle.", "circle. 9 CNAME round."}}}, nil, 9 * time.Second, ""},
		{"gone", "a", map[string]fake.Records{"A gone.": {Rcode: dns.RcodeNameError, Authority: []string{"gone. 60 SOA ns. me. 1 2 3 4 7"}}}, nil, 7 * time.Second, ""},
		{"fails", "a", map[string]fake.Records{"A fails.": {Rcode: dns.RcodeServerFailure}}, nil, 0, "SERVFAIL"},
		{"cut", "a", map[string]fake.Records{"A cut.": {Truncated: true, Answer: []string{"cut. 5 A 127.0.0.3"}}}, []string{"127.0.0.3:80 127.0.0.3:80"}, 5 * time.Second, ""},
		{"other", "a", map[string]fake.Records{"A other.": {Other: "evil.", Answer: []string{"other. 5 A 127.0.0.3"}}}, nil, 0, "another question"},
		{"_s._tcp.x", "srv", map[string]fake.Records{"SRV _s._tcp.x.": {
			Answer: []string{"_s._tcp.x. 30 SRV 2 1 1000 late.", "_s._tcp.x. 30 SRV 1 5 1001 one.", "_s._tcp.x. 30 SRV 1 0 1002 never.", "_s._tcp.x. 30 SRV 1 9 1003 Two."},
			Extra:  []string{"one. 30 A 127.0.0.1", "two. 12 A 127.0.0.2", "two. 12 A 127.0.0.3"}}},
			[]string{"one:1001 127.0.0.1:1001", "two:1003/127.0.0.2 127.0.0.2:1003", "two:1003/127.0.0.3 127.0.0.3:1003"}, 12 * time.Second, ""},
		{"_w._tcp.x", "srv", map[string]fake.Records{"SRV _w._tcp.x.": {Answer: []string{"_w._tcp.x. 30 SRV 1 0 1001 w.", "_w._tcp.x. 30 SRV 0 0 1002 w."}}, "A w.": {Answer: []string{"w. 4 A 127.0.0.7"}}},
			[]string{"w:1002 127.0.0.7:1002"}, time.Second, ""},
		{"_n._tcp.x", "srv", map[string]fake.Records{"SRV _n._tcp.x.": {Answer: []string{"_n._tcp.x. 30 SRV 0 0 0 ."}}}, nil, 0, ""},
	} {
		for key, r := range c.set {
			kind, name, _ := strings.Cut(key, " ")
			d.Set(name, dns.StringToType[kind], r)
		}
		q := &DNS{Server: d.Addr(), Name: c.name, Type: c.kind, Port: 80}
		if c.kind == "srv" {
			q.Port = 0
		}
		if f, text := q.Check(); f != "" {
			t.Errorf("%s: %s %s", c.name, f, text)
		}
		hosts, ttl, err := one(q)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: %v, %v; want %q", c.name, hosts, err, c.err)
			}
			continue
		}
		if err != nil || !slices.Equal(hosts, c.want) || len(hosts) > 0 && ttl != c.ttl {
			t.Errorf("%s: %q for %v, %v; want %q for %v", c.name, hosts, ttl, err, c.want, c.ttl)
		}
	}
	if d.TCP.Load() != 1 {
		t.Errorf("%d questions over TCP, want the one that was cut short", d.TCP.Load())
	}
	var many []string
	for i := range mostTargets + 1 {
		many = append(many, fmt.Sprintf("_m._tcp.x. 30 SRV 0 1 80 t%d.", i))
		d.Set(fmt.Sprintf("t%d.", i), dns.TypeA, fake.Records{Answer: []string{fmt.Sprintf("t%d. 5 A 127.0.0.1", i)}})
	}
	d.Set("_m._tcp.x.", dns.TypeSRV, fake.Records{Truncated: true, Answer: many})
	if _, _, err := one(&DNS{Server: d.Addr(), Name: "_m._tcp.x", Type: "srv"}); err == nil || !strings.Contains(err.Error(), "targets") {
		t.Errorf("targets without end: %v", err)
	}
}

func TestDNSCheck(t *testing.T) {
	for want, d := range map[string]DNS{"server": {Server: "x", Name: "a", Port: 1}, "name": {Server: "127.0.0.1:53", Name: "", Port: 1}, "port": {Server: "127.0.0.1:53", Name: "a"},
		"type": {Server: "127.0.0.1:53", Name: "a", Type: "mx"}} {
		if f, _ := d.Check(); f != want {
			t.Errorf("%+v: %q", d, f)
		}
	}
	if f, _ := (&DNS{Server: "127.0.0.1:53", Name: "a", Type: "srv", Port: 4}).Check(); f != "port" {
		t.Errorf("srv with a port: %q", f)
	}
}

// A name that is followed: what changes is taken, a server that fails or answers nonsense
// changes nothing and is told of once, one that is back is heard, and a name that is there
// no more is an empty list.
func TestDNSIsFollowed(t *testing.T) {
	d := nameServer(t)
	set := func(addr string) {
		d.Set("h.", dns.TypeA, fake.Records{Answer: []string{"h. 0 A " + addr}})
	}
	set("127.0.0.1")
	log := &safeBuffer{got: make(chan string, 100)}
	g := gather{make(chan *membership.List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.NewTextHandler(log, nil)), LeastTTL: time.Millisecond})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx, Spec{DNS: &DNS{Server: d.Addr(), Name: "h", Type: "a", Port: 80}})
		close(ended)
	}()
	last := uint64(0)
	next := func(what string, want ...string) {
		t.Helper()
		l := await(t, g.lists, what)
		var got []string
		for _, e := range l.Endpoints {
			got = append(got, e.Address)
		}
		if !slices.Equal(got, want) || !l.Snapshot || *l.Index <= last {
			t.Errorf("%s: %v in version %d after %d, want %v", what, got, *l.Index, last, want)
		}
		last = *l.Index
	}
	next("the first list", "127.0.0.1:80")
	for range 5 { // the same again is no news
		await(t, d.Asked, "another question")
	}
	if len(g.lists) > 0 {
		t.Error("a list that had not changed was handed on again")
	}
	set("127.0.0.2")
	next("a change", "127.0.0.2:80")
	d.Set("h.", dns.TypeA, fake.Records{Rcode: dns.RcodeServerFailure})
	if line := await(t, log.got, "a warning"); !strings.Contains(line, "SERVFAIL") {
		t.Errorf("said %q", line)
	}
	for len(d.Asked) > 0 {
		<-d.Asked
	}
	await(t, d.Asked, "another try")
	set("127.0.0.3")
	next("after an outage", "127.0.0.3:80")
	d.Set("h.", dns.TypeA, fake.Records{Rcode: dns.RcodeNameError, Authority: []string{"h. 0 SOA ns. me. 1 2 3 4 0"}})
	next("a name that is gone")
	set("127.0.0.1")
	next("and back", "127.0.0.1:80")
	end()
	await(t, ended, "the end")
	if len(log.got) > 0 || len(g.lists) > 0 {
		t.Errorf("%d lines and %d lists too many", len(log.got), len(g.lists))
	}
}

// A server that says nothing does not hold up the end.
func TestSilentDNS(t *testing.T) {
	d := nameServer(t)
	d.Set("h.", dns.TypeA, fake.Records{Silent: true})
	g := gather{make(chan *membership.List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.DiscardHandler)})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx, Spec{DNS: &DNS{Server: d.Addr(), Name: "h", Type: "a", Port: 80}})
		close(ended)
	}()
	await(t, d.Asked, "a question")
	end()
	await(t, ended, "the end")
	if len(g.lists) > 0 {
		t.Error("a list came from nowhere")
	}
}
