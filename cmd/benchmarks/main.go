// Command benchmarks runs measurements that are too long for CI: "benchmarks list" names them. Each
// prints a table and ends with "NAME: ok" or "NAME: short" and its figure; the exit
// status is 1 where the aim is missed.
package main

import (
	"os"

	"frostshift/internal/benchmarks"
)

func main() { os.Exit(benchmarks.Main(os.Args[1:], os.Stdout)) }
