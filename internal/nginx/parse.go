// Package nginx reads configurations of nginx and says in the gateway's own terms what they
// mean: which is taken as it is, which with another meaning and which not at all. It never
// guesses, and it drops nothing without a word. It starts nothing and opens no socket.
//
// parse.go reads the language, report.go keeps what became of each directive, model.go
// collects servers, locations and upstreams, names.go is server names, place.go locations,
// lift.go turns all that into a configuration of our own, write.go writes it, verify.go
// compares an access log.
package nginx

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds of what is read.
const (
	mostText       = 16 << 20 // bytes of all files together
	mostDepth      = 40       // blocks in one another
	mostFiles      = 2000
	mostDirectives = 500_000
)

// Pos is where something stands.
type Pos struct {
	File      string
	Line, Col int // from 1; Col in bytes
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Arg is an argument of a directive.
type Arg struct {
	Text   string // unquoted
	Quoted bool
	Pos    Pos
}

// Directive is one directive with its block, if it has one.
type Directive struct {
	Name  string
	Args  []Arg
	Block []*Directive
	// Braces says that there is a block, be it empty.
	Braces bool
	Pos    Pos
}

// Text is the argument at a place, or "".
func (d *Directive) Text(i int) string {
	if i < len(d.Args) {
		return d.Args[i].Text
	}
	return ""
}

// String is the directive without its block, as a file could have it.
func (d *Directive) String() string {
	var b strings.Builder
	b.WriteString(d.Name)
	for _, a := range d.Args {
		if a.Text == "" || strings.ContainsAny(a.Text, " \t\r\n;{}\"'") {
			fmt.Fprintf(&b, " %q", a.Text)
		} else {
			b.WriteString(" " + a.Text)
		}
	}
	return b.String()
}

// SyntaxError is what is wrong with a file.
type SyntaxError struct {
	Pos  Pos
	Text string
}

func (e *SyntaxError) Error() string { return e.Pos.String() + ": " + e.Text }

// Parse reads a file with all that it includes. The syntax is that of ngx_conf_read_token
// and "Configuration File's Structure" in nginx's beginner's guide.
func Parse(path string) ([]*Directive, error) {
	p := &parser{dir: filepath.Dir(path), read: os.ReadFile, glob: filepath.Glob}
	return p.file(path, Pos{})
}

// ParseText reads a text that includes nothing.
func ParseText(name string, text []byte) ([]*Directive, error) {
	p := &parser{}
	return p.text(name, text)
}

type parser struct {
	dir   string // of the main file: what is included is seen from there
	read  func(string) ([]byte, error)
	glob  func(string) ([]string, error)
	stack []string // files that are open
	files int
	bytes int
	count int
}

func (p *parser) file(path string, from Pos) ([]*Directive, error) {
	fail := func(format string, args ...any) error {
		if from.Line == 0 {
			return fmt.Errorf(format, args...)
		}
		return &SyntaxError{from, fmt.Sprintf(format, args...)}
	}
	if slices.Contains(p.stack, path) {
		return nil, fail("%s includes itself: %s", path, strings.Join(append(slices.Clone(p.stack), path), " -> "))
	}
	if p.files++; p.files > mostFiles {
		return nil, fail("more than %d files", mostFiles)
	}
	text, err := p.read(path)
	if err != nil {
		return nil, fail("%v", err)
	}
	p.stack = append(p.stack, path)
	defer func() { p.stack = p.stack[:len(p.stack)-1] }()
	return p.text(path, text)
}

func (p *parser) text(name string, text []byte) ([]*Directive, error) {
	if p.bytes += len(text); p.bytes > mostText {
		return nil, &SyntaxError{Pos{name, 1, 1}, fmt.Sprintf("more than %d MiB of configuration", mostText>>20)}
	}
	if i := slices.Index(text, 0); i >= 0 {
		return nil, &SyntaxError{Pos{name, 1 + strings.Count(string(text[:i]), "\n"), 1}, "a NUL byte: this is no text"}
	}
	l := &lexer{text: string(text), pos: Pos{name, 1, 1}}
	list, err := p.block(l, 0)
	if err != nil {
		return nil, err
	}
	return list, nil
}

// block reads directives up to the end of the block, or of the file at depth 0.
func (p *parser) block(l *lexer, depth int) (list []*Directive, err error) {
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case end:
			if depth > 0 {
				return nil, &SyntaxError{l.pos, "the file ends within a block: a } is missing"}
			}
			return list, nil
		case closing:
			if depth == 0 {
				return nil, &SyntaxError{t.pos, "} without a block"}
			}
			return list, nil
		case opening, semicolon:
			return nil, &SyntaxError{t.pos, fmt.Sprintf("%q where a directive begins", t.text)}
		}
		d := &Directive{Name: t.text, Pos: t.pos}
		if p.count++; p.count > mostDirectives {
			return nil, &SyntaxError{t.pos, fmt.Sprintf("more than %d directives", mostDirectives)}
		}
		if err := p.directive(l, d, depth); err != nil {
			return nil, err
		}
		if d.Name == "include" && !d.Braces && p.read != nil {
			more, err := p.include(d)
			if err != nil {
				return nil, err
			}
			list = append(list, more...)
			continue
		}
		list = append(list, d)
	}
}

// directive reads the rest of a directive.
func (p *parser) directive(l *lexer, d *Directive, depth int) error {
	for {
		t, err := l.next()
		if err != nil {
			return err
		}
		switch t.kind {
		case word:
			d.Args = append(d.Args, Arg{t.text, t.quoted, t.pos})
			continue
		case semicolon:
			return nil
		case opening:
			d.Braces = true
			if strings.HasSuffix(d.Name, "_by_lua_block") {
				return l.skipLua()
			}
			if depth+1 > mostDepth {
				return &SyntaxError{t.pos, fmt.Sprintf("blocks stand more than %d deep", mostDepth)}
			}
			d.Block, err = p.block(l, depth+1)
			return err
		case closing:
			return &SyntaxError{t.pos, fmt.Sprintf("%s is not ended: a ; is missing before }", d.Name)}
		default:
			return &SyntaxError{d.Pos, fmt.Sprintf("%s is not ended: the file ends before a ; or {", d.Name)}
		}
	}
}

// include reads what a directive includes, in the order of names where it is a pattern.
func (p *parser) include(d *Directive) (list []*Directive, err error) {
	if len(d.Args) != 1 {
		return nil, &SyntaxError{d.Pos, "include names one file or pattern"}
	}
	path := d.Args[0].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(p.dir, path)
	}
	paths := []string{path}
	if strings.ContainsAny(path, "*?[") {
		if paths, err = p.glob(path); err != nil {
			return nil, &SyntaxError{d.Args[0].Pos, fmt.Sprintf("%q is no pattern", d.Args[0].Text)}
		}
		slices.Sort(paths)
	}
	for _, path := range paths {
		more, err := p.file(path, d.Pos)
		if err != nil {
			return nil, err
		}
		list = append(list, more...)
	}
	return list, nil
}

type kind uint8

const (
	word kind = iota
	opening
	closing
	semicolon
	end
)

type token struct {
	kind   kind
	text   string
	quoted bool
	pos    Pos
}

type lexer struct {
	text string
	at   int
	pos  Pos
}

func (l *lexer) step() byte {
	c := l.text[l.at]
	l.at++
	if c == '\n' {
		l.pos.Line++
		l.pos.Col = 1
	} else {
		l.pos.Col++
	}
	return c
}

func space(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

var errQuote = errors.New("a quote is not closed")

func (l *lexer) next() (token, error) {
	for l.at < len(l.text) {
		c := l.text[l.at]
		if space(c) {
			l.step()
		} else if c == '#' {
			for l.at < len(l.text) && l.text[l.at] != '\n' {
				l.step()
			}
		} else {
			break
		}
	}
	if l.at >= len(l.text) {
		return token{kind: end, pos: l.pos}, nil
	}
	start := l.pos
	switch c := l.text[l.at]; c {
	case ';', '{', '}':
		l.step()
		return token{map[byte]kind{';': semicolon, '{': opening, '}': closing}[c], string(c), false, start}, nil
	case '"', '\'':
		return l.quoted(start)
	}
	var b strings.Builder
	for l.at < len(l.text) {
		c := l.text[l.at]
		if space(c) || c == ';' || c == '{' {
			break
		}
		switch {
		case c == '\\' && l.at+1 < len(l.text):
			l.step()
			escape(&b, l.step())
		case c == '$' && l.at+1 < len(l.text) && l.text[l.at+1] == '{':
			b.WriteByte(l.step())
			b.WriteByte(l.step())
		default:
			b.WriteByte(l.step())
		}
	}
	return token{word, b.String(), false, start}, nil
}

func (l *lexer) quoted(start Pos) (token, error) {
	quote := l.step()
	var b strings.Builder
	for l.at < len(l.text) {
		c := l.step()
		switch {
		case c == quote:
			if l.at < len(l.text) {
				if n := l.text[l.at]; !space(n) && n != ';' && n != '{' && n != ')' {
					return token{}, &SyntaxError{l.pos, fmt.Sprintf("%q stands right behind a quote", n)}
				}
			}
			return token{word, b.String(), true, start}, nil
		case c == '\\' && l.at < len(l.text):
			escape(&b, l.step())
		default:
			b.WriteByte(c)
		}
	}
	return token{}, &SyntaxError{start, errQuote.Error()}
}

// escape writes what stands behind a backslash; where that means nothing both are kept, as
// regular expressions need them.
func escape(b *strings.Builder, c byte) {
	switch c {
	case '"', '\'', '\\':
		b.WriteByte(c)
	case 't':
		b.WriteByte('\t')
	case 'r':
		b.WriteByte('\r')
	case 'n':
		b.WriteByte('\n')
	default:
		b.WriteByte('\\')
		b.WriteByte(c)
	}
}

// skipLua passes over a block of Lua, in which braces balance outside strings and comments.
func (l *lexer) skipLua() error {
	start := l.pos
	for depth := 1; l.at < len(l.text); {
		switch c := l.step(); c {
		case '{':
			depth++
		case '}':
			if depth--; depth == 0 {
				return nil
			}
		case '"', '\'':
			for l.at < len(l.text) {
				x := l.step()
				if x == '\\' && l.at < len(l.text) {
					l.step()
				} else if x == c || x == '\n' {
					break
				}
			}
		case '-':
			if l.at < len(l.text) && l.text[l.at] == '-' {
				for l.at < len(l.text) && l.text[l.at] != '\n' {
					l.step()
				}
			}
		}
	}
	return &SyntaxError{start, "a block of Lua is not closed"}
}
