package source

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzMessages reads whatever a discovery may send: the same lists come out and the same kind of end,
// in whatever pieces it comes, and lists that are whole are taken before the end.
func FuzzMessages(f *testing.F) {
	for _, seed := range []string{
		"", "\n\n", "{\"index\":1}\n", "{\n \"index\": 1\n}\n\n{\"index\":2}{\"index\":3}", "{\"index\":1}\n{\"ind", "[]", "nonsense", "{\"index\":1}x", "{\"index\":\"x\"}", "\x00\xff{",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		read := func(from io.Reader) (list []string, end error) {
			m := newMessages(from, func() {})
			for {
				var one json.RawMessage
				if err := m.next(&one); err != nil {
					return list, err
				}
				list = append(list, string(one))
			}
		}
		whole, end := read(strings.NewReader(text))
		pieces, end2 := read(iotest.OneByteReader(strings.NewReader(text)))
		if strings.Join(whole, "|") != strings.Join(pieces, "|") {
			t.Errorf("%q whole, %q in pieces", whole, pieces)
		}
		for _, kind := range []error{errWatchEnded, errWatchBroken, errListTooLong} {
			if errors.Is(end, kind) != errors.Is(end2, kind) {
				t.Errorf("ended with %v whole, %v in pieces", end, end2)
			}
		}
	})
}
