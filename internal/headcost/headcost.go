// Package headcost tells what heads of messages over HTTP/1.1 cost to hold, as they come and once they are parsed: the
// cost of a field is a multiple of its bytes. It does no I/O and bounds nothing.
package headcost

import (
	"bytes"
	"net/http"
)

const (
	// Field is the memory that a header field takes beyond its bytes: its places in the parsed head and in the copy that
	// goes on, and what they grow by.
	Field = 256
	// fieldSize is what a field counts beyond its bytes against the size of a head, as in HTTP/2 (RFC 9113 section
	// 6.5.2).
	fieldSize = 32
	// Most is the largest head that is taken, by that measure: what net/http takes for a head of 16 KiB.
	Most = 20 << 10
	// MostFields is how many fields a head may have that is no larger.
	MostFields = Most / (fieldSize + len("a:\r\n"))
)

// Of is the memory that a parsed head takes, in bytes.
func Of(h http.Header) int64 { return sum(h, Field) }

// Size is the size of a parsed head, by the measure of Most.
func Size(h http.Header) int64 { return sum(h, fieldSize) }

func sum(h http.Header, field int) (n int64) {
	for name, values := range h {
		for _, v := range values {
			n += int64(len(name) + len(v) + field)
		}
	}
	return n
}

// Text is the most that a text costs if it is a part of heads.
func Text(b []byte) int64 { return int64(len(b) + Field*bytes.Count(b, newline)) }

var newline = []byte("\n")

// Scanner follows a head as it comes. The zero value stands before the first byte of one.
type Scanner struct {
	size int64
	line int // bytes of the line that has begun
}

// Scan takes in what has come. part is what of it belongs to the head and cost what that costs; ended says that the
// blank line has come. The scanner then stands before the next head.
func (s *Scanner) Scan(b []byte) (part []byte, cost int64, ended bool) {
	part, lines, ended := s.lines(b)
	s.size += int64(len(part) + fieldSize*lines)
	return part, int64(len(part) + Field*lines), ended
}

// Size is the size of the head so far, by the measure of Most, also behind its end.
func (s *Scanner) Size() int64 { return s.size }

// Next stands before the first byte of a head again.
func (s *Scanner) Next() { *s = Scanner{} }

func (s *Scanner) lines(b []byte) (part []byte, lines int, ended bool) {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			s.line += len(b) - at
			return b, lines, false
		}
		length := s.line + n
		blank := length == 0 || length == 1 && (n == 0 || b[at] == '\r')
		s.line = 0
		lines++
		if at += n + 1; blank {
			return b[:at], lines, true
		}
	}
}
