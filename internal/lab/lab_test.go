package lab

import (
	"bytes"
	"context"
	"errors"
	"io"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"frostshift/internal/emulator"
)

const tiny = `
name = "tiny"
what = "A question."
length = "8s"
seed = 3
repetitions = 4
charts = ["in_time"]
[fleet]
gateways = 1
rate = 50
[cost]
kind = "exponential"
mean = "10ms"
[[pool]]
name = "p"
hosts = 2
cores = 2
queue = 10
[[class]]
name = "c"
part = 1
aim = "200ms"
deadline = "1s"
[[variant]]
name = "calm"
[[variant]]
name = "errors"
set = { clients = { tries = 2, backoff = "20ms" }, trouble = [{ errors = 0.5 }] }
`

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	e, err := Parse("tiny.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// A run that was stopped goes on without loss, whatever is left of its last line, and ends with
// the same rows as one that was not.
func TestStoppedRunsGoOn(t *testing.T) {
	e := parse(t, tiny)
	whole, broken := t.TempDir(), t.TempDir()
	want, err := Run(context.Background(), e, whole, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(want) != 8 {
		t.Fatalf("%d rows", len(want))
	}
	text, err := os.ReadFile(filepath.Join(whole, RowsFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, cut := range []int{len(text) / 2, len(text) * 2 / 3, len(text) - 3} {
		if err := os.WriteFile(filepath.Join(broken, RowsFile), append(text[:cut:cut], '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Run(context.Background(), e, broken, 1, io.Discard); err != nil {
			t.Fatal(err)
		}
		if got, _ := os.ReadFile(filepath.Join(broken, RowsFile)); !bytes.Equal(got, text) {
			t.Errorf("cut at %d: other rows", cut)
		}
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Run(stopped, e, t.TempDir(), 1, io.Discard); err == nil || !strings.Contains(err.Error(), "goes on") {
		t.Errorf("stopped: %v", err)
	}
	if err := Report(e, want, whole); err != nil {
		t.Fatal(err)
	}
	report, _ := os.ReadFile(filepath.Join(whole, "report.md"))
	chart, _ := os.ReadFile(filepath.Join(whole, "in_time.svg"))
	if !strings.Contains(string(report), "| errors |") || !bytes.Contains(chart, []byte("<svg")) {
		t.Errorf("the report: %s", report)
	}
	other := parse(t, strings.Replace(tiny, "rate = 50", "rate = 60", 1))
	if _, err := Run(context.Background(), other, whole, 1, io.Discard); err == nil || !strings.Contains(err.Error(), "another folder") {
		t.Errorf("another experiment in the same folder: %v", err)
	}
}

// A result does not differ from itself, and one with errors does from one without.
func TestCompare(t *testing.T) {
	e := parse(t, tiny)
	one, other := t.TempDir(), t.TempDir()
	rows, err := Run(context.Background(), e, one, 0, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := Compare(io.Discard, one, one); err != nil || n != 0 {
		t.Errorf("with itself: %d, %v", n, err)
	}
	in := columnOf("in_time")
	for i := range rows {
		rows[i].Values[in] -= 0.1 + float64(i)*1e-4
	}
	if err := writeRows(filepath.Join(other, RowsFile), e, rows); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if n, err := Compare(&out, one, other); err != nil || n != 2 || !strings.Contains(out.String(), "in_time") {
		t.Errorf("%d, %v: %s", n, err, &out)
	}
	if _, err := Compare(io.Discard, one, t.TempDir()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("with nothing: %v", err)
	}
}

// What is wrong with an experiment is said with its place.
func TestExperimentsAreChecked(t *testing.T) {
	for from, to := range map[string]string{
		`name = "tiny"`: `name = "a b"`, "repetitions = 4": "repetitions = 0", `kind = "exponential"`: `kind = "odd"`, "rate = 50": "rate = 50\nspeed = 1", `aim = "200ms"`: `aim = "200"`,
		`charts = ["in_time"]`: `charts = ["x"]`, "hosts = 2": "hosts = 0", "errors = 0.5": "error = 0.5", `name = "calm"`: `name = "errors"`, "part = 1": "part = 1\neffect = \"odd\"",
		"trouble = [{": "trouble = [{ pool = \"x\", ", "gateways = 1": "gateways = 0",
	} {
		_, err := Parse("tiny.toml", []byte(strings.Replace(tiny, from, to, 1)))
		if err == nil || !strings.Contains(err.Error(), "tiny.toml") {
			t.Errorf("%s: %v", to, err)
		}
	}
	for _, path := range []string{"aa", "loss5", "kinds"} {
		if _, err := Load("../../experiments/" + path + ".toml"); err != nil {
			t.Error(err)
		}
	}
}

// Intervals hold the truth as often as they say.
func TestIntervals(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		truth float64
		draw  func() float64
	}{{0.3, func() float64 { return truth(r.Float64() < 0.3) }}, {5, func() float64 { return 5 + r.NormFloat64() }}} {
		held := 0
		for range 2000 {
			var list []float64
			for range 40 {
				list = append(list, c.draw())
			}
			if e := estimate(append(list, math.NaN())); e.Low <= c.truth && c.truth <= e.High && e.N == 40 {
				held++
			}
		}
		if part := float64(held) / 2000; part < 0.93 || part > 0.98 {
			t.Errorf("%v: %.3f of the intervals hold it", c.truth, part)
		}
	}
}

// The plain rules find what they are made for.
func TestPlainRules(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	for _, bad := range []float64{0, 0.3} {
		var th threshold
		var win window
		e := parse(t, strings.Replace(tiny, "[[variant]]", "[move]\nfrom = \"p\"\nto = \"q\"\nsteps = [0.5]\nleast = \"1s\"\nlongest = \"1m\"\n[[pool]]\nname = \"q\"\nhosts = 1\n[[variant]]", 1))
		ap := newApart(*e.Variants[0].Spec.Move)
		for i := range 20_000 {
			x := emulator.Try{At: time.Duration(i) * 10 * time.Millisecond, Side: r.IntN(2), Share: 0.5, Took: 10 * time.Millisecond}
			x.Good = x.Side == 0 || r.Float64() >= bad
			x.InTime = x.Good
			th.see(&x)
			win.see(&x)
			ap.see(&x)
		}
		if got := []bool{th.found > 0, win.found > 0, ap.found > 0}; !reflect.DeepEqual(got, []bool{bad > 0, bad > 0, bad > 0}) {
			t.Errorf("errors of %v: found by %v", bad, got)
		}
	}
}
