package lab

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const confidence = 0.95

// Estimate is a mean with its confidence interval, over the runs that have the figure.
type Estimate struct {
	N               int
	Mean, Low, High float64
	P95             float64 // 95th percentile of the runs
}

// estimate is that of values; NaN ones are left out. Where all are 0 or 1 the interval is
// Wilson's (1927), else Student's.
func estimate(values []float64) (e Estimate) {
	var list []float64
	binary := true
	for _, v := range values {
		if !math.IsNaN(v) {
			list = append(list, v)
			binary = binary && (v == 0 || v == 1)
		}
	}
	if e.N = len(list); e.N == 0 {
		return Estimate{Mean: math.NaN(), Low: math.NaN(), High: math.NaN(), P95: math.NaN()}
	}
	n := float64(e.N)
	mean, sd := stat.MeanStdDev(list, nil)
	e.Mean = mean
	sorted := append([]float64(nil), list...)
	stat.SortWeighted(sorted, nil)
	e.P95 = stat.Quantile(0.95, stat.Empirical, sorted, nil)
	switch {
	case binary:
		z := distuv.UnitNormal.Quantile((1 + confidence) / 2)
		mid, half := (mean+z*z/(2*n))/(1+z*z/n), z/(1+z*z/n)*math.Sqrt(mean*(1-mean)/n+z*z/(4*n*n))
		e.Low, e.High = max(0, mid-half), min(1, mid+half)
	case e.N == 1:
		e.Low, e.High = math.Inf(-1), math.Inf(1)
	default:
		half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1+confidence)/2) * sd / math.Sqrt(n)
		e.Low, e.High = mean-half, mean+half
	}
	return e
}

func number(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case math.IsInf(v, 0):
		return "?"
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10 || a == math.Trunc(a):
		return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", v), "0"), ".")
}

// of is a column of a variant's rows.
func of(rows []Row, variant string, col int) (list []float64) {
	for _, r := range rows {
		if r.Variant == variant {
			list = append(list, r.Values[col])
		}
	}
	return list
}

// Report writes report.md and the charts into the folder of an experiment's rows.
func Report(e *Experiment, rows []Row, dir string) error {
	f, err := os.Create(filepath.Join(dir, "report.md"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := tell(f, e, rows); err != nil {
		return err
	}
	for _, c := range e.Charts {
		if err := chart(e, rows, columnOf(c), filepath.Join(dir, c+".svg")); err != nil {
			return err
		}
	}
	return f.Close()
}

func tell(w io.Writer, e *Experiment, rows []Row) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n%d runs each, seeds from %d. Means with intervals of %.0f%% (of parts: Wilson's), and the 95th percentile of the runs; n where not all runs have the figure.\n",
		e.Name, strings.TrimSpace(e.What), e.Repetitions, e.Seed, 100*confidence)
	names := e.Tell
	if names == nil {
		names = columnNames()
	}
	for _, name := range names {
		col := columnOf(name)
		fmt.Fprintf(&b, "\n## %s: %s\n\n| variant | mean | interval | p95 | n |\n| --- | ---: | ---: | ---: | ---: |\n", name, columns[col].what)
		for _, v := range e.Variants {
			x := estimate(of(rows, v.Name, col))
			fmt.Fprintf(&b, "| %s | %s | %s to %s | %s | %d |\n", v.Name, number(x.Mean), number(x.Low), number(x.High), number(x.P95), x.N)
		}
	}
	for _, c := range e.Charts {
		fmt.Fprintf(&b, "\n![%s](%s.svg)\n", c, c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
