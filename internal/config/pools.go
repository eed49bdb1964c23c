package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/membership/source"
	"frostshift/internal/membership/subset"
	"frostshift/internal/verdict"
)

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

// pools reads the pools.
func (d *doc) pools(f *file, m *Model, sets map[string]*verdict.Set) {
	if len(f.Pools) == 0 && !f.alone() {
		d.fail("pool", "there is none: requests have nowhere to go")
	}
	instances := 1
	if f.Fleet.Instances != nil {
		instances = *f.Fleet.Instances
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
		p := &Pool{Name: in.Name, Zones: in.Zones, Kinds: in.Kinds, DialTimeout: cmp.Or(in.ConnectTimeout, defaultDialTimeout),
			ConnIdle: cmp.Or(in.IdleTimeout, defaultConnIdle), Guarantee: in.Guarantee, Protocol: d.protocol(key+".protocol", in.Protocol)}
		d.sources(key, in, p)
		d.poolAnswers(key, in, p, sets)
		p.Settings = d.poolSettings(key, in, instances, f.Fleet.Rank)
		if !(in.Guarantee >= 0 && in.Guarantee <= 1) {
			d.fail(key+".guarantee", "%v is not from 0 to 1", in.Guarantee)
			p.Guarantee = 0
		}
		d.subset(key, in, p, instances, f.Fleet.Rank)
		m.Pools = append(m.Pools, p)
	}
	if err := m.shareOut(); err != nil {
		d.fail("pool", "%v", err)
	}
}

// poolSettings reads what the balancer of a pool is told of it.
func (d *doc) poolSettings(key string, in *filePool, instances, rank int) frostshift.Settings {
	s := frostshift.Settings{Instances: instances, Rank: rank, Zones: len(in.Zones),
		Step: defaultStep, MaxAttempts: mostAttempts, Cancel: true, MaxRetryAfter: cmp.Or(in.RetryAfter, defaultRetryAfter),
		ColdFrom: in.ColdFrom, WarmAfter: in.WarmAfter, OverloadFactor: in.OverloadFactor, OverloadWindow: in.OverloadTime}
	if in.MaxAttempts != nil {
		s.MaxAttempts = *in.MaxAttempts
		if n := *in.MaxAttempts; n < 1 || n > mostAttempts {
			d.fail(key+".max_attempts", "%d is not from 1 to %d", n, mostAttempts)
		}
	}
	if in.Zone != "" {
		if s.Zone = slices.Index(in.Zones, in.Zone); s.Zone < 0 {
			d.fail(key+".zone", "%q is not among the zones", in.Zone)
			s.Zone = 0
		}
	}
	if in.ColdFrom < 0 || in.ColdFrom > 1 || math.IsNaN(in.ColdFrom) {
		d.fail(key+".cold_from", "%v is not from 0 to 1", in.ColdFrom)
	}
	if in.OverloadFactor < 0 || math.IsNaN(in.OverloadFactor) || math.IsInf(in.OverloadFactor, 0) {
		d.fail(key+".overload_factor", "%v is out of range", in.OverloadFactor)
	}
	if s.PreferNear, s.CrossPrice = in.PreferNear, in.CrossPrice; in.PreferNear {
		if in.Zone == "" {
			d.fail(key+".prefer_near", "needs the zone that the gateway stands in, and zones")
		}
		s.CrossPrice = cmp.Or(in.CrossPrice, defaultCrossPrice)
	}
	if !(in.CrossPrice >= 0 && in.CrossPrice <= 1) {
		d.fail(key+".cross_price", "%v is not from 0 to 1", in.CrossPrice)
		s.CrossPrice = 0
	}
	return s
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
	p.Part = &keeper.Part{Fleet: subset.Fleet{Count: gateways, Meet: in.Subset.Meet, Least: in.Subset.Least, Together: in.Subset.Together},
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
