// Linked says whether a program is linked against the C library, as the platform's bench
// needs it: it loads a library of its own into each gateway. It ends with 1 where not.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: linked PROGRAM")
		os.Exit(2)
	}
	file, err := elf.Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	libraries, err := file.ImportedLibraries()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.") }) {
		fmt.Fprintf(os.Stderr, "%s is not linked against the C library; it imports %q\n", os.Args[1], libraries)
		os.Exit(1)
	}
}
