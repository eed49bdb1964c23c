package headers

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

var vars = Vars{Client: netip.MustParseAddr("192.0.2.7"), Scheme: "https", Host: "a.test", Method: "GET", Path: "/x/a%0d%0ab/%zz",
	Query: "q=1", ID: "id1", Route: "r", Pool: "p", Status: 503, Header: http.Header{"X-Team": {"bins"}}}

func TestTemplates(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "plain": "plain", "$$5": "$5", "${client}|${scheme}|${host}|${method}": "192.0.2.7|https|a.test|GET",
		"${path.1}-${path.2}-${path.3}-${path.9}": "x-a%0D%0Ab-%zz-", "${uri}": "/x/a%0d%0ab/%zz?q=1", "${header.x-team}${header.X-None}": "bins",
		"${id} ${route} ${pool} ${status}": "id1 r p 503",
	} {
		tpl, err := Compile(text)
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if got, err := tpl.Expand(&vars); err != nil || got != want {
			t.Errorf("%q becomes %q, %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{"$", "${", "${client", "${nobody}", "${header.}", "${header.a b}", "${path.0}", "${path.x}", "$client", "a\nb", "a\x00", strings.Repeat("x", maxValue+1)} {
		if _, err := Compile(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
	tpl, _ := Compile("${header.X-Team}${header.X-Team}")
	for size, ok := range map[int]bool{maxValue / 2: true, maxValue/2 + 1: false} {
		v := Vars{Header: http.Header{"X-Team": {strings.Repeat("x", size)}}}
		if _, err := tpl.Expand(&v); (err == nil) != ok {
			t.Errorf("twice %d bytes: %v", size, err)
		}
	}
}

func TestOps(t *testing.T) {
	o, problems := CompileOps([]Change{{Set: "x-a", To: "1"}, {Add: "X-B", To: "${id}"}, {Remove: "X-C"}, {Add: "x-a", To: "2"}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	shared := make([]string, 1, 4)
	shared[0] = "old"
	h := http.Header{"X-B": shared, "X-C": {"x"}}
	if err := o.Apply(h, &vars); err != nil || strings.Join(h["X-A"], ",") != "1,2" || strings.Join(h["X-B"], ",") != "old,id1" || h["X-C"] != nil {
		t.Errorf("%v, %v", h, err)
	}
	if shared[:2][1] != "" {
		t.Error("a shared slice of values was modified")
	}
	for _, c := range []Change{{}, {Set: "a", Add: "b"}, {Set: "a b"}, {Set: "Connection", To: "x"}, {Remove: "content-length"}, {Set: "Transfer-Encoding"},
		{Set: "host", To: "x"}, {Remove: "X", To: "v"}, {Set: "X", To: "${nobody}"}, {Add: "x-time-left"}, {Set: "X\r\nY", To: "v"}} {
		if o, problems := CompileOps([]Change{c}); o != nil || len(problems) == 0 {
			t.Errorf("%+v is accepted", c)
		}
	}
	var none *Ops
	if none.Apply(h, &vars) != nil {
		t.Error("a nil Ops returns an error")
	}
}

// The client's address and the forwarding fields sent to hosts depend on whether the peer is trusted.
func TestForward(t *testing.T) {
	f := &Forward{XForwarded: true, Standard: true, Trusted: NewTrusted([]netip.Prefix{netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("2001:db8::/32")})}
	for _, c := range []struct {
		name, peer      string
		in              http.Header
		client          string
		xff, proto, std string
	}{
		{"a client", "192.0.2.7", http.Header{}, "192.0.2.7", "192.0.2.7", "http", `for=192.0.2.7;host="a.test:80";proto=http`},
		{"a client with forged fields", "192.0.2.7", http.Header{"X-Forwarded-For": {"1.1.1.1"}, "X-Forwarded-Proto": {"https"}, "X-Real-Ip": {"1.1.1.1"}, "Forwarded": {`for="x`}},
			"192.0.2.7", "192.0.2.7", "http", `for=192.0.2.7;host="a.test:80";proto=http`},
		{"a proxy", "10.0.0.1", http.Header{"X-Forwarded-For": {"198.51.100.4, 10.0.0.9"}, "X-Forwarded-Proto": {"https"}, "Forwarded": {"for=198.51.100.4"}},
			"198.51.100.4", "198.51.100.4, 10.0.0.9, 10.0.0.1", "https", `for=198.51.100.4, for=10.0.0.1;host="a.test:80";proto=http`},
		{"a proxy of a client with forged fields", "10.0.0.1", http.Header{"X-Forwarded-For": {"1.1.1.1", "198.51.100.4"}}, "198.51.100.4", "1.1.1.1, 198.51.100.4, 10.0.0.1", "http", `for=10.0.0.1;host="a.test:80";proto=http`},
		{"a proxy with malformed fields", "10.0.0.1", http.Header{"X-Forwarded-For": {"noise"}, "X-Forwarded-Proto": {"gopher"}, "Forwarded": {`for="open`}}, "10.0.0.1", "noise, 10.0.0.1", "http", `for=10.0.0.1;host="a.test:80";proto=http`},
		{"a proxy with a long chain", "10.0.0.1", http.Header{"X-Forwarded-For": {strings.Repeat("1.1.1.1,", 9999)}}, "10.0.0.1", "10.0.0.1", "http", `for=10.0.0.1;host="a.test:80";proto=http`},
		{"a proxy with an IPv6 address", "2001:db8::1", http.Header{"X-Forwarded-For": {"2001:db8::2"}}, "2001:db8::2", "2001:db8::2, 2001:db8::1", "http", `for="[2001:db8::1]";host="a.test:80";proto=http`},
		{"mapped", "::ffff:10.0.0.1", http.Header{"X-Forwarded-For": {"198.51.100.4"}}, "198.51.100.4", "198.51.100.4, 10.0.0.1", "http", `for=10.0.0.1;host="a.test:80";proto=http`},
	} {
		peer := netip.MustParseAddr(c.peer)
		if got := f.Client(c.in, peer); got.String() != c.client {
			t.Errorf("%s: the client is %v, want %s", c.name, got, c.client)
		}
		f.Apply(c.in, peer, "http", "a.test:80")
		if c.in.Get("X-Forwarded-For") != c.xff || c.in.Get("X-Forwarded-Proto") != c.proto || c.in.Get("Forwarded") != c.std || c.in["X-Real-Ip"] != nil {
			t.Errorf("%s: the fields sent to hosts are %v", c.name, c.in)
		}
	}
	h := http.Header{"X-Forwarded-For": {"1.1.1.1"}}
	(&Forward{}).Apply(h, netip.MustParseAddr("192.0.2.7"), "http", "a")
	if len(h) != 0 {
		t.Errorf("fields are sent although none is enabled: %v", h)
	}
	var none *Forward
	none.Apply(h, netip.Addr{}, "http", "a")
}

// For any input of clients, no value starts another field, and nothing panics.
func FuzzHeaders(f *testing.F) {
	f.Add("${path.1}${header.X-A}", "/a%0d%0aSet-Cookie:%20x", "v", "1.1.1.1, 10.0.0.1", `for="a\"b"`, "host\"\\")
	f.Fuzz(func(t *testing.T, text, path, value, chain, std, host string) {
		o, problems := CompileOps([]Change{{Set: "X-Out", To: text}})
		if (o == nil) == (len(problems) == 0) {
			t.Fatal("the result must be either changes or problems")
		}
		h := http.Header{"X-Forwarded-For": {chain}, "Forwarded": {std}}
		v := Vars{Path: path, Host: host, Header: http.Header{"X-A": {value}}}
		if o.Apply(h, &v) == nil && o != nil {
			for _, x := range h["X-Out"] {
				if strings.ContainsAny(x, "\r\n\x00") || len(x) > maxValue {
					t.Fatalf("%q", x)
				}
			}
		}
		for _, peer := range []string{"192.0.2.7", "10.0.0.1"} {
			f := &Forward{XForwarded: true, Standard: true, Trusted: NewTrusted([]netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")})}
			f.Client(h, netip.MustParseAddr(peer))
			f.Apply(h, netip.MustParseAddr(peer), "http", host)
			if !balanced(h.Get("Forwarded")) {
				t.Fatalf("a quoted string is not closed: %q", h.Get("Forwarded"))
			}
		}
	})
}
