package lab

import (
	"cmp"
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"

	"frostshift/internal/emulator"
	"frostshift/internal/shift"
)

// column is a figure of a run.
type column struct {
	name string
	what string
	of   func(r *played) float64
}

// played is a run that has ended.
type played struct {
	v                      *Variant
	w                      *emulator.World
	threshold, window, apt time.Duration
}

// since is a time counted from the first trouble; NaN: it never came. One before the trouble
// is below 0: it was not the trouble that was found.
func (p *played) since(at time.Duration) float64 {
	if at == 0 {
		return math.NaN()
	}
	return (at - p.v.TroubleAt).Seconds()
}

// decided is when the first gateway's move came to a state or had a cause for the first time; 0:
// it did not.
func (p *played) decided(is func(d *shift.Decision) bool) time.Duration {
	if p.v.Spec.Move == nil {
		return 0
	}
	list := p.w.Decisions(0)
	for i := range list {
		if is(&list[i]) {
			return max(list[i].At, 1)
		}
	}
	return 0
}

func (p *played) per(n int) float64 { return float64(n) / float64(max(p.w.Totals.Requests, 1)) }

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// columns are all figures.
var columns = []column{
	{"requests", "first requests", func(p *played) float64 { return float64(p.w.Totals.Requests) }},
	{"in_time", "part that was served in time", func(p *played) float64 { return p.per(p.w.Totals.InTime) }},
	{"late", "part that was served too late", func(p *played) float64 { return p.per(p.w.Totals.Late) }},
	{"refused", "part that was refused in the end", func(p *played) float64 { return p.per(p.w.Totals.RefusedOverall) }},
	{"failed", "part that failed in the end", func(p *played) float64 { return p.per(p.w.Totals.Failed) }},
	{"lost", "worth lost", func(p *played) float64 { return p.w.Totals.Asked - p.w.Totals.Worth }},
	{"p50_ms", "median time of what was served", func(p *played) float64 { return p.w.Totals.Quantile(0.5) }},
	{"p99_ms", "99th percentile", func(p *played) float64 { return p.w.Totals.Quantile(0.99) }},
	{"attempts", "attempts a request", func(p *played) float64 { return p.per(p.w.Totals.Attempts) }},
	{"near", "part of attempts at near hosts", func(p *played) float64 { return float64(p.w.Totals.Near) / float64(max(p.w.Totals.Attempts, 1)) }},
	{"twice", "effects that ran twice", func(p *played) float64 { return float64(p.w.Totals.Twice) }},
	{"unsure", "tries failed as an earlier one may have run elsewhere", func(p *played) float64 { return float64(p.w.Totals.Unsure) }},
	{"falls", "cold hosts that fell over", func(p *played) (n float64) {
		for i := range p.v.Spec.Pools {
			for _, h := range p.w.Hosts(i) {
				n += float64(h.Falls)
			}
		}
		return n
	}},
	{"cold_load", "the most that came to a cold host, as a part of what makes it fall over", func(p *played) float64 { return p.w.Totals.ColdLoad }},
	{"connects", "connections to hosts that were opened, a request", func(p *played) float64 { return p.per(p.w.Totals.Connects) }},
	{"least", "the smallest part of a host over its fair one, last 6 s", func(p *played) float64 { return p.even().Least }},
	{"most", "the largest part of a host over its fair one, last 6 s", func(p *played) float64 { return p.even().Most }},
	{"spread", "variance over mean of arrivals at hosts in half a second, last 6 s", func(p *played) float64 { return p.even().Spread }},
	{"share", "of the new pool at the end", func(p *played) float64 {
		if list := p.w.Moves(); list != nil {
			return list[0].Share()
		}
		return math.NaN()
	}},
	{"done", "the move was done", func(p *played) float64 {
		return truth(p.decided(func(d *shift.Decision) bool { return d.To == shift.Done }) > 0)
	}},
	{"fell", "a fall was found", func(p *played) float64 { return truth(p.fellAt() > 0) }},
	{"fell_after", "seconds until it was", func(p *played) float64 { return p.since(p.fellAt()) }},
	{"back_after", "seconds until nothing went to the new pool", func(p *played) float64 {
		return p.since(p.decided(func(d *shift.Decision) bool { return d.To == shift.Undone }))
	}},
	{"done_after", "seconds from the beginning until it was done", func(p *played) float64 {
		if at := p.decided(func(d *shift.Decision) bool { return d.To == shift.Done }); at > 0 {
			return at.Seconds()
		}
		return math.NaN()
	}},
	{"threshold_fell", "an error rate above a threshold would have undone it", func(p *played) float64 { return truth(p.threshold > 0) }},
	{"threshold_after", "seconds until it would", func(p *played) float64 { return p.since(p.threshold) }},
	{"ttest_fell", "t-tests over windows would have undone it", func(p *played) float64 { return truth(p.window > 0) }},
	{"ttest_after", "seconds until they would", func(p *played) float64 { return p.since(p.window) }},
	{"tries_fell", "the same test on tries and not units would have undone it", func(p *played) float64 { return truth(p.apt > 0) }},
	{"tries_after", "seconds until it would", func(p *played) float64 { return p.since(p.apt) }},
}

// even is how the last seconds lay on the hosts that no trouble names.
func (p *played) even() emulator.Evenness {
	end := p.w.Now()
	hosts := p.w.Hosts(0)
	return p.w.Evenness(0, max(0, end-6*time.Second), end, func(i int) bool {
		for _, t := range p.v.Spec.Troubles {
			if t.Hosts > 0 && float64(i) < t.Hosts*float64(len(hosts)) {
				return false
			}
		}
		return true
	})
}

func (p *played) fellAt() time.Duration {
	return p.decided(func(d *shift.Decision) bool { return d.Cause == shift.Fell || d.Cause == shift.Gone })
}

func columnNames() (list []string) {
	for _, c := range columns {
		list = append(list, c.name)
	}
	return list
}

func columnOf(name string) int {
	return slices.IndexFunc(columns, func(c column) bool { return c.name == name })
}

// Row is a run as it is kept.
type Row struct {
	Variant string
	Seed    uint64
	Values  []float64 // by column
}

// play plays a variant with a seed.
func play(v *Variant, seed uint64) (Row, error) {
	s := v.Spec
	s.Seed = seed
	p := &played{v: v}
	var t threshold
	var win window
	var apt *apart
	if s.Move != nil {
		apt = newApart(*s.Move)
		s.Watch = func(x emulator.Try) {
			t.see(&x)
			win.see(&x)
			apt.see(&x)
		}
	}
	w, err := emulator.New(s)
	if err != nil {
		return Row{}, err
	}
	var stop func() bool
	if s.Move != nil && len(v.StopAt) > 0 {
		stop = func() bool { return slices.Contains(v.StopAt, w.Moves()[0].State().String()) }
	}
	w.Play(s.Length, stop)
	p.w, p.threshold, p.window = w, t.found, win.found
	if apt != nil {
		p.apt = apt.found
	}
	row := Row{Variant: v.Name, Seed: seed, Values: make([]float64, len(columns))}
	for i, c := range columns {
		row.Values[i] = c.of(p)
	}
	return row, nil
}

// RowsFile is the file of a folder that holds a row for each run.
const RowsFile = "runs.csv"

// Run plays what of an experiment has not been played into the folder yet, on so many cores (0:
// all), and returns all rows. One that is stopped loses at most the runs that were under way.
func Run(ctx context.Context, e *Experiment, dir string, cores int, bar io.Writer) ([]Row, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, RowsFile)
	rows, err := ReadRows(path, e)
	if errors.Is(err, fs.ErrNotExist) {
		err = writeRows(path, e, nil)
	}
	if err != nil {
		return nil, err
	}
	todo := e.todo(rows)
	out, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	progress := progressbar.NewOptions(len(todo), progressbar.OptionSetWriter(bar), progressbar.OptionSetDescription(e.Name), progressbar.OptionShowCount(),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	played, err := playAll(ctx, todo, cores, func(row *Row) error {
		progress.Add(1)
		return writeRow(out, row)
	})
	progress.Finish()
	if err != nil {
		return nil, err
	}
	rows = append(rows, played...)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("stopped with %d of %d runs; the same command goes on", len(rows), e.Repetitions*len(e.Variants))
	}
	order := map[string]int{}
	for i, v := range e.Variants {
		order[v.Name] = i
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(order[x.Variant], order[y.Variant]), cmp.Compare(x.Seed, y.Seed))
	})
	return rows, writeRows(path, e, rows)
}

// job is a run of an experiment.
type job struct {
	v    *Variant
	seed uint64
}

// todo are the runs of which there is no row yet.
func (e *Experiment) todo(rows []Row) (todo []job) {
	have := map[string]bool{}
	for _, r := range rows {
		have[fmt.Sprint(r.Variant, r.Seed)] = true
	}
	for n := range e.Repetitions {
		for i := range e.Variants {
			if seed := e.Seed + uint64(n); !have[fmt.Sprint(e.Variants[i].Name, seed)] {
				todo = append(todo, job{&e.Variants[i], seed})
			}
		}
	}
	return todo
}

// playAll plays runs on so many cores until all are played or the context ends. keep is called with
// each row, one at a time.
func playAll(ctx context.Context, todo []job, cores int, keep func(*Row) error) (rows []Row, failed error) {
	jobs := make(chan job)
	var mu sync.Mutex // guards the results
	var all sync.WaitGroup
	for range min(cores, len(todo)) {
		all.Go(func() {
			for j := range jobs {
				row, err := play(j.v, j.seed)
				mu.Lock()
				if err == nil {
					err = keep(&row)
					rows = append(rows, row)
				}
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	for _, j := range todo {
		select {
		case jobs <- j:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(jobs)
	all.Wait()
	return rows, failed
}

// head is the first line of a file of rows: which experiment they are of.
func (e *Experiment) head() string { return fmt.Sprintf("%s %016x", e.Name, e.Sum) }

// writeRows writes a file whole.
func writeRows(path string, e *Experiment, rows []Row) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".runs-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	w := csv.NewWriter(f)
	w.Write(append([]string{"variant", "seed"}, columnNames()...))
	w.Write([]string{"#", e.head()})
	w.Flush()
	err = w.Error()
	for i := range rows {
		err = errors.Join(err, writeRow(f, &rows[i]))
	}
	err = errors.Join(err, f.Chmod(0o644), f.Close())
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func writeRow(to io.Writer, r *Row) error {
	w := csv.NewWriter(to)
	line := []string{r.Variant, strconv.FormatUint(r.Seed, 10)}
	for _, v := range r.Values {
		if math.IsNaN(v) {
			line = append(line, "")
		} else {
			line = append(line, strconv.FormatFloat(v, 'g', 8, 64))
		}
	}
	w.Write(line)
	w.Flush()
	return w.Error()
}

// ReadRows reads what was kept; with an experiment only rows of that one. A last line that is
// cut off is left out: its run is played again.
func ReadRows(path string, e *Experiment) (rows []Row, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := csv.NewReader(f)
	in.FieldsPerRecord = -1
	head, err := in.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(head) < 2 || !slices.Equal(head[2:], columnNames()) {
		return nil, fmt.Errorf("%s: line 1: its columns are not those of this program", path)
	}
	for {
		line, err := in.Read()
		if err == io.EOF {
			return rows, nil
		}
		at, _ := in.FieldPos(0)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s: %w", path, err)
		case line[0] == "#":
			if e != nil && (len(line) != 2 || line[1] != e.head()) {
				return nil, fmt.Errorf("%s: line %d: these are runs of %q, and not of this experiment as it is now: take another folder", path, at, line[1:])
			}
			continue
		case len(line) != len(columns)+2:
			continue
		}
		r := Row{Variant: line[0], Values: make([]float64, len(columns))}
		if r.Seed, err = strconv.ParseUint(line[1], 10, 64); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, at, err)
		}
		for i, text := range line[2:] {
			if r.Values[i] = math.NaN(); text != "" {
				if r.Values[i], err = strconv.ParseFloat(text, 64); err != nil {
					return nil, fmt.Errorf("%s: line %d: %w", path, at, err)
				}
			}
		}
		rows = append(rows, r)
	}
}
