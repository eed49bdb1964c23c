package reference

import (
	"regexp"
	"strconv"
	"strings"

	"frostshift/internal/nginx"
)

// addresses are what a server listens at: ngx_http_core_module, "listen": an address alone
// has port 80, a port alone any address, none *:80.
func addresses(s *nginx.Directive) (list []string, isDefault map[string]bool) {
	isDefault = map[string]bool{}
	for _, d := range s.Block {
		if d.Name != "listen" {
			continue
		}
		a := d.Text(0)
		if _, err := strconv.Atoi(a); err == nil {
			a = "0.0.0.0:" + a
		} else if strings.HasPrefix(a, "*:") {
			a = "0.0.0.0" + a[1:]
		} else if !strings.Contains(a, ":") {
			a += ":80"
		}
		list = append(list, a)
		for _, x := range d.Args[1:] {
			if x.Text == "default_server" || x.Text == "default" {
				isDefault[a] = true
			}
		}
	}
	if len(list) == 0 {
		list = []string{"0.0.0.0:80"}
	}
	return list, isDefault
}

// chooseServer: "How nginx processes a request" and "Server names": exact name, longest
// wildcard starting with an asterisk, longest ending with one, first matching expression in
// order of appearance, and else the default server, which is the first unless one says so.
func chooseServer(servers []*nginx.Directive, r Request) *nginx.Directive {
	host := strings.ToLower(r.Host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	here, fallback := listening(servers, r.Address)
	for _, pick := range []func([]*nginx.Directive, string) *nginx.Directive{exactName, longestSuffix, longestPrefix, firstExpression} {
		if s := pick(here, host); s != nil {
			return s
		}
	}
	return fallback
}

// listening are the servers that listen at an address, and the default one among them.
func listening(servers []*nginx.Directive, address string) (here []*nginx.Directive, fallback *nginx.Directive) {
	for _, s := range servers {
		list, isDefault := addresses(s)
		for _, a := range list {
			if a != address {
				continue
			}
			here = append(here, s)
			if fallback == nil && isDefault[a] {
				fallback = s
			}
		}
	}
	if fallback == nil && len(here) > 0 {
		fallback = here[0]
	}
	return here, fallback
}

// names are the names of a server.
func names(s *nginx.Directive) (out []string) {
	for _, d := range s.Block {
		if d.Name == "server_name" {
			for _, a := range d.Args {
				out = append(out, a.Text)
			}
		}
	}
	return out
}

func exactName(servers []*nginx.Directive, host string) *nginx.Directive {
	for _, s := range servers {
		for _, n := range names(s) {
			if n != "" && !strings.HasPrefix(n, "~") && (strings.ToLower(n) == host || strings.HasPrefix(n, ".") && strings.ToLower(n[1:]) == host) {
				return s
			}
		}
	}
	return nil
}

func longestSuffix(servers []*nginx.Directive, host string) (best *nginx.Directive) {
	length := 0
	for _, s := range servers {
		for _, n := range names(s) {
			n = strings.ToLower(n)
			suffix := ""
			if strings.HasPrefix(n, "*.") {
				suffix = n[1:]
			} else if strings.HasPrefix(n, ".") {
				suffix = n
			}
			if suffix != "" && strings.HasSuffix(host, suffix) && len(host) > len(suffix) && len(suffix) > length {
				best, length = s, len(suffix)
			}
		}
	}
	return best
}

func longestPrefix(servers []*nginx.Directive, host string) (best *nginx.Directive) {
	length := 0
	for _, s := range servers {
		for _, n := range names(s) {
			n = strings.ToLower(n)
			if strings.HasSuffix(n, ".*") && strings.HasPrefix(host, n[:len(n)-1]) && len(host) > len(n)-1 && len(n) > length {
				best, length = s, len(n)
			}
		}
	}
	return best
}

func firstExpression(servers []*nginx.Directive, host string) *nginx.Directive {
	for _, s := range servers {
		for _, n := range names(s) {
			if !strings.HasPrefix(n, "~") {
				continue
			}
			if re, err := regexp.Compile("(?i)" + n[1:]); err == nil && re.MatchString(host) {
				return s
			}
		}
	}
	return nil
}
