// Package lab asks questions of the emulator many times over: experiments in TOML, played with
// many seeds on all cores, kept a row a run, and told as a report with confidence intervals. It
// decides nothing about traffic and knows the emulator alone.
//
// experiment.go reads experiments, run.go plays them, plain.go are the plain rules that moves
// are weighed beside, report.go tells, chart.go draws, compare.go holds two results together.
package lab

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"frostshift"
	"frostshift/internal/emulator"
	"frostshift/internal/shift"
)

// span is a time as "250ms".
type span time.Duration

// UnmarshalText reads one.
func (s *span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("%s is negative", text)
	}
	*s = span(d)
	return err
}

// file is the form of an experiment.
type file struct {
	Name        string `toml:"name"`
	What        string `toml:"what"`
	Length      span   `toml:"length"`
	Seed        uint64 `toml:"seed"`
	Repetitions int    `toml:"repetitions"`
	// StopAt are states of the first gateway's move at which a run ends.
	StopAt []string `toml:"stop_at"`
	Charts []string `toml:"charts"` // columns that are drawn
	Tell   []string `toml:"tell"`   // columns in the report; none: all
	Fleet  struct {
		Gateways   int     `toml:"gateways"`
		Rate       float64 `toml:"rate"`
		Near       span    `toml:"near"`
		Far        span    `toml:"far"`
		ListDelay  span    `toml:"list_delay"`
		Believe    bool    `toml:"believe"`
		Keys       int     `toml:"keys"`
		Pool       string  `toml:"pool"`
		Fallback   string  `toml:"fallback"`
		Instances  int     `toml:"instances"`
		PreferNear bool    `toml:"prefer_near"`
		CrossPrice float64 `toml:"cross_price"`
		Skew       float64 `toml:"skew"`
		Picker     string  `toml:"picker"`
		// Detect has gateways talk, and hear of the lost within it; Window is the view's.
		Detect span `toml:"detect"`
		Window span `toml:"window"`
	} `toml:"fleet"`
	Cost struct {
		Kind  string  `toml:"kind"`
		Mean  span    `toml:"mean"`
		Shape float64 `toml:"shape"`
	} `toml:"cost"`
	Clients struct {
		Tries   int  `toml:"tries"`
		Backoff span `toml:"backoff"`
	} `toml:"clients"`
	Pools []struct {
		Name    string  `toml:"name"`
		Hosts   int     `toml:"hosts"`
		Zones   int     `toml:"zones"`
		Cores   int     `toml:"cores"`
		Queue   int     `toml:"queue"`
		Speed   float64 `toml:"speed"`
		Cold    float64 `toml:"cold"`
		WarmIn  span    `toml:"warm_in"`
		Crowd   float64 `toml:"crowd"`
		Connect span    `toml:"connect"`
		Idle    span    `toml:"idle"`
	} `toml:"pool"`
	Classes []struct {
		Name     string  `toml:"name"`
		Part     float64 `toml:"part"`
		Aim      span    `toml:"aim"`
		Deadline span    `toml:"deadline"`
		Effect   string  `toml:"effect"`
		Window   span    `toml:"window"`
		Worth    float64 `toml:"worth"`
	} `toml:"class"`
	Teams []struct {
		Name  string  `toml:"name"`
		Part  float64 `toml:"part"`
		Share float64 `toml:"share"`
	} `toml:"team"`
	Move     *fileMove `toml:"move"`
	Troubles []struct {
		Pool    string  `toml:"pool"`
		Hosts   float64 `toml:"hosts"`
		From    span    `toml:"from"`
		Until   span    `toml:"until"`
		Class   string  `toml:"class"`
		Costly  bool    `toml:"costly"`
		Retries bool    `toml:"retries"`
		Cold    bool    `toml:"cold"`
		Errors  float64 `toml:"errors"`
		Growth  float64 `toml:"growth"`
		Quick   bool    `toml:"quick"`
		Slow    float64 `toml:"slow"`
		Tail    float64 `toml:"tail"`
		TailBy  span    `toml:"tail_by"`
		Silent  bool    `toml:"silent"`
		Dead    bool    `toml:"dead"`
		Gone    bool    `toml:"gone"`

		Gateways float64 `toml:"gateways"`
		Load     float64 `toml:"load"`
		Cut      float64 `toml:"cut"`
	} `toml:"trouble"`
	Variants []struct {
		Name string         `toml:"name"`
		Set  map[string]any `toml:"set"` // laid over the whole file
	} `toml:"variant"`
}

// fileMove is a shift of traffic between two pools.
type fileMove struct {
	From     string    `toml:"from"`
	To       string    `toml:"to"`
	Steps    []float64 `toml:"steps"`
	Least    span      `toml:"least"`
	Longest  span      `toml:"longest"`
	Tolerate *float64  `toml:"tolerate"`
	Margin   float64   `toml:"margin"`
	Error    float64   `toml:"error"`
	Worst    float64   `toml:"worst"`
	Keep     float64   `toml:"keep"`
	OnFall   string    `toml:"on_fall"`
	OnDoubt  string    `toml:"on_doubt"`
}

// Experiment is a question as it was read.
type Experiment struct {
	Name, What  string
	Path        string
	Sum         uint64 // of the text
	Seed        uint64
	Repetitions int
	Charts      []string
	Tell        []string
	Variants    []Variant
}

// Variant is one way the fleet may be.
type Variant struct {
	Name   string
	Spec   emulator.Spec
	StopAt []string
	// TroubleAt is when the trouble that is named first begins: times to find and to return
	// count from it.
	TroubleAt time.Duration
}

// Load reads an experiment. Errors name file, line and key where there are such.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is Load for a text.
func Parse(path string, text []byte) (*Experiment, error) {
	var base file
	if err := strict(path, text, &base); err != nil {
		return nil, err
	}
	e := &Experiment{Name: base.Name, What: base.What, Path: path, Sum: xxhash.Sum64(text), Seed: base.Seed, Repetitions: base.Repetitions, Charts: base.Charts, Tell: base.Tell}
	switch {
	case e.Name == "" || strings.ContainsAny(e.Name, "/\\ "):
		return nil, fmt.Errorf("%s: name: an experiment has a name without spaces and slashes", path)
	case e.Repetitions < 1 || e.Repetitions > 1_000_000:
		return nil, fmt.Errorf("%s: repetitions: %d is not from 1 to 1000000", path, e.Repetitions)
	}
	for _, c := range append(slices.Clone(e.Charts), e.Tell...) {
		if columnOf(c) < 0 {
			return nil, fmt.Errorf("%s: %q is no column (%s)", path, c, strings.Join(columnNames(), ", "))
		}
	}
	if base.Variants == nil {
		base.Variants = append(base.Variants, struct {
			Name string         `toml:"name"`
			Set  map[string]any `toml:"set"`
		}{Name: "all"})
	}
	for i, v := range base.Variants {
		var tree map[string]any
		if err := toml.Unmarshal(text, &tree); err != nil {
			return nil, err
		}
		delete(tree, "variant")
		lay(tree, v.Set)
		laid, err := toml.Marshal(tree)
		if err != nil {
			return nil, err
		}
		var f file
		where := fmt.Sprintf("%s: variant %q", path, v.Name)
		if err := strict(where, laid, &f); err != nil {
			return nil, err
		}
		if v.Name == "" || slices.ContainsFunc(e.Variants, func(x Variant) bool { return x.Name == v.Name }) {
			return nil, fmt.Errorf("%s: variant[%d].name: each has a name of its own", path, i)
		}
		out := Variant{Name: v.Name, StopAt: f.StopAt}
		if out.Spec, err = f.spec(); err == nil {
			err = out.Spec.Check()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", where, err)
		}
		if len(f.Troubles) > 0 {
			out.TroubleAt = time.Duration(f.Troubles[0].From)
		}
		e.Variants = append(e.Variants, out)
	}
	return e, nil
}

// strict decodes and turns down what is not known.
func strict(path string, text []byte, into *file) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: this key is not known", path, line, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return fmt.Errorf("%s:%d: %s: %s", path, line, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return err
}

// lay puts a tree over another: tables are laid over each other, all else replaced.
func lay(under, over map[string]any) {
	for k, v := range over {
		if t, ok := v.(map[string]any); ok {
			if u, ok := under[k].(map[string]any); ok {
				lay(u, t)
				continue
			}
		}
		under[k] = v
	}
}

var effects = map[string]frostshift.Effect{"": frostshift.Safe, "safe": frostshift.Safe, "keyed": frostshift.Keyed, "unsafe": frostshift.Unsafe}

// spec is the fleet that a file describes.
func (f *file) spec() (emulator.Spec, error) {
	s := emulator.Spec{Gateways: f.Fleet.Gateways, Length: time.Duration(f.Length), Rate: f.Fleet.Rate, Keys: f.Fleet.Keys, Near: time.Duration(f.Fleet.Near), Far: time.Duration(f.Fleet.Far),
		ListDelay: time.Duration(f.Fleet.ListDelay), Believe: f.Fleet.Believe, Instances: f.Fleet.Instances, PreferNear: f.Fleet.PreferNear, CrossPrice: f.Fleet.CrossPrice, Skew: f.Fleet.Skew, Picker: f.Fleet.Picker,
		Cost:    emulator.Cost{Kind: f.Cost.Kind, Mean: time.Duration(f.Cost.Mean), Shape: f.Cost.Shape},
		Clients: emulator.Clients{Tries: f.Clients.Tries, Backoff: time.Duration(f.Clients.Backoff)}}
	for _, add := range []func(*emulator.Spec) error{f.addPools, f.addFleet, f.addClasses, f.addTroubles} {
		if err := add(&s); err != nil {
			return s, err
		}
	}
	for _, t := range f.Teams {
		s.Teams = append(s.Teams, emulator.Team{Name: t.Name, Part: t.Part, Share: t.Share})
	}
	if f.Move != nil {
		s.Move = f.Move.plan(s.Classes)
	}
	return s, nil
}

// addPools adds the pools with their hosts.
func (f *file) addPools(s *emulator.Spec) error {
	r := rand.New(rand.NewPCG(f.Seed, 5))
	for _, p := range f.Pools {
		if p.Hosts < 1 || p.Hosts > 100_000 {
			return fmt.Errorf("pool %q: %d hosts are not from 1 to 100000", p.Name, p.Hosts)
		}
		like := emulator.Host{Cores: max(p.Cores, 1), Queue: p.Queue, Speed: or(p.Speed, 1), Cold: p.Cold, WarmIn: time.Duration(p.WarmIn), Crowd: p.Crowd,
			Connect: time.Duration(p.Connect), Idle: time.Duration(p.Idle), Reuse: true, Keep: 256}
		zones := max(p.Zones, 1)
		s.Zones = max(s.Zones, zones)
		s.Pools = append(s.Pools, emulator.PoolSpec{Name: p.Name, Hosts: emulator.Fleet(like, p.Hosts, zones, 1, r)})
	}
	return nil
}

// poolIndex is the place of a pool that a field names.
func poolIndex(s *emulator.Spec, field, name string) (int, error) {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s: there is no pool %q", field, name)
}

// addFleet adds where the gateways stand, what they send to, and what they hear of each other.
func (f *file) addFleet(s *emulator.Spec) (err error) {
	for i := range s.Gateways {
		s.GatewayZones = append(s.GatewayZones, i%max(s.Zones, 1))
	}
	if f.Fleet.Pool != "" {
		if s.Pool, err = poolIndex(s, "fleet.pool", f.Fleet.Pool); err != nil {
			return err
		}
	}
	if f.Fleet.Fallback != "" {
		if s.Fallback, err = poolIndex(s, "fleet.fallback", f.Fleet.Fallback); err != nil {
			return err
		}
		s.Fallback++
	}
	if f.Fleet.Detect > 0 {
		s.Talk = &emulator.Talk{Detect: time.Duration(f.Fleet.Detect), Window: time.Duration(f.Fleet.Window), Typed: f.Fleet.Instances}
	}
	return nil
}

// addClasses adds the classes of requests.
func (f *file) addClasses(s *emulator.Spec) error {
	for _, c := range f.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return fmt.Errorf("class %q: %q is none of safe, keyed, unsafe", c.Name, c.Effect)
		}
		s.Classes = append(s.Classes, emulator.Class{Name: c.Name, Part: c.Part, Class: frostshift.Class{Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Worth: c.Worth,
			Effect: effect, Window: time.Duration(c.Window)}})
	}
	return nil
}

// plan is the shift of traffic. Keys are kept for as long as a repeat of any class may come.
func (m *fileMove) plan(classes []emulator.Class) *shift.Plan {
	p := &shift.Plan{Name: "move", From: m.From, To: m.To, Steps: m.Steps, Least: time.Duration(m.Least), Longest: time.Duration(m.Longest), Tolerate: shift.DefaultTolerate,
		Margin: or(m.Margin, shift.DefaultMargin), Error: or(m.Error, shift.DefaultError), Worst: or(m.Worst, shift.DefaultWorst), Keep: or(m.Keep, shift.DefaultKeep)}
	for _, c := range classes {
		if c.Effect != frostshift.Safe {
			p.Window = max(p.Window, c.Window+c.Deadline)
		}
	}
	if m.Tolerate != nil {
		p.Tolerate = *m.Tolerate
	}
	if m.OnFall == "halt" {
		p.OnFall = shift.Halt
	}
	if m.OnDoubt == "advance" {
		p.OnDoubt = shift.AdvanceInDoubt
	}
	return p
}

// addTroubles adds what goes wrong, and when.
func (f *file) addTroubles(s *emulator.Spec) error {
	for i, t := range f.Troubles {
		if t.Class != "" && !slices.ContainsFunc(s.Classes, func(c emulator.Class) bool { return c.Name == t.Class }) {
			return fmt.Errorf("trouble[%d].class: there is no class %q", i, t.Class)
		}
		if t.Pool != "" {
			if _, err := poolIndex(s, fmt.Sprintf("trouble[%d].pool", i), t.Pool); err != nil {
				return err
			}
		}
		s.Troubles = append(s.Troubles, emulator.Trouble{Pool: t.Pool, Hosts: t.Hosts, From: time.Duration(t.From), Until: time.Duration(t.Until), Class: t.Class, Costly: t.Costly,
			Retries: t.Retries, Cold: t.Cold, Errors: t.Errors, Growth: t.Growth, Quick: t.Quick, Slow: t.Slow, Tail: t.Tail, TailBy: time.Duration(t.TailBy), Silent: t.Silent, Dead: t.Dead, Gone: t.Gone, Gateways: t.Gateways, Load: t.Load, Cut: t.Cut})
	}
	return nil
}

func or(v, otherwise float64) float64 {
	if v == 0 {
		return otherwise
	}
	return v
}
