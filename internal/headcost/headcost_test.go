package headcost

import (
	"fmt"
	"strings"
	"testing"
)

// However a head comes in pieces, it costs the same, ends at its blank line, and nothing behind it counts.
func TestPiecesOfAHeadCostTheSame(t *testing.T) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		head := strings.ReplaceAll("GET / HTTP/1.1\nHost: a\nb:\n\n", "\n", lineEnd)
		text := []byte(head + "\n\nbody\n\n")
		for first := 1; first < len(text); first++ {
			for second := first; second < len(text); second++ {
				t.Run(fmt.Sprint(len(lineEnd), first, second), func(t *testing.T) {
					var s Scanner
					var cost int64
					got := 0
					for _, piece := range [][]byte{text[:first], text[first:second], text[second:]} {
						part, n, ended := s.Scan(piece)
						cost += n
						if got += len(part); ended {
							break
						}
					}
					if got != len(head) || cost != int64(len(head)+4*Field) || s.Size() != int64(len(head)+4*fieldSize) {
						t.Errorf("%d of %d bytes are the head, cost %d, size %d", got, len(head), cost, s.Size())
					}
				})
			}
		}
	}
}
