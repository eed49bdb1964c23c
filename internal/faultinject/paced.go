package faultinject

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pacedByte is what the bodies of paced requests and answers consist of: it stands in no framing, so it can be counted
// in what is read from a connection before that has been decoded.
const pacedByte = 'z'

const (
	// heldWithin is how long a byte may be held back that its receiver would take (operating days, "Hard days").
	heldWithin = 2 * time.Second
	// firstTimed is the length from which on the first bytes of an answer are timed and not the last (the same page).
	firstTimed = 64 << 10
	// badClientWithin is how long a client that stops within its request waits for its error (standing test).
	badClientWithin = 3 * time.Second
	// hostDoneBefore is how long ahead of its client's time a host has to have begun a long answer that is owed.
	hostDoneBefore = 300 * time.Millisecond
)

// rest is a pause behind a number of bytes of a body; -1: behind nothing of its head either. A negative time is one
// without end.
type rest struct {
	behind int
	lasts  time.Duration
}

// pace is how a body is written.
type pace struct {
	size    int
	framing string // "length", "chunked", "close" or, of a request, "none"
	piece   int    // bytes of a write, and of a chunk where whole is not set
	every   time.Duration
	whole   bool // one chunk is all of the body
	rests   []rest
}

// endless is a rest that has no end.
const endless = -time.Millisecond

// stops says whether the body never ends.
func (p *pace) stops() bool {
	for _, r := range p.rests {
		if r.lasts < 0 {
			return true
		}
	}
	return false
}

// String is the pace as a host gets it.
func (p *pace) String() string {
	rests := make([]string, len(p.rests))
	for i, r := range p.rests {
		rests[i] = fmt.Sprintf("%d:%d", r.behind, r.lasts.Milliseconds())
	}
	return fmt.Sprintf("size=%d&form=%s&piece=%d&every=%d&whole=%t&rests=%s", p.size, p.framing, p.piece, p.every.Milliseconds(), p.whole, strings.Join(rests, ","))
}

func paceOf(plan url.Values) *pace {
	p := &pace{size: number(plan, "size"), framing: plan.Get("form"), piece: number(plan, "piece"), every: time.Duration(number(plan, "every")) * time.Millisecond, whole: plan.Get("whole") == "true"}
	for text := range strings.SplitSeq(plan.Get("rests"), ",") {
		behind, lasts, ok := strings.Cut(text, ":")
		if !ok {
			continue
		}
		at, _ := strconv.Atoi(behind)
		ms, _ := strconv.Atoi(lasts)
		p.rests = append(p.rests, rest{at, time.Duration(ms) * time.Millisecond})
	}
	return p
}

// written is what one side has given of a body, or got, at a time.
type written struct {
	bytes int
	at    time.Time
}

// transfer is a body on its way, as both sides saw it. It is safe for concurrent use.
type transfer struct {
	mu    sync.Mutex
	given []written
	got   []written
	ended bool // all was given
	// broke is how long behind the head an end of the connection came that was to follow it at once: the longest of all attempts.
	broke time.Duration
}

func (t *transfer) gives(n int) { t.note(&t.given, n) }
func (t *transfer) gets(n int)  { t.note(&t.got, n) }

func (t *transfer) note(list *[]written, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*list = append(*list, written{n, time.Now()})
}

func (t *transfer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

func (t *transfer) breaks(behind time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broke = max(t.broke, behind)
}

// brokeBehind is how long behind its head the connection ended.
func (t *transfer) brokeBehind() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broke
}

// begun is when the first byte of the body was given; zero: none was.
func (t *transfer) begun() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.given {
		if g.bytes > 0 {
			return g.at
		}
	}
	return time.Time{}
}

// lastGiven is when something was given last, zero if nothing was, and whether all was.
func (t *transfer) lastGiven() (at time.Time, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.given); n > 0 {
		at = t.given[n-1].at
	}
	return at, t.ended
}

// heldBack is the longest time for which bytes beyond some were held back, up to a time, and how many had come then.
func (t *transfer) heldBack(beyond int, upTo time.Time) (longest time.Duration, behind int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := 0
	for _, g := range t.given {
		if g.bytes <= beyond {
			continue
		}
		for at < len(t.got) && t.got[at].bytes < g.bytes {
			at++
		}
		came, had := upTo, 0
		if at < len(t.got) {
			came = t.got[at].at
		}
		if at > 0 {
			had = t.got[at-1].bytes
		}
		if late := came.Sub(g.at); late > longest {
			longest, behind = late, had
		}
	}
	return longest, behind
}

// write writes a head and a body at a pace, and says whether that has ended. Without a further byte to give it waits for over.
func (p *pace) write(w io.Writer, head string, t *transfer, over <-chan struct{}) bool {
	if !p.restBehind(-1, over) {
		return false
	}
	if _, err := io.WriteString(w, head); err != nil {
		return false
	}
	t.gives(0)
	if p.framing == "chunked" && p.whole {
		if _, err := fmt.Fprintf(w, "%x\r\n", p.size); err != nil {
			return false
		}
	}
	for sent := 0; ; {
		if !p.restBehind(sent, over) {
			return false
		}
		if sent == p.size {
			break
		}
		n := min(p.piece, p.size-sent)
		for _, r := range p.rests {
			if r.behind > sent && r.behind < sent+n {
				n = r.behind - sent
			}
		}
		text := bytes.Repeat([]byte{pacedByte}, n)
		if p.framing == "chunked" && !p.whole {
			text = fmt.Appendf(nil, "%x\r\n%s\r\n", n, text)
		}
		if _, err := w.Write(text); err != nil {
			return false
		}
		sent += n
		t.gives(sent)
		if p.every > 0 && !pause(p.every, over) {
			return false
		}
	}
	if p.framing == "chunked" {
		end := "0\r\n\r\n"
		if p.whole {
			end = "\r\n" + end
		}
		if _, err := io.WriteString(w, end); err != nil {
			return false
		}
	}
	t.end()
	return true
}

// restBehind rests where that is due; false: the other side has ended, or the rest has no end.
func (p *pace) restBehind(at int, over <-chan struct{}) bool {
	for _, r := range p.rests {
		if r.behind == at && !pause(r.lasts, over) {
			return false
		}
	}
	return true
}

// pause waits for a time, without end where it is negative. false: over came first.
func pause(d time.Duration, over <-chan struct{}) bool {
	var late <-chan time.Time
	if d >= 0 {
		late = time.After(d)
	}
	select {
	case <-over:
		return false
	case <-late:
		return true
	}
}

// readsASecond is how often a receiver that reads at a rate does.
const readsASecond = 10

// readPaced reads as bytes come, or at a rate in bytes a second, and notes them, up to size of them or the
// connection's end.
func readPaced(in io.Reader, size, rate int, t *transfer) (int, error) {
	buffer := make([]byte, 32<<10)
	if rate > 0 {
		buffer = buffer[:max(1, min(len(buffer), rate/readsASecond))]
	}
	count := 0
	for count < size {
		if rate > 0 {
			time.Sleep(time.Second / readsASecond)
		}
		n, err := in.Read(buffer)
		if k := bytes.Count(buffer[:n], []byte{pacedByte}); k > 0 {
			count += k
			t.gets(count)
		}
		if err != nil {
			return count, err
		}
	}
	return count, nil
}

// transferOf is a body by the request's id and its direction.
func (r *record) transferOf(id, direction string) *transfer {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := direction + " " + id
	if r.transfers[name] == nil {
		r.transfers[name] = &transfer{}
	}
	return r.transfers[name]
}

// servePaced takes a request and answers it at the planned pace.
func (h *trialHost) servePaced(c net.Conn, in *bufio.Reader, a arrival, q *http.Request, plan url.Values) bool {
	size := number(plan, "body")
	if n, _ := readPaced(in, size, number(plan, "read"), h.record.transferOf(a.id, "up")); n < size {
		return false
	}
	if len(q.TransferEncoding) > 0 {
		for line := ""; line != "0\r\n"; {
			var err error
			if line, err = in.ReadString('\n'); err != nil {
				return false
			}
		}
		if _, err := in.Discard(2); err != nil {
			return false
		}
	}
	a.body, a.ran = sumOf(bytes.Repeat([]byte{pacedByte}, size)), time.Now()
	h.record.arrives(a)
	over := make(chan struct{})
	go func() {
		defer close(over)
		in.Peek(1)
	}()
	p := paceOf(plan)
	head := "HTTP/1.1 200 OK\r\n"
	if plan.Get("interim") != "" {
		head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head
	}
	switch p.framing {
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case "close":
		head += "Connection: close\r\n\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", p.size)
	}
	if plan.Has("breaks") {
		io.WriteString(c, head)
		written := time.Now()
		c.Close()
		h.record.transferOf(a.id, "down").breaks(time.Since(written))
		return false
	}
	if p.write(c, head, h.record.transferOf(a.id, "down"), over) && p.framing != "close" {
		<-over // a further request would be read by the look for the end
	}
	return false
}

// pacedCall is a request of a paced client.
type pacedCall struct {
	call
	up, down pace
	interim  bool
	// hostReads and reads are the bytes a second at which the host and the client read; 0: as they come.
	hostReads, reads int
	breaks           bool // the host ends the connection behind the answer's head
}

func (q *pacedCall) String() string {
	return fmt.Sprintf("%s, %v left, up %v read at %d, down %v read at %d", q.class, q.left, &q.up, q.hostReads, &q.down, q.reads)
}

// drawPaced draws a request and its answer. longest is that of the host's rests.
func drawPaced(r *rand.Rand, longest time.Duration) *pacedCall {
	q := &pacedCall{call: call{class: []string{safeClass, keyedClass, unsafeClass}[r.IntN(3)], left: 500*time.Millisecond + time.Duration(r.IntN(1000))*time.Millisecond}, interim: r.IntN(4) == 0}
	q.down = drawPace(r, []string{"length", "chunked", "close"}, longest)
	if q.up = (pace{framing: "none"}); q.class != safeClass {
		q.up = drawPace(r, []string{"length", "chunked"}, badClientWithin-time.Second)
	}
	if r.IntN(4) == 0 {
		q.hostReads = steadyRate + r.IntN(1<<20)
	}
	if r.IntN(4) == 0 {
		q.reads = steadyRate + r.IntN(1<<20)
	}
	return q
}

// drawPace draws how a body is written.
func drawPace(r *rand.Rand, framings []string, longest time.Duration) pace {
	p := pace{framing: framings[r.IntN(len(framings))], size: drawSize(r), whole: r.IntN(2) == 0, piece: 1 << (9 + r.IntN(8))}
	if p.size < 300<<10 && r.IntN(2) == 0 {
		p.every = time.Duration(1+r.IntN(100)) * time.Millisecond
		p.piece = max(p.piece, int(p.every.Milliseconds())*64) // 64 kB a second at least
	}
	for range r.IntN(3) {
		p.restOnce(rest{behind: r.IntN(p.size+2) - 1, lasts: time.Duration(r.Int64N(int64(longest)))})
	}
	switch r.IntN(6) {
	case 0:
		p.restOnce(rest{behind: 0, lasts: longest})
	case 1:
		p.restOnce(rest{behind: r.IntN(p.size+2) - 1, lasts: endless})
	}
	return p
}

// restOnce adds a rest, unless there is one behind the same byte: together they would be longer than either.
func (p *pace) restOnce(r rest) {
	for _, other := range p.rests {
		if other.behind == r.behind {
			return
		}
	}
	p.rests = append(p.rests, r)
}

// drawSize draws the length of a body: 0 to 32 MB.
func drawSize(r *rand.Rand) int {
	switch r.IntN(8) {
	case 0:
		return r.IntN(100)
	case 1:
		return r.IntN(firstTimed)
	case 2:
		return firstTimed - 2 + r.IntN(4)
	case 3:
		return 1<<20 + r.IntN(31<<20)
	}
	return firstTimed + 1 + r.IntN(900<<10)
}

// askPaced sends a request at its pace over a connection of its own and judges what comes of it.
func (c *client) askPaced(q *pacedCall) {
	q.body = bytes.Repeat([]byte{pacedByte}, q.up.size) // ahead of the connection, which may not rest
	l := c.dial()
	if l == nil {
		return
	}
	defer l.Close()
	id := c.newID()
	q.chunked = q.up.framing == "chunked"
	q.plan = fmt.Sprintf("paced=1&body=%d&read=%d&%v", q.up.size, q.hostReads, &q.down)
	if q.breaks {
		q.plan += "&breaks=1"
	}
	if q.interim {
		q.plan += "&interim=1"
	}
	p := &pacedExchange{client: c, q: q, id: id, link: l, begun: time.Now(), answered: make(chan struct{}), ended: make(chan struct{}),
		up: c.record.transferOf(id, "up"), down: c.record.transferOf(id, "down")}
	go p.read()
	head := c.head(id, &q.call)
	written := make(chan struct{})
	go func() {
		defer close(written)
		p.write(head)
	}()
	p.await(written)
	<-written
	p.judge()
}

// pacedExchange is a request of a paced client on its way.
type pacedExchange struct {
	*client
	q        *pacedCall
	id       string
	link     *link
	begun    time.Time
	asked    time.Time // when its head began to be written
	whole    bool      // the request was written to its end
	wrote    time.Time // when its last byte was written, or its last before a rest without end
	up, down *transfer

	answered chan struct{} // closed: the head of the answer has come
	first    time.Time
	status   int
	text     string        // of an answer that is not served
	ended    chan struct{} // closed: nothing more comes
	last     time.Time
	count    int
	err      error // where the answer is not whole
}

func (p *pacedExchange) write(head string) {
	over := make(chan struct{})
	go func() { // an answer ends a rest without end, and an early one the sending
		select {
		case <-p.answered:
		case <-p.ended:
		case <-p.over:
		}
		close(over)
	}()
	p.link.SetWriteDeadline(time.Now().Add(time.Minute))
	p.asked = time.Now()
	p.whole = p.q.up.write(p.link, head, p.up, over)
	p.wrote = time.Now()
	if !p.whole && p.q.up.stops() {
		if p.wrote, _ = p.up.lastGiven(); p.wrote.IsZero() {
			p.wrote = p.begun
		}
	}
	if p.whole {
		p.record.wrote(p.id, p.wrote)
	}
}

// read reads the answer.
func (p *pacedExchange) read() {
	defer close(p.ended)
	resp, err := readHead(p.link.in)
	p.first = time.Now()
	if err != nil {
		p.last, p.err = p.first, err
		return
	}
	p.status = resp.StatusCode
	close(p.answered)
	if resp.StatusCode != http.StatusOK {
		var text []byte
		text, p.err = io.ReadAll(resp.Body)
		p.text, p.last = string(text), time.Now()
		return
	}
	p.count, err = readPaced(p.link.in, p.q.down.size, p.q.reads, p.down)
	p.last = time.Now()
	if p.count < p.q.down.size {
		p.err = err
	}
}

// readHead reads the head of an answer, behind those that come ahead of it.
func readHead(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// await waits until the answer has ended, or its client need not wait for it any more.
func (p *pacedExchange) await(written <-chan struct{}) {
	limit := time.NewTimer(time.Minute)
	defer limit.Stop()
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-limit.C:
		case <-p.over:
		case <-look.C:
			if !p.isLate(written) {
				continue
			}
		}
		p.record.leaves(p.id, time.Now())
		p.link.SetDeadline(time.Unix(1, 0))
		<-p.ended
		return
	}
}

// isLate says whether the client has waited for longer than anything is owed to it.
func (p *pacedExchange) isLate(written <-chan struct{}) bool {
	select {
	case <-p.answered:
		last, ended := p.down.lastGiven()
		return p.q.down.stops() && !last.IsZero() && !ended && time.Since(last) > heldWithin+time.Second
	default:
	}
	select {
	case <-written:
		return time.Since(p.wrote) > p.q.left+answerWithin
	default:
	}
	last, _ := p.up.lastGiven()
	return p.q.up.stops() && !last.IsZero() && time.Since(last) > badClientWithin+2*time.Second
}

// judge holds what came against what is owed.
func (p *pacedExchange) judge() {
	due := p.wrote.Add(p.q.left)
	starved := p.starved.between(p.begun, p.last)
	what := verdictOf(p.status)
	isOver := false
	select {
	case <-p.over:
		isOver = true
	default:
	}
	disturbed := isOver || p.mayCut(p.begun, time.Now())
	isOpen := isOver && !p.mayCut(p.begun, time.Now()) // the trial has ended, and both sides are at it still
	wrong := func(kind, format string, args ...any) {
		what = kind
		p.record.fail("%s (%v): %s: "+format, append([]any{p.id, p.q, kind}, args...)...)
	}
	switch {
	case isOpen && p.err != nil && errors.Is(p.err, os.ErrDeadlineExceeded):
		what = "open"
	case p.status == 0 && disturbed:
		what = "cut by an end"
	case p.status == 0 && p.crossesClose():
		what = "crossed"
	case !p.whole && p.q.up.stops():
		if late := p.first.Sub(p.wrote); late > badClientWithin+overdueAfter+starved {
			wrong("not ended", "the client stopped, and %v later had neither an error nor a close", late)
		} else {
			what = "stopped"
		}
	case !p.whole && p.status != 0: // an early answer
	case !p.whole:
		wrong("cut off", "the request was cut off behind %d bytes, %s", p.sent(), p.times())
	case p.status == 0:
		wrong("unanswered", "%v behind its time, %s", p.last.Sub(due), p.times())
	case p.first.After(due.Add(overdueAfter + starved)):
		wrong("overdue", "status %d, its first byte %v behind its time", p.status, p.first.Sub(due))
	case p.q.down.size <= firstTimed && p.status == http.StatusOK && p.q.down.framing == "length" && p.last.After(due.Add(overdueAfter+starved)):
		wrong("overdue", "its last byte %v behind its time", p.last.Sub(due))
	case p.status != http.StatusOK && strings.HasPrefix(p.text, noPlace) && p.longAnswers() > p.answerPlaces():
		what = "no place"
	case p.status != http.StatusOK && p.q.down.size > firstTimed && p.answerWasOwed(due, starved) && !disturbed:
		wrong("dropped", "status %d, and its host had begun the answer %v ahead of its time", p.status, due.Sub(p.down.begun()))
	case p.status == http.StatusOK && p.err != nil && !disturbed && !(p.q.down.stops() && !p.down.ended) && p.q.down.size > firstTimed:
		wrong("cut off", "the answer was cut off behind %d bytes: %v, %v behind its head, which came %v ahead of its time; its hosts broke up to %v behind theirs, at hosts %d times", p.count, p.err,
			p.last.Sub(p.first), due.Sub(p.first), p.down.brokeBehind(), p.record.seen(p.id))
	}
	if p.status == http.StatusOK && p.q.down.size > firstTimed && p.q.reads == 0 && !disturbed {
		if held, behind := p.down.heldBack(0, p.last); held > heldWithin+starved {
			wrong("held back", "bytes of the answer for %v, behind %d", held, behind)
		}
	}
	if p.q.up.size > firstTimed && p.q.hostReads == 0 && !disturbed && p.record.seen(p.id) > 0 {
		if held, behind := p.up.heldBack(firstTimed, p.last); held > heldWithin+starved {
			wrong("held back", "bytes of the request for %v, behind %d", held, behind)
		}
	}
	p.record.count(false, what)
}

// noPlace begins what a process says where answers on their way hold all the places that they may (docs/platform.md).
const noPlace = "no room: answers on their way"

// longKinds are the kinds of clients that ask for long answers.
var longKinds = []string{"readers", "restingreaders", "slowanswers", "paced", "headrests", "headbreaks", "chunkrests", "longrests", "uploadrests", "steadyreaders", "steadyhosts", "chunkwriters"}

// longAnswers is how many long answers clients may have on their way at once.
func (t *Trial) longAnswers() (n int) {
	for _, g := range t.Groups {
		if slices.Contains(longKinds, g.Kind) {
			n += g.N
		}
	}
	return n
}

// answerPlaces is how many answers may be on their way (docs/platform.md): half of the connections to hosts, in an upgrade
// half of that.
func (t *Trial) answerPlaces() int {
	places := int(0.35*float64(t.Descriptors-32)) / 2
	if t.Upgradable {
		places /= 2
	}
	return places
}

// times tells when a request without an answer began and ended.
func (p *pacedExchange) times() string {
	return fmt.Sprintf("its head %v behind its connection, its end %v behind that, at hosts %d times: %v", p.asked.Sub(p.link.opened), p.first.Sub(p.asked), p.record.seen(p.id), p.err)
}

// crossesClose says whether the request crossed the close of a connection that had rested for longer than a new one has to
// ask something.
func (p *pacedExchange) crossesClose() bool {
	return p.asked.Sub(p.link.opened) > firstWord && p.first.Sub(p.asked) <= firstWord && p.record.seen(p.id) == 0
}

func (p *pacedExchange) sent() int {
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	if n := len(p.up.given); n > 0 {
		return p.up.given[n-1].bytes
	}
	return 0
}

// answerWasOwed says whether a host began the answer early enough for it to be passed on.
func (p *pacedExchange) answerWasOwed(due time.Time, starved time.Duration) bool {
	begun := p.down.begun()
	return !begun.IsZero() && begun.Before(due.Add(-hostDoneBefore-starved))
}

// paced clients send requests of all framings and lengths, at drawn paces, to hosts that answer so.
func paced(c *client) {
	c.eachPaced(func() *pacedCall {
		longest := 3 * time.Second
		if c.r.IntN(8) == 0 {
			longest = silentMost - 500*time.Millisecond
		}
		return drawPaced(c.r, longest)
	})
}

// eachPaced sends one request after another, each over a connection of its own.
func (c *client) eachPaced(draw func() *pacedCall) {
	for c.sleep(time.Duration(c.r.IntN(200)) * time.Millisecond) {
		c.askPaced(draw())
	}
}

// longCall is a safe request with a long answer that is written at once.
func (c *client) longCall(framing string) *pacedCall {
	return &pacedCall{call: call{class: safeClass, left: 500*time.Millisecond + time.Duration(c.r.IntN(1000))*time.Millisecond}, up: pace{framing: "none"},
		down: pace{size: firstTimed + 1 + c.r.IntN(800<<10), framing: framing, piece: 16 << 10}}
}

func (c *client) framing() string { return []string{"length", "chunked", "close"}[c.r.IntN(3)] }

// headRests have hosts rest behind the head of a long answer.
func headRests(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.down.rests = []rest{{0, 3 * time.Second}}
		return q
	})
}

// headBreaks have hosts end their connections behind the head of a long answer.
func headBreaks(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall([]string{"length", "chunked"}[c.r.IntN(2)])
		q.class, q.breaks = []string{safeClass, unsafeClass}[c.r.IntN(2)], true
		if q.up.framing = "none"; q.class == unsafeClass {
			q.up = pace{size: 100, framing: "length", piece: 100}
		}
		return q
	})
}

// uploadRests send large requests that hosts read slowly, and answer then with a head and nothing behind it for a while.
func uploadRests(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.class, q.hostReads = c.uploadClass(), 1<<20
		q.up = pace{size: 143<<10 + c.r.IntN(700<<10), framing: "length", piece: 1 << 20}
		q.left = 1500 * time.Millisecond
		q.down.rests = []rest{{0, 3 * time.Second}}
		return q
	})
}

// chunkRests have hosts rest within a long chunk.
func chunkRests(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall("chunked")
		q.down.whole, q.down.rests = true, []rest{{1 + c.r.IntN(q.down.size-1), 3 * time.Second}}
		return q
	})
}

// longRests have hosts rest for nearly as long as any side may, within long answers.
func longRests(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		at := 1 + c.r.IntN(q.down.size/2)
		q.down.rests = []rest{{at, time.Second}, {at + 1000, silentMost - 500*time.Millisecond}}
		return q
	})
}

// silentMost is how long either side may let pass without a byte (docs/platform.md).
const silentMost = 10 * time.Second

// steadyRate is what slow clients and hosts read a second (operating days, "Hard days").
const steadyRate = 64_000

// steadyReaders read long answers slowly, without a rest.
func steadyReaders(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.down.size, q.reads = 32<<20, steadyRate
		return q
	})
}

// steadyHosts have hosts read long requests slowly, without a rest.
func steadyHosts(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.class, q.hostReads = c.uploadClass(), steadyRate
		q.up = pace{size: 32 << 20, framing: "length", piece: 64 << 10}
		return q
	})
}

// chunkWriters write a long chunk slowly, in small pieces and with rests.
func chunkWriters(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.class = c.uploadClass()
		q.up = pace{size: 100<<10 + c.r.IntN(100<<10), framing: "chunked", whole: true, piece: 6_400, every: 100 * time.Millisecond}
		q.up.rests = []rest{{q.up.size / 2, 2500 * time.Millisecond}, {q.up.size * 3 / 4, 2500 * time.Millisecond}}
		return q
	})
}

// stoppers stop behind any byte of a request, and stay.
func stoppers(c *client) {
	c.eachPaced(func() *pacedCall {
		q := c.longCall(c.framing())
		q.class = c.uploadClass()
		q.up = pace{size: drawSize(c.r) + 1, framing: []string{"length", "chunked"}[c.r.IntN(2)], piece: 16 << 10}
		q.up.rests = []rest{{c.r.IntN(q.up.size), endless}}
		return q
	})
}
