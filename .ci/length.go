//go:build ignore

// Length names the functions of the files that git tracks whose bodies have more than mostLines lines, and
// fails if there are any: go run .ci/length.go.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"log"
	"os"
	"os/exec"
	"strings"
)

const mostLines = 60

// isExempt says whether a file's functions may be longer. Tests and measurements are scripts that are read from
// top to bottom, and their steps are of use nowhere else.
func isExempt(path string) bool {
	return strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "internal/benchmarks/")
}

func main() {
	log.SetFlags(0)
	list, err := exec.Command("git", "ls-files", "*.go").Output()
	if err != nil {
		log.Fatal(err)
	}
	long := 0
	for _, path := range strings.Fields(string(list)) {
		if !isExempt(path) {
			long += check(path)
		}
	}
	if long > 0 {
		log.Fatalf("%d functions have more than %d lines", long, mostLines)
	}
}

// check prints the long functions of a file and says how many there are.
func check(path string) (long int) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		log.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		lines := files.Position(function.Body.Rbrace).Line - files.Position(function.Body.Lbrace).Line - 1
		if lines > mostLines {
			fmt.Fprintf(os.Stderr, "%s: %s has %d lines\n", files.Position(function.Pos()), function.Name.Name, lines)
			long++
		}
	}
	return long
}
