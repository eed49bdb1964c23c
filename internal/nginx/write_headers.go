package nginx

import (
	"fmt"
	"strings"
)

// headers is what a location changes in headers.
func (m *importer) headers(b *strings.Builder, l *location) (upgrades bool) {
	authority := l.pass.name // $proxy_host
	var request []string
	for _, d := range l.conf.setHeaders {
		switch lower := strings.ToLower(d.Text(0)); {
		case len(d.Args) != 2:
			m.report.say(d, Left, "a name and a value are wanted")
		case lower == "host":
			authority = m.hostHeader(d, authority)
		case lower == "connection" || lower == "upgrade":
			upgrades = m.upgradeHeader(d, lower) || upgrades
		case lower == "x-forwarded-for" || lower == "x-forwarded-proto" || lower == "x-forwarded-host":
			m.forwardedHeader(d)
		default:
			request = append(request, m.requestHeader(d, lower)...)
		}
	}
	fmt.Fprintf(b, "authority = %s\n", str(authority))
	if len(request) > 0 {
		fmt.Fprintf(b, "request_headers = [%s]\n", strings.Join(request, ", "))
	}
	if response := m.responseHeaders(l); len(response) > 0 {
		fmt.Fprintf(b, "response_headers = [%s]\n", strings.Join(response, ", "))
	}
	return upgrades
}

// hostHeader is the authority that hosts are told, where it was another until here.
func (m *importer) hostHeader(d *Directive, authority string) string {
	switch value := d.Text(1); {
	case value == "$host":
		m.report.say(d, Differs, "with the port, if the client sent one")
		return "client"
	case value == "$http_host":
		m.report.say(d, Taken, "")
		return "client"
	case value == "$proxy_host":
		m.report.say(d, Taken, "")
	case strings.Contains(value, "$"):
		m.report.say(d, Left, "the variables in it are not evaluated")
	default:
		m.report.say(d, Taken, "")
		return value
	}
	return authority
}

// upgradeHeader says whether a header lets connections switch protocols.
func (m *importer) upgradeHeader(d *Directive, lower string) bool {
	switch value := d.Text(1); {
	case value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive"):
		m.report.say(d, Needless, "connections are the gateway's own")
	case lower == "connection" && (strings.EqualFold(value, "upgrade") || value == "$http_connection"):
		m.report.say(d, Needless, "it goes with Upgrade")
	case lower == "upgrade" && value == "$http_upgrade":
		m.report.say(d, Differs, "to WebSocket alone")
		return true
	default:
		m.report.say(d, Left, "connections are not upgraded")
	}
	return false
}

func (m *importer) forwardedHeader(d *Directive) {
	switch d.Text(1) {
	case "$proxy_add_x_forwarded_for", "$remote_addr", "$scheme", "$host", "$http_host":
		m.report.say(d, Differs, "[forwarded] sends it; what clients say of it counts only from trusted addresses")
	default:
		m.report.say(d, Left, "[forwarded] sends it, with another value")
	}
}

// requestHeader is what becomes of any other header of requests.
func (m *importer) requestHeader(d *Directive, lower string) []string {
	name, value := d.Text(0), d.Text(1)
	text, unknown := template(value)
	switch {
	case unknown != "":
		m.report.say(d, Left, "$%s has no counterpart", unknown)
	case value == "":
		m.report.say(d, Taken, "")
		return []string{"{ remove = " + str(name) + " }"}
	case lower == "content-length" || lower == "transfer-encoding" || lower == "te" || lower == "expect":
		m.report.say(d, Left, "how messages are framed is the gateway's own")
	default:
		m.report.say(d, Taken, "")
		return []string{"{ set = " + str(name) + ", to = " + str(text) + " }"}
	}
	return nil
}

// responseHeaders is what a location changes in the headers of answers.
func (m *importer) responseHeaders(l *location) (changes []string) {
	for _, d := range l.conf.addHeaders {
		text, unknown := template(d.Text(1))
		if unknown != "" || len(d.Args) < 2 {
			m.report.say(d, Left, "$%s has no counterpart", unknown)
			continue
		}
		changes = append(changes, "{ add = "+str(d.Text(0))+", to = "+str(text)+" }")
		if d.Text(2) == "always" {
			m.report.say(d, Taken, "")
		} else {
			m.report.say(d, Differs, "it is added whatever the status")
		}
	}
	for _, d := range l.conf.hide {
		changes = append(changes, "{ remove = "+str(d.Text(0))+" }")
		m.report.say(d, Taken, "")
	}
	return changes
}
