package lab

import (
	"fmt"
	"io"
	"math"
	"path/filepath"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Compare says which figures of two results differ beyond noise, in pairs by variant and seed:
// what chance does to both cancels. The chance that any of all comparisons is called a
// difference by chance alone is 5% at most (Bonferroni). It returns how many differ.
func Compare(out io.Writer, one, other string) (differ int, err error) {
	x, err := ReadRows(filepath.Join(one, RowsFile), nil)
	if err != nil {
		return 0, err
	}
	y, err := ReadRows(filepath.Join(other, RowsFile), nil)
	if err != nil {
		return 0, err
	}
	at := map[string]int{}
	for i, r := range y {
		at[fmt.Sprint(r.Variant, " ", r.Seed)] = i
	}
	diffs := map[string][][]float64{} // by variant and column
	var order []string
	pairs := 0
	for _, r := range x {
		i, ok := at[fmt.Sprint(r.Variant, " ", r.Seed)]
		if !ok {
			continue
		}
		pairs++
		if diffs[r.Variant] == nil {
			diffs[r.Variant] = make([][]float64, len(columns))
			order = append(order, r.Variant)
		}
		for c := range columns {
			if d := y[i].Values[c] - r.Values[c]; !math.IsNaN(d) {
				diffs[r.Variant][c] = append(diffs[r.Variant][c], d)
			}
		}
	}
	if pairs == 0 {
		return 0, fmt.Errorf("%s and %s share no variant with a seed", one, other)
	}
	tests := len(order) * len(columns)
	fmt.Fprintf(out, "%d pairs of runs; differences are those of the second\n", pairs)
	for _, v := range order {
		for c, list := range diffs[v] {
			if len(list) < 2 {
				continue
			}
			mean, sd := stat.MeanStdDev(list, nil)
			if mean == 0 {
				continue
			}
			n := float64(len(list))
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
			half := t.Quantile(1-(1-confidence)/2/float64(tests)) * sd / math.Sqrt(n)
			if math.Abs(mean) > half {
				differ++
				fmt.Fprintf(out, "%-24s %-16s %s (%s to %s)\n", v, columns[c].name, number(mean), number(mean-half), number(mean+half))
			}
		}
	}
	fmt.Fprintf(out, "%d of %d figures differ beyond noise\n", differ, tests)
	return differ, nil
}
