package config

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// places maps the path of each key of a TOML text (route[2].headers[0].name) to its line.
func places(text []byte) map[string]int {
	var parser unstable.Parser
	parser.Reset(text)
	f := placeFinder{lines: map[string]int{}, arrays: map[string]int{}, ends: lineEnds(text)}
	table := ""
	for parser.NextExpression() {
		switch e := parser.Expression(); e.Kind {
		case unstable.KeyValue:
			f.pair(table, 0, e)
		case unstable.Table, unstable.ArrayTable:
			table = f.table(e)
		}
	}
	return f.lines
}

// lineEnds are the ends of the lines. The parser counts lines from the start for each key, which takes
// minutes for a file of thousands of routes: they are found once.
func lineEnds(text []byte) (ends []int) {
	for i, c := range text {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

// placeFinder collects the lines of keys by their paths.
type placeFinder struct {
	lines  map[string]int
	arrays map[string]int // tables so far of each array of tables
	ends   []int          // of the text's lines
}

// lineOf is the line of a node, or the line that is given where the parser kept no place.
func (f *placeFinder) lineOf(n *unstable.Node, line int) int {
	if n.Raw.Length == 0 {
		return line
	}
	return 1 + sort.SearchInts(f.ends, int(n.Raw.Offset))
}

// resolve follows keys from base, into the last table of each array.
func (f *placeFinder) resolve(base string, keys []string) string {
	for _, k := range keys {
		base = joinKeys(base, k)
		if n := f.arrays[base]; n > 0 {
			base = fmt.Sprintf("%s[%d]", base, n-1)
		}
	}
	return base
}

func joinKeys(base, key string) string {
	if base == "" {
		return key
	}
	return base + "." + key
}

// keysOf are the parts of a dotted key, and the line of the first of them.
func (f *placeFinder) keysOf(n *unstable.Node, line int) ([]string, int) {
	var keys []string
	for it := n.Key(); it.Next(); {
		if len(keys) == 0 {
			line = f.lineOf(it.Node(), line)
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, line
}

// pair notes the line of a key and of what its value holds.
func (f *placeFinder) pair(base string, line int, n *unstable.Node) {
	keys, line := f.keysOf(n, line)
	path := f.resolve(base, keys)
	f.lines[path] = line
	f.value(path, line, n.Value())
}

// value notes the lines of what a value holds.
func (f *placeFinder) value(path string, line int, n *unstable.Node) {
	line = f.lineOf(n, line)
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			f.pair(path, line, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			item := fmt.Sprintf("%s[%d]", path, i)
			at := f.lineOf(it.Node(), line)
			f.lines[item] = at
			f.value(item, at, it.Node())
			i++
		}
	}
}

// table notes the line of a table's head and returns the path of its keys.
func (f *placeFinder) table(e *unstable.Node) string {
	keys, line := f.keysOf(e, 0)
	path := f.resolve("", keys)
	if e.Kind == unstable.ArrayTable {
		array := joinKeys(f.resolve("", keys[:len(keys)-1]), keys[len(keys)-1])
		f.arrays[array]++
		path = fmt.Sprintf("%s[%d]", array, f.arrays[array]-1)
	}
	f.lines[path] = line
	return path
}
