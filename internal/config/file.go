package config

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frostshift"
)

// file is the form of our own configuration.
type file struct {
	Name       string `toml:"name"`
	Views      string `toml:"views"`
	Management string `toml:"management"`
	HotRestart string `toml:"hot_restart"`
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
	Fleet     fileFleet `toml:"fleet"`
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

// fileFleet is the table of the gateways that share the hosts.
type fileFleet struct {
	Instances *int          `toml:"instances"`
	Rank      int           `toml:"rank"`
	Listen    string        `toml:"listen"`
	Advertise string        `toml:"advertise"`
	Join      []string      `toml:"join"`
	JoinFile  string        `toml:"join_file"`
	KeyFile   string        `toml:"key_file"`
	Zone      string        `toml:"zone"`
	Probe     time.Duration `toml:"probe"`
	Window    time.Duration `toml:"window"`
	Verdicts  bool          `toml:"verdicts"`
	Overrides bool          `toml:"overrides"`
	Load      bool          `toml:"load"`
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
	if m.Instances = 1; f.Fleet.Instances != nil {
		m.Instances = *f.Fleet.Instances
	}
	d.limits(&f, m)
	d.listeners(&f, m)
	d.classes(&f, m)
	sets, warnings := d.answers(&f)
	m.Forward = d.forwarded(&f)
	d.pools(&f, m, sets)
	d.moves(&f, m)
	m.Spool = d.spool(f.Spool)
	m.Gossip = d.gossip(&f, m)
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
	m.shareHosts()
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
