package config

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/membership/source"
	"frostshift/internal/membership/subset"
	"frostshift/internal/route"
	"frostshift/internal/verdict"
)

// file is the form of our own configuration.
type file struct {
	Name       string `toml:"name"`
	Views      string `toml:"views"`
	Management string `toml:"management"`
	Handover   string `toml:"handover"`
	State      string `toml:"state"`
	Limits     struct {
		Cores       float64 `toml:"cores"`
		MemoryMB    int     `toml:"memory_mb"`
		Descriptors int     `toml:"descriptors"`
		Streams     int     `toml:"streams"`
	} `toml:"limits"`
	Log struct {
		Level  string `toml:"level"`
		Format string `toml:"format"`
	} `toml:"log"`
	Bank struct {
		Instances *int          `toml:"instances"`
		Rank      int           `toml:"rank"`
		Talk      string        `toml:"talk"`
		Advertise string        `toml:"advertise"`
		Join      []string      `toml:"join"`
		JoinFile  string        `toml:"join_file"`
		KeyFile   string        `toml:"key_file"`
		Zone      string        `toml:"zone"`
		Probe     time.Duration `toml:"probe"`
		Window    time.Duration `toml:"window"`
		Verdicts  bool          `toml:"verdicts"`
		Bans      bool          `toml:"bans"`
		Load      bool          `toml:"load"`
	} `toml:"bank"`
	Contracts struct {
		Dir string `toml:"dir"`
	} `toml:"contracts"`
	Quota *struct {
		Lease time.Duration `toml:"lease"`
		Mode  string        `toml:"mode"`
		Drift float64       `toml:"drift"`
	} `toml:"quota"`
	Rules     []fileLimit `toml:"limit"`
	Listeners []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
		// http1 or http2; with TLS both, and this is left out
		Protocol   string   `toml:"protocol"`
		Descriptor int      `toml:"descriptor"`
		Limits     []string `toml:"limits"`
		TLS        struct {
			Certificate string `toml:"certificate"`
			Key         string `toml:"key"`
		} `toml:"tls"`
	} `toml:"listener"`
	Classes []struct {
		Name     string        `toml:"name"`
		Effect   string        `toml:"effect"`
		Aim      time.Duration `toml:"aim"`
		Deadline time.Duration `toml:"deadline"`
		Worth    float64       `toml:"worth"`
		Group    string        `toml:"group"`
		Window   time.Duration `toml:"window"`
	} `toml:"class"`
	Answers   []fileAnswers `toml:"answers"`
	Forwarded fileForwarded `toml:"forwarded"`
	Pools     []filePool    `toml:"pool"`
	Routes    []fileRoute   `toml:"route"`
	Moves     []fileMove    `toml:"move"`
	Spool     *fileSpool    `toml:"spool"`
}

type filePool struct {
	Name string `toml:"name"`
	// the one source, as in fileSource, or several source tables
	Hosts          []string      `toml:"hosts"`
	Host           []fileHost    `toml:"host"`
	File           string        `toml:"file"`
	Discovery      string        `toml:"discovery"`
	DNS            *fileDNS      `toml:"dns"`
	XDS            *fileXDS      `toml:"xds"`
	Source         []fileSource  `toml:"source"`
	Belief         *fileBelief   `toml:"belief"`
	Subset         *fileSubset   `toml:"subset"`
	Protocol       string        `toml:"protocol"`
	Guarantee      float64       `toml:"guarantee"`
	Zone           string        `toml:"zone"`
	Zones          []string      `toml:"zones"`
	Kinds          []string      `toml:"kinds"`
	PreferNear     bool          `toml:"prefer_near"`
	CrossPrice     float64       `toml:"cross_price"`
	ConnectTimeout time.Duration `toml:"connect_timeout"`
	IdleTimeout    time.Duration `toml:"idle_timeout"`
	MaxAttempts    *int          `toml:"max_attempts"`
	RepeatBudget   *float64      `toml:"repeat_budget"`
	Answers        string        `toml:"answers"`
	Authority      string        `toml:"authority"`
	RetryAfter     time.Duration `toml:"retry_after"`
	ColdFrom       float64       `toml:"cold_from"`
	WarmAfter      time.Duration `toml:"warm_after"`
	OverloadFactor float64       `toml:"overload_factor"`
	OverloadTime   time.Duration `toml:"overload_time"`
}

// fileSource is one place where hosts come from.
type fileSource struct {
	Hosts     []string   `toml:"hosts"`
	Host      []fileHost `toml:"host"`
	File      string     `toml:"file"`
	Discovery string     `toml:"discovery"`
	DNS       *fileDNS   `toml:"dns"`
	XDS       *fileXDS   `toml:"xds"`
}

type fileDNS struct {
	Server string `toml:"server"`
	Name   string `toml:"name"`
	Type   string `toml:"type"`
	Port   int    `toml:"port"`
}

type fileXDS struct {
	Server  string `toml:"server"`
	Cluster string `toml:"cluster"`
	Node    string `toml:"node"`
	Delta   bool   `toml:"delta"`
	ADS     bool   `toml:"ads"`
}

type fileBelief struct {
	Off      bool          `toml:"off"`
	Floor    float64       `toml:"floor"`
	Window   time.Duration `toml:"window"`
	Keep     time.Duration `toml:"keep"`
	Settle   time.Duration `toml:"settle"`
	HalfLife time.Duration `toml:"half_life"`
	Suppress float64       `toml:"suppress"`
	Reuse    float64       `toml:"reuse"`
}

type fileSubset struct {
	Meet     int  `toml:"meet"`
	Least    int  `toml:"least"`
	Together bool `toml:"together"`
}

type fileHost struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Kind    string  `toml:"kind"`
	Group   int     `toml:"group"`
	Status  string  `toml:"status"`
	Backup  bool    `toml:"backup"`
	Weight  float64 `toml:"weight"`
}

type fileRoute struct {
	Name       string          `toml:"name"`
	Priority   int             `toml:"priority"`
	Host       string          `toml:"host"`
	Prefix     *string         `toml:"prefix"`
	Path       *string         `toml:"path"`
	Expression *string         `toml:"expression"`
	Starts     *string         `toml:"starts"`
	Listeners  []string        `toml:"listeners"`
	Authority  string          `toml:"authority"`
	Firm       bool            `toml:"firm"`
	Within     []string        `toml:"within"`
	Order      int             `toml:"order"`
	HostOrder  int             `toml:"host_order"`
	Steps      []fileStep      `toml:"step"`
	Methods    []string        `toml:"methods"`
	Headers    []fileCondition `toml:"headers"`
	Query      []fileCondition `toml:"query"`
	Service    string          `toml:"service"`
	Limits     []string        `toml:"limits"`
	Class      string          `toml:"class"`
	Pool       string          `toml:"pool"`
	Pools      []struct {
		Pool   string `toml:"pool"`
		Weight int    `toml:"weight"`
	} `toml:"pools"`
	Stable struct {
		Header string `toml:"header"`
		Query  string `toml:"query"`
	} `toml:"stable"`
	Fallback        string        `toml:"fallback"`
	NoHead          bool          `toml:"no_head"`
	Answers         string        `toml:"answers"`
	RequestHeaders  []fileChange  `toml:"request_headers"`
	ResponseHeaders []fileChange  `toml:"response_headers"`
	Redirect        *fileRedirect `toml:"redirect"`
	Bodies          *fileBodies   `toml:"bodies"`
	Answer          *fileFixed    `toml:"answer"`
	Rewrite         struct {
		Strip      string         `toml:"strip"`
		Replace    string         `toml:"replace"`
		Expression *regexp.Regexp `toml:"expression"`
		Substitute string         `toml:"substitute"`
	} `toml:"rewrite"`
}

type fileStep struct {
	Expression *regexp.Regexp `toml:"expression"`
	To         string         `toml:"to"`
	Then       string         `toml:"then"`
	First      bool           `toml:"first"`
}

type fileCondition struct {
	Name   string  `toml:"name"`
	Equals *string `toml:"equals"`
	Prefix *string `toml:"prefix"`
}

// defaults of our own file.
const (
	defaultStep       = 5 * time.Millisecond // answers come twice this ahead of a deadline
	defaultRetryAfter = 2 * time.Second
	mostAttempts      = 4
	mostMeet          = 10000 // gateways at a host, hosts at a gateway: more than that is no subset
	// defaultCrossPrice is how much slower than a remote one a near host may be, in shortest aims.
	defaultCrossPrice = 0.03
	longestDeadline   = 10 * time.Minute
)

var effects = map[string]frostshift.Effect{"safe": frostshift.Safe, "keyed": frostshift.Keyed, "unsafe": frostshift.Unsafe}

var groups = map[string]frostshift.Group{"": frostshift.GroupAll, "all": frostshift.GroupAll,
	"zone": frostshift.GroupZone, "cell": frostshift.GroupCell}

// Load reads a file of our own. What is odd but works comes as warnings; an error is of
// type Errors and holds all that is wrong, or says that the file can't be read.
func Load(path string) (m *Model, warnings Errors, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, text)
}

// Parse is Load for a text that has been read; files that it names lie beside path.
func Parse(path string, text []byte) (*Model, Errors, error) {
	d := &doc{file: path}
	var f file
	d.parse(text, &f)
	if len(d.errs) > 0 && d.places == nil { // not even TOML
		return nil, nil, d.errs
	}
	m := &Model{Name: f.Name, Management: d.management(&f), Views: d.beside(f.Views), State: d.beside(f.State), Seed: rand.Uint64(),
		Limits: Limits{Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Descriptors: f.Limits.Descriptors, Streams: f.Limits.Streams}}
	if m.Name == "" {
		m.Name = "stilespool"
	}
	if m.Instances = 1; f.Bank.Instances != nil {
		m.Instances = *f.Bank.Instances
	}
	d.limits(&f, m)
	d.listeners(&f, m)
	d.classes(&f, m)
	sets, warnings := d.answers(&f)
	m.Forward = d.forwarded(&f)
	d.pools(&f, m, sets)
	d.moves(&f, m)
	m.Spool = d.spool(f.Spool)
	m.Bank = d.bank(&f, m)
	m.Quota = d.quota(&f, m)
	d.rules(&f, m)
	d.guards(&f, m)
	warnings = append(warnings, d.routes(&f, m, sets)...)
	warnings = append(warnings, d.windows(m)...)
	warnings = append(warnings, d.unmet(m)...)
	warnings = append(warnings, d.contracts(f.Contracts.Dir, m)...)
	if len(d.errs) > 0 {
		slices.SortStableFunc(d.errs, byLine)
		return nil, nil, d.errs
	}
	for _, p := range m.Pools {
		p.Settings.Classes = settingsClasses(m.Classes)
	}
	m.bankTogether()
	// The balancer has the last word on its settings.
	for i, p := range m.Pools {
		if _, err := frostshift.New(p.Settings, 0); err != nil {
			d.fail(fmt.Sprintf("pool[%d]", i), "%v", err)
		}
	}
	if len(d.errs) > 0 {
		return nil, nil, d.errs
	}
	slices.SortStableFunc(warnings, byLine)
	return m, warnings, nil
}

func settingsClasses(list []Class) (out []frostshift.Class) {
	for _, c := range list {
		out = append(out, c.Class)
	}
	return out
}

func (d *doc) limits(f *file, m *Model) {
	if l := m.Limits; l.Cores < 0 || l.Cores > 1024 || math.IsNaN(l.Cores) {
		d.fail("limits.cores", "%v is out of range", l.Cores)
	}
	if n := m.Limits.MemoryMB; n < 0 || n > 0 && n < 16 {
		d.fail("limits.memory_mb", "%d is out of range: a gateway needs 16 at least", n)
	}
	if n := m.Limits.Descriptors; n < 0 || n > 0 && n < LeastDescriptors {
		d.fail("limits.descriptors", "%d is out of range: a gateway needs %d at least", n, LeastDescriptors)
	}
	if n := m.Limits.Streams; n < 0 || n > 10_000 {
		d.fail("limits.streams", "%d is not from 1 to 10000", n)
	}
	switch f.Log.Level {
	case "", "info":
	case "warn":
		m.Log.Level = slog.LevelWarn
	case "error":
		m.Log.Level = slog.LevelError
	case "debug":
		m.Log.Level = slog.LevelDebug
	default:
		d.fail("log.level", "%q is none of debug, info, warn, error", f.Log.Level)
	}
	switch f.Log.Format {
	case "", "text":
	case "json":
		m.Log.JSON = true
	default:
		d.fail("log.format", "%q is neither text nor json", f.Log.Format)
	}
	if n := f.Bank.Instances; n != nil && *n < 1 {
		d.fail("bank.instances", "%d is out of range: this gateway is one", *n)
	} else if most := 1; f.Bank.Rank < 0 || n != nil && f.Bank.Rank >= max(most, *n) || n == nil && f.Bank.Rank > 0 {
		d.fail("bank.rank", "%d is not among the instances, which count from 0", f.Bank.Rank)
	}
}

func (d *doc) listeners(f *file, m *Model) {
	if len(f.Listeners) == 0 {
		d.fail("listener", "there is none: clients have nowhere to connect")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, l := range f.Listeners {
		key := fmt.Sprintf("listener[%d]", i)
		if l.Name == "" {
			l.Name = l.Address
		}
		if names[l.Name] {
			d.fail(key+".name", "there is another listener %q", l.Name)
		}
		if a, err := netip.ParseAddrPort(l.Address); err != nil {
			d.fail(key+".address", "%q is not an address and port", l.Address)
		} else if addresses[l.Address] && a.Port() != 0 {
			d.fail(key+".address", "another listener has %s", l.Address)
		}
		names[l.Name], addresses[l.Address] = true, true
		out := Listener{Name: l.Name, Address: l.Address, Protocol: d.protocol(key+".protocol", l.Protocol), Descriptor: l.Descriptor}
		if l.Descriptor != 0 && l.Descriptor < firstDescriptor {
			d.fail(key+".descriptor", "%d is none from %d on", l.Descriptor, firstDescriptor)
		}
		if l.TLS.Certificate != "" || l.TLS.Key != "" {
			if l.Protocol != "" {
				d.fail(key+".protocol", "with tls clients choose: leave it out")
			}
			out.Certificate, out.Key = d.beside(l.TLS.Certificate), d.beside(l.TLS.Key)
			if _, err := tls.LoadX509KeyPair(out.Certificate, out.Key); err != nil {
				d.fail(key+".tls", "%v", err)
			}
		}
		m.Listeners = append(m.Listeners, out)
	}
	m.Handover = d.handover(f.Handover, m.Listeners)
}

// protocols by their names in the file.
var protocols = map[string]Protocol{"": HTTP1, "http1": HTTP1, "http2": HTTP2}

func (d *doc) protocol(key, name string) Protocol {
	p, ok := protocols[name]
	if !ok {
		d.fail(key, "%q is neither http1 nor http2", name)
	}
	return p
}

// beside is a path that a file names, seen from that file.
func (d *doc) beside(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(d.file), path)
}

// alone says whether the gateway answers all requests itself.
func (f *file) alone() bool {
	return len(f.Routes) > 0 && !slices.ContainsFunc(f.Routes, func(r fileRoute) bool {
		return r.Redirect == nil && r.Answer == nil && !(len(r.Steps) > 0 && r.Pool == "" && len(r.Pools) == 0)
	})
}

func (d *doc) classes(f *file, m *Model) {
	if len(f.Classes) == 0 && !f.alone() {
		d.fail("class", "there is none: routes need one")
	}
	var going []int
	for i, c := range f.Classes {
		key := fmt.Sprintf("class[%d]", i)
		effect, known := effects[c.Effect]
		if c.Effect == byMethod {
			known = true // safe here; requests of other methods go to another class
			going = append(going, i)
		}
		group, knownGroup := groups[c.Group]
		switch {
		case c.Name == "":
			d.fail(key+".name", "a class needs a name")
		case m.ClassIndex(c.Name) >= 0:
			d.fail(key+".name", "there is another class %q", c.Name)
		}
		if !known {
			d.fail(key+".effect", "%q is none of safe, keyed, unsafe, method", c.Effect)
		}
		if !knownGroup {
			d.fail(key+".group", "%q is none of all, zone, cell", c.Group)
		}
		if c.Deadline <= 0 || c.Deadline > longestDeadline {
			d.fail(key+".deadline", "%v is not above 0 and up to %v", c.Deadline, longestDeadline)
		} else if c.Aim > c.Deadline {
			d.fail(key+".aim", "%v is longer than the deadline", c.Aim)
		}
		if c.Worth < 0 || math.IsInf(c.Worth, 0) || math.IsNaN(c.Worth) {
			d.fail(key+".worth", "%v is not a number above 0", c.Worth)
		}
		switch {
		case effect == frostshift.Keyed && known && c.Window <= 0:
			d.fail(key+".window", "a keyed class says how long hosts drop repeats of a key")
		case effect != frostshift.Keyed && (c.Window > 0 || c.Group != ""):
			d.fail(key, "group and window belong to keyed classes")
		}
		m.Classes = append(m.Classes, Class{Name: c.Name, Class: frostshift.Class{Aim: c.Aim, Deadline: c.Deadline,
			Worth: c.Worth, Effect: effect, Group: group, Window: c.Window}})
	}
	m.splitClasses(going)
}

func (d *doc) pools(f *file, m *Model, sets map[string]*verdict.Set) {
	if len(f.Pools) == 0 && !f.alone() {
		d.fail("pool", "there is none: requests have nowhere to go")
	}
	instances := 1
	if f.Bank.Instances != nil {
		instances = *f.Bank.Instances
	}
	for i := range f.Pools {
		in := &f.Pools[i]
		key := fmt.Sprintf("pool[%d]", i)
		switch {
		case in.Name == "":
			d.fail(key+".name", "a pool needs a name")
		case m.PoolNamed(in.Name) != nil:
			d.fail(key+".name", "there is another pool %q", in.Name)
		}
		p := &Pool{Name: in.Name, Zones: in.Zones, Kinds: in.Kinds, DialTimeout: in.ConnectTimeout,
			ConnIdle: in.IdleTimeout, Guarantee: in.Guarantee, Protocol: d.protocol(key+".protocol", in.Protocol)}
		d.sources(key, in, p)
		d.poolAnswers(key, in, p, sets)
		p.Settings = frostshift.Settings{Instances: instances, Rank: f.Bank.Rank, Zones: len(in.Zones),
			Step: defaultStep, MaxAttempts: mostAttempts, Cancel: true, MaxRetryAfter: in.RetryAfter,
			ColdFrom: in.ColdFrom, WarmAfter: in.WarmAfter, OverloadFactor: in.OverloadFactor, Fall: in.OverloadTime}
		if in.MaxAttempts != nil {
			p.Settings.MaxAttempts = *in.MaxAttempts
			if n := *in.MaxAttempts; n < 1 || n > mostAttempts {
				d.fail(key+".max_attempts", "%d is not from 1 to %d", n, mostAttempts)
			}
		}
		if in.Zone != "" {
			if p.Settings.Zone = slices.Index(in.Zones, in.Zone); p.Settings.Zone < 0 {
				d.fail(key+".zone", "%q is not among the zones", in.Zone)
				p.Settings.Zone = 0
			}
		}
		if in.ColdFrom < 0 || in.ColdFrom > 1 || math.IsNaN(in.ColdFrom) {
			d.fail(key+".cold_from", "%v is not from 0 to 1", in.ColdFrom)
		}
		if in.OverloadFactor < 0 || math.IsNaN(in.OverloadFactor) || math.IsInf(in.OverloadFactor, 0) {
			d.fail(key+".overload_factor", "%v is out of range", in.OverloadFactor)
		}
		if !(in.Guarantee >= 0 && in.Guarantee <= 1) {
			d.fail(key+".guarantee", "%v is not from 0 to 1", in.Guarantee)
			p.Guarantee = 0
		}
		if p.DialTimeout == 0 {
			p.DialTimeout = defaultDialTimeout
		}
		if p.ConnIdle == 0 {
			p.ConnIdle = defaultConnIdle
		}
		if p.Settings.MaxRetryAfter == 0 {
			p.Settings.MaxRetryAfter = defaultRetryAfter
		}
		if p.Settings.PreferNear, p.Settings.CrossPrice = in.PreferNear, in.CrossPrice; in.PreferNear {
			if in.Zone == "" {
				d.fail(key+".prefer_near", "needs the zone that the gateway stands in, and zones")
			}
			if in.CrossPrice == 0 {
				p.Settings.CrossPrice = defaultCrossPrice
			}
		}
		if !(in.CrossPrice >= 0 && in.CrossPrice <= 1) {
			d.fail(key+".cross_price", "%v is not from 0 to 1", in.CrossPrice)
			p.Settings.CrossPrice = 0
		}
		d.subset(key, in, p, instances, f.Bank.Rank)
		m.Pools = append(m.Pools, p)
	}
	if err := m.shareOut(); err != nil {
		d.fail("pool", "%v", err)
	}
}

// sources reads where a pool's hosts come from, and how far that is believed.
func (d *doc) sources(key string, in *filePool, p *Pool) {
	own := fileSource{in.Hosts, in.Host, in.File, in.Discovery, in.DNS, in.XDS}
	switch inline := own.ways() > 0; {
	case inline && len(in.Source) > 0:
		d.fail(key, "pool %q has its hosts from source tables or from keys of its own, not both", in.Name)
	case inline || len(in.Source) == 0:
		p.Sources = []source.Spec{d.source(key, in.Name, &own)}
	}
	for i := range in.Source {
		p.Sources = append(p.Sources, d.source(fmt.Sprintf("%s.source[%d]", key, i), in.Name, &in.Source[i]))
	}
	if in.Belief == nil {
		in.Belief = &fileBelief{}
	}
	c := belief.Config{Floor: in.Belief.Floor, Window: in.Belief.Window, Keep: in.Belief.Keep, Settle: in.Belief.Settle,
		HalfLife: in.Belief.HalfLife, Suppress: in.Belief.Suppress, Reuse: in.Belief.Reuse}
	if field, text := c.Check(); field != "" {
		d.fail(key+".belief."+field, "%s", text)
	}
	static := !slices.ContainsFunc(p.Sources, func(s source.Spec) bool { return s.Static == nil })
	switch {
	case in.Belief.Off && len(p.Sources) > 1:
		d.fail(key+".belief.off", "only a pool with one source can follow it blindly")
	case !in.Belief.Off && !(static && len(p.Sources) == 1): // nothing of one static list can be wrong
		p.Belief = &c
	}
}

// subset reads which part of the pool one gateway of several uses.
func (d *doc) subset(key string, in *filePool, p *Pool, gateways, rank int) {
	if in.Subset == nil {
		return
	}
	for _, field := range []struct {
		name  string
		value int
	}{{"meet", in.Subset.Meet}, {"least", in.Subset.Least}} {
		if field.value < 0 || field.value > mostMeet {
			d.fail(key+".subset."+field.name, "%d is not from 1 to %d", field.value, mostMeet)
		}
	}
	if in.Belief != nil && in.Belief.Off {
		d.fail(key+".subset", "a pool that is followed blindly can't be used in part")
	}
	if p.Belief == nil {
		p.Belief = &belief.Config{}
	}
	p.Part = &keeper.Part{Bank: subset.Bank{Count: gateways, Meet: in.Subset.Meet, Least: in.Subset.Least, Together: in.Subset.Together},
		Rank: rank, WarmAfter: p.Settings.WarmAfter}
}

// ways counts the places that are named; there must be one.
func (s *fileSource) ways() (n int) {
	for _, set := range []bool{len(s.Hosts) > 0 || len(s.Host) > 0, s.File != "", s.Discovery != "", s.DNS != nil, s.XDS != nil} {
		if set {
			n++
		}
	}
	return n
}

// source reads one place where hosts come from.
func (d *doc) source(key, pool string, in *fileSource) (s source.Spec) {
	if in.ways() != 1 {
		d.fail(key, "pool %q needs its hosts from one of hosts (or host tables), file, discovery, dns, xds", pool)
		return s
	}
	if in.DNS != nil {
		s.DNS = &source.DNS{Server: in.DNS.Server, Name: in.DNS.Name, Type: in.DNS.Type, Port: in.DNS.Port}
		if field, text := s.DNS.Check(); field != "" {
			d.fail(key+".dns."+field, "%s", text)
		}
		return s
	}
	if in.XDS != nil {
		s.XDS = &source.XDS{Server: in.XDS.Server, Cluster: in.XDS.Cluster, Node: in.XDS.Node, Delta: in.XDS.Delta, ADS: in.XDS.ADS}
		if field, text := s.XDS.Check(); field != "" {
			d.fail(key+".xds."+field, "%s", text)
		}
		return s
	}
	if in.Discovery != "" {
		if _, err := netip.ParseAddrPort(in.Discovery); err != nil {
			d.fail(key+".discovery", "%q is not an address and port", in.Discovery)
		}
		s.Discovery = in.Discovery
		return s
	}
	if in.File != "" {
		s.File = d.beside(in.File)
		return s
	}
	for _, a := range in.Hosts {
		s.Static = append(s.Static, membership.Endpoint{Name: a, Address: a, Status: membership.Active})
	}
	for i := range s.Static {
		if err := s.Static[i].Check(); err != nil {
			d.fail(fmt.Sprintf("%s.hosts[%d]", key, i), "%v", err)
		}
	}
	for i, h := range in.Host {
		e := membership.Endpoint{Name: h.Name, Address: h.Address, Zone: h.Zone, Type: h.Kind, Group: h.Group, Status: h.Status,
			Backup: h.Backup, Weight: h.Weight}
		if !(h.Weight >= 0 && h.Weight <= 1000) {
			d.fail(fmt.Sprintf("%s.host[%d].weight", key, i), "%v is not from 0 to 1000", h.Weight)
		}
		if e.Name == "" {
			e.Name = e.Address
		}
		if e.Status == "" {
			e.Status = membership.Active
		}
		var bad *membership.FieldError
		if errors.As(e.Check(), &bad) {
			d.fail(fmt.Sprintf("%s.host[%d].%s", key, i, bad.Field), "%s", bad.Text)
		}
		s.Static = append(s.Static, e)
	}
	if err := membership.CheckAll(s.Static); err != nil && strings.Contains(err.Error(), "twice") {
		d.fail(key, "%v", err)
	}
	return s
}

// routes reads and compiles the routes and returns the warnings.
func (d *doc) routes(f *file, m *Model, sets map[string]*verdict.Set) (warnings Errors) {
	if len(f.Routes) == 0 {
		d.fail("route", "there is none: no request would match")
	}
	list := make([]*route.Route, 0, len(f.Routes))
	for i := range f.Routes {
		key := fmt.Sprintf("route[%d]", i)
		r := d.route(key, &f.Routes[i], m)
		d.moved(key, r, m)
		policy := d.policy(key, &f.Routes[i], r, sets, &m.Spool)
		m.Policies = append(m.Policies, policy)
		d.meets(key, f, &f.Routes[i], m)
		if policy != nil {
			d.upgrades(key+".bodies", policy.Bodies, r, m)
		}
		warnings = append(warnings, d.unsafeMethods(key, r, m)...)
		if at := m.ClassIndex(r.Class); r.Fallback != "" && at >= 0 && m.Classes[at].Effect == frostshift.Keyed {
			warnings = append(warnings, Error{File: d.file, Line: d.line(key + ".fallback"), Key: key + ".fallback",
				Text: fmt.Sprintf("class %q is keyed, and hosts of another pool drop no repeats: nothing of it goes there", r.Class)})
		}
		list = append(list, r)
	}
	table, problems := route.Compile(list)
	for _, p := range problems {
		key := fmt.Sprintf("route[%d]", p.Route.Index)
		e := Error{File: d.file, Key: key, Text: fmt.Sprintf("route %q %s", p.Route.Name, p.Text)}
		if p.Field != "" {
			e.Key, e.Text = key+"."+p.Field, p.Text
		}
		e.Line = d.line(e.Key)
		if p.Warning {
			warnings = append(warnings, e)
		} else {
			d.errs = append(d.errs, e)
		}
	}
	used := map[string]bool{}
	for _, r := range list {
		for _, w := range r.Pools {
			used[w.Pool] = used[w.Pool] || w.Weight > 0
		}
		used[r.Fallback] = true
	}
	for i, p := range m.Pools {
		if !used[p.Name] {
			key := fmt.Sprintf("pool[%d]", i)
			warnings = append(warnings, Error{File: d.file, Line: d.line(key), Key: key, Text: fmt.Sprintf("no route sends anything to pool %q", p.Name)})
		}
	}
	m.Table = table
	return warnings
}

func (d *doc) route(key string, in *fileRoute, m *Model) *route.Route {
	r := &route.Route{Name: in.Name, Line: d.line(key), Priority: in.Priority, Host: in.Host, Methods: in.Methods,
		NoHead: in.NoHead, Service: in.Service, Class: in.Class, Fallback: in.Fallback,
		Stable:  route.Key{Header: in.Stable.Header, Query: in.Stable.Query},
		Rewrite: route.Rewrite{Strip: in.Rewrite.Strip, Replace: in.Rewrite.Replace, Expr: in.Rewrite.Expression, Sub: in.Rewrite.Substitute}}
	ways := 0
	for _, w := range []struct {
		kind  route.PathKind
		value *string
	}{{route.Prefix, in.Prefix}, {route.Exact, in.Path}, {route.Regexp, in.Expression}, {route.Starts, in.Starts}} {
		if w.value != nil {
			r.Path = route.Path{Kind: w.kind, Value: *w.value}
			ways++
		}
	}
	if ways > 1 {
		d.fail(key, "one of prefix, path, expression and starts")
	}
	if in.Firm && in.Starts == nil {
		d.fail(key+".firm", "belongs to starts")
	}
	if len(in.Within) > 0 && in.Expression == nil {
		d.fail(key+".within", "belongs to expression")
	}
	r.Path.Firm, r.Path.Within, r.Order, r.HostOrder = in.Firm, in.Within, in.Order, in.HostOrder
	r.Listeners = in.Listeners
	for i, name := range in.Listeners {
		if !slices.ContainsFunc(m.Listeners, func(l Listener) bool { return l.Name == name }) {
			d.fail(fmt.Sprintf("%s.listeners[%d]", key, i), "there is no listener %q", name)
		}
	}
	r.Steps = d.steps(key+".step", in.Steps)
	if in.Rewrite.Substitute != "" && in.Rewrite.Expression == nil {
		d.fail(key+".rewrite.substitute", "there is no expression whose match it would replace")
	}
	if in.Rewrite.Expression != nil && in.Rewrite.Substitute == "" {
		d.fail(key+".rewrite.expression", "substitute says what becomes of the match")
	}
	r.Headers = d.conditions(key+".headers", in.Headers)
	r.Query = d.conditions(key+".query", in.Query)
	switch {
	case in.Pool != "" && len(in.Pools) > 0:
		d.fail(key+".pool", "one of pool and pools")
	case in.Pool != "":
		r.Pools = []route.Weighted{{Pool: in.Pool, Weight: 1}}
		if m.PoolNamed(in.Pool) == nil {
			d.fail(key+".pool", "there is no pool %q", in.Pool)
		}
	}
	for i, w := range in.Pools {
		r.Pools = append(r.Pools, route.Weighted{Pool: w.Pool, Weight: w.Weight})
		if w.Pool != "" && m.PoolNamed(w.Pool) == nil {
			d.fail(fmt.Sprintf("%s.pools[%d].pool", key, i), "there is no pool %q", w.Pool)
		}
	}
	if in.Fallback != "" && m.PoolNamed(in.Fallback) == nil {
		d.fail(key+".fallback", "there is no pool %q", in.Fallback)
	}
	own := in.Redirect != nil || in.Answer != nil || len(in.Steps) > 0 && in.Pool == "" && len(in.Pools) == 0
	if in.Class == "" && own {
	} else if in.Class == "" {
		d.fail(key+".class", "a route needs a class")
	} else if m.ClassIndex(in.Class) < 0 {
		d.fail(key+".class", "there is no class %q", in.Class)
	}
	if r.Service == "" {
		r.Service = in.Name
	}
	return r
}

var thens = map[string]route.Then{"": route.Next, "next": route.Next, "again": route.Again, "break": route.Break,
	"redirect": route.Redirect, "moved": route.Moved}

// steps reads what becomes of a path before the request goes to a pool.
func (d *doc) steps(key string, in []fileStep) (out []route.Step) {
	for i, s := range in {
		at := fmt.Sprintf("%s[%d]", key, i)
		then, ok := thens[s.Then]
		if !ok {
			d.fail(at+".then", "%q is none of next, again, break, redirect, moved", s.Then)
		}
		if s.Expression == nil {
			d.fail(at+".expression", "a step needs one")
			continue
		}
		out = append(out, route.Step{Expr: s.Expression, To: s.To, Then: then, First: s.First})
	}
	return out
}

func (d *doc) conditions(key string, in []fileCondition) (out []route.Condition) {
	for i, c := range in {
		o := route.Condition{Name: c.Name}
		switch {
		case c.Equals != nil && c.Prefix != nil:
			d.fail(fmt.Sprintf("%s[%d]", key, i), "one of equals and prefix, or neither for any value")
		case c.Equals != nil:
			o.Op, o.Value = route.Equals, *c.Equals
		case c.Prefix != nil:
			o.Op, o.Value = route.HasPrefix, *c.Prefix
		}
		out = append(out, o)
	}
	return out
}

// management is the address at which operators call; "": there is none.
func (d *doc) management(f *file) string {
	address := f.Management
	for _, l := range f.Listeners {
		if address != "" && l.Address == address {
			d.fail("management", "%s is where clients connect", address)
		}
	}
	if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
		d.fail("management", "%v", err)
	}
	return address
}

// handover is the path at which a process that takes over finds the one that runs. It needs
// listening sockets that both have.
func (d *doc) handover(path string, listeners []Listener) string {
	if path == "" {
		return ""
	}
	for _, l := range listeners {
		if l.Descriptor == 0 {
			d.fail("handover", "listener %q has no descriptor: a second process could not listen there", l.Name)
		}
	}
	return d.beside(path)
}
