package faultinject

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// discoveryAway is where no discovery listens.
	discoveryAway = "127.0.0.1:1"
	// discoveryRests is the time between the empty lines of a discovery that has nothing to say.
	discoveryRests = time.Second
	// discoveryBatch is how many messages a discovery without a pause writes at once.
	discoveryBatch = 20
)

// discoveryMessages are the messages that a discovery repeats without a pause, by the name of its kind: of a version
// and the list's entries.
var discoveryMessages = map[string]func(version int, entries string) string{
	"lists": func(version int, entries string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`+"\n", version, entries)
	},
	"newhosts": func(version int, entries string) string {
		host := fmt.Sprintf(`{"name":"x-%d","address":%q,"zone":"a","type":"std","group":1,"status":"leaving","weight":1,"since_ms":0}`, version, discoveryAway)
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`+"\n", version, entries, host)
	},
	"emptylines": func(int, string) string { return "\n" },
}

// trialDiscovery is the host list's service. It holds watches open and, from some time on, repeats a message on each
// without a pause.
type trialDiscovery struct {
	ln      net.Listener
	message func(version int, entries string) string
	entries string
	from    time.Time
	over    <-chan struct{}
}

func newTrialDiscovery(kind string, entries []string, from time.Time, over <-chan struct{}) (*trialDiscovery, error) {
	message := discoveryMessages[kind]
	if message == nil {
		return nil, fmt.Errorf("there is no kind %q of discovery", kind)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &trialDiscovery{ln: ln, message: message, entries: strings.Join(entries, ","), from: from, over: over}
	go d.serve()
	return d, nil
}

func (d *trialDiscovery) addr() string { return d.ln.Addr().String() }

func (d *trialDiscovery) close() { d.ln.Close() }

func (d *trialDiscovery) serve() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			return
		}
		go d.watch(c)
	}
}

// watch answers one watch until it is closed or the trial is over.
func (d *trialDiscovery) watch(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n\n")
	version := 2
	for err == nil {
		wait := min(time.Until(d.from), discoveryRests)
		if wait < 0 {
			wait = 0
		}
		select {
		case <-d.over:
			return
		case <-time.After(wait):
		}
		if wait > 0 {
			_, err = io.WriteString(c, "\n")
			continue
		}
		var text strings.Builder
		for range discoveryBatch {
			text.WriteString(d.message(version, d.entries))
			version++
		}
		_, err = io.WriteString(c, text.String())
	}
}
