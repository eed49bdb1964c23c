package config

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"frostshift/internal/route"
)

// BodyMode says how the bodies of requests go to hosts.
type BodyMode uint8

// Modes.
const (
	BodiesWhole  BodyMode = iota // each is taken whole before a byte of it goes on
	BodiesStream                 // each goes on as it comes
	BodiesAuto                   // whole up to what may be kept for another attempt, beyond that as it comes
)

var bodyModes = map[string]BodyMode{"whole": BodiesWhole, "stream": BodiesStream, "auto": BodiesAuto}

// Bodies is how bodies on a route go on where they need not be whole.
type Bodies struct {
	Requests BodyMode
	Answers  bool // they flow to the client as they come, beyond Hold
	// Replay is how many bytes of a request are kept in memory for another attempt, Spool how
	// many on disk (0: none), and Strict that a body which can't be kept there is not sent
	// on without.
	Replay, Spool int64
	Strict        bool
	Hold          int64         // bytes of an answer of told length up to which it is held whole
	Ahead         time.Duration // that the beginning of one of untold length is held back for
	Most          int64         // bytes of a request; 0: any
	Idle          time.Duration // that either side may let pass without a byte
	Silence       time.Duration // ... and the client within its request; 0: Idle
	Longest       time.Duration // of a request with all of its answer
	Rate          int64         // bytes a second that a client must send in the long run; 0: any
	Hints         bool          // 103 is passed on
	Upgrades      []string      // protocols that may be switched to, in lower case
	// HeadTimed says that the time which a client gives its request is for the head of the
	// answer, and not for the whole of a body that flows.
	HeadTimed bool
}

// Spool is where bodies are kept on disk.
type Spool struct {
	Dir        string // "": nowhere
	Most, Team int64  // bytes of all and of one team; Team 0: as all
}

type fileBodies struct {
	Requests string         `toml:"requests"`
	Answers  string         `toml:"answers"`
	Replay   *int64         `toml:"replay"`
	Spool    int64          `toml:"spool"`
	Full     string         `toml:"full"`
	Hold     *int64         `toml:"hold"`
	Most     int64          `toml:"most"`
	Idle     *time.Duration `toml:"idle"`
	Longest  *time.Duration `toml:"longest"`
	Rate     *int64         `toml:"rate"`
	Hints    bool           `toml:"hints"`
	Upgrades []string       `toml:"upgrades"`
}

type fileSpool struct {
	Dir  string `toml:"dir"`
	Most int64  `toml:"most"`
	Team int64  `toml:"team"`
}

const (
	// MostWhole is how long a request's body may be where it is taken whole.
	MostWhole       = 64 << 10
	defaultReplay   = 64 << 10
	defaultHold     = 64 << 10
	mostReplay      = 16 << 20
	mostHold        = 4 << 20
	defaultBodyIdle = 30 * time.Second
	defaultLongest  = time.Hour
	defaultRate     = 240 // bytes a second: slower than any modem, faster than one who holds places
	longestBody     = 30 * 24 * time.Hour
)

// bodies reads how bodies go on; nil: whole.
func (d *doc) bodies(key string, in *fileBodies, spool *Spool) *Bodies {
	if in == nil {
		return nil
	}
	b := &Bodies{Replay: defaultReplay, Hold: defaultHold, Most: in.Most, Idle: defaultBodyIdle, Longest: defaultLongest,
		Rate: defaultRate, Spool: in.Spool, Hints: in.Hints}
	mode, known := bodyModes[in.Requests]
	if !known && in.Requests != "" {
		d.fail(key+".requests", "%q is none of whole, stream, auto", in.Requests)
	}
	b.Requests = mode
	switch in.Answers {
	case "", "whole":
	case "stream":
		b.Answers = true
	default:
		d.fail(key+".answers", "%q is neither whole nor stream", in.Answers)
	}
	d.bodyFigures(key, in, b)
	switch in.Full {
	case "", "stream":
	case "refuse":
		b.Strict = true
	default:
		d.fail(key+".full", "%q is neither stream nor refuse", in.Full)
	}
	if b.Spool > 0 && spool.Dir == "" {
		d.fail(key+".spool", "there is no [spool] with a folder")
	}
	if b.Strict && b.Spool == 0 {
		d.fail(key+".full", "belongs to spool")
	}
	if b.Requests == BodiesWhole && (b.Spool > 0 || in.Replay != nil) {
		d.fail(key+".requests", "whole bodies need no replay: stream or auto")
	}
	for i, name := range in.Upgrades {
		if !isToken(name) || strings.EqualFold(name, "h2c") || strings.EqualFold(name, "http/2.0") {
			d.fail(fmt.Sprintf("%s.upgrades[%d]", key, i), "%q is no protocol to switch to", name)
		}
		b.Upgrades = append(b.Upgrades, strings.ToLower(name))
	}
	return b
}

// bodyFigures reads sizes and times of bodies that flow.
func (d *doc) bodyFigures(key string, in *fileBodies, b *Bodies) {
	for _, n := range []struct {
		name     string
		from, to *int64
		most     int64
	}{{"replay", in.Replay, &b.Replay, mostReplay}, {"hold", in.Hold, &b.Hold, mostHold}, {"rate", in.Rate, &b.Rate, 1 << 40},
		{"most", &in.Most, &b.Most, 1 << 50}, {"spool", &in.Spool, &b.Spool, 1 << 50}} {
		if n.from == nil {
			continue
		}
		if *n.from < 0 || *n.from > n.most {
			d.fail(key+"."+n.name, "%d is not from 0 to %d", *n.from, n.most)
		}
		*n.to = *n.from
	}
	for _, t := range []struct {
		name     string
		from, to *time.Duration
	}{{"idle", in.Idle, &b.Idle}, {"longest", in.Longest, &b.Longest}} {
		if t.from == nil {
			continue
		}
		if *t.from < 10*time.Millisecond || *t.from > longestBody {
			d.fail(key+"."+t.name, "%v is not from 10ms to %v", *t.from, longestBody)
		}
		*t.to = *t.from
	}
}

// upgrades checks that protocols are switched at hosts that can.
func (d *doc) upgrades(key string, b *Bodies, r *route.Route, m *Model) {
	if b == nil || len(b.Upgrades) == 0 {
		return
	}
	names := []string{r.Fallback}
	for _, w := range r.Pools {
		names = append(names, w.Pool)
	}
	for _, name := range names {
		if p := m.PoolNamed(name); p != nil && p.Protocol == HTTP2 {
			d.fail(key+".upgrades", "hosts of pool %q speak HTTP/2, which has no Upgrade", name)
		}
	}
}

// isToken says whether a protocol's name is one (RFC 9110 section 5.6.2, and a slash).
func isToken(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~/", c) >= 0) {
			return false
		}
	}
	return true
}

// UpgradeOf is the protocol that a request asks to switch to and that the route allows; "":
// none.
func (b *Bodies) UpgradeOf(h http.Header) string {
	if b == nil || len(b.Upgrades) == 0 {
		return ""
	}
	asks := false
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			asks = asks || strings.EqualFold(strings.TrimSpace(name), "upgrade")
		}
	}
	name := strings.ToLower(h.Get("Upgrade"))
	if !asks || len(h["Upgrade"]) != 1 {
		return ""
	}
	for _, allowed := range b.Upgrades {
		if allowed == name {
			return h.Get("Upgrade")
		}
	}
	return ""
}

func (d *doc) spool(in *fileSpool) (s Spool) {
	if in == nil {
		return s
	}
	s = Spool{Dir: d.beside(in.Dir), Most: in.Most, Team: in.Team}
	if in.Dir == "" {
		d.fail("spool.dir", "a spool needs a folder")
	}
	if in.Most <= 0 {
		d.fail("spool.most", "%d bytes are no room", in.Most)
	}
	if in.Team < 0 || in.Team > in.Most {
		d.fail("spool.team", "%d is not from 0 to most", in.Team)
	}
	return s
}
