package front

import (
	"errors"
	"net/http"
	"time"

	"frostshift/internal/body"
	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/headers"
	"frostshift/internal/limit"
	"frostshift/internal/message"
	"frostshift/internal/moves"
	"frostshift/internal/shift"
	"frostshift/internal/shortage"
	"frostshift/internal/spool"
	"frostshift/internal/stream"
)

// Ticket is a request whose head has been taken. The front reads the body into Message
// and submits it, or gives the ticket up with Release.
type Ticket struct {
	Message   *message.Request
	Bodies    exchange.Room // for bodies on their way
	Kept      exchange.Room // for what of bodies is kept beside that; nil: Bodies
	Platform  bool          // the client speaks the platform's protocol
	Client    *Conn         // that the request came on; nil: nobody can look at it
	request   exchange.Request
	to        *exchange.Pool
	fallback  *exchange.Pool
	left      time.Duration
	aim       time.Duration // of its class; 0: none
	snapshot  *Snapshot
	x         *exchange.Exchange
	held      int64          // bytes of Bodies
	uploads   exchange.Room  // for requests whose bodies are still to come; nil: they are not bounded
	uploading bool           // it holds a place among them
	policy    *config.Policy // of the route; nil: none
	vars      headers.Vars
	name      string
	via       string
	item      contract.Item
	limiter   *contract.Limiter // that the request has entered; nil: there is no contract
	move      *moves.Move       // that has placed the request; nil: none
	unit      shift.Unit
	pass      *limit.Pass    // what it holds of limits by key; nil: nothing
	limits    [2]string      // RateLimit-Policy and RateLimit of its answer; "": nothing is told
	work      time.Duration  // that it has been for hosts, once it has ended
	body      int64          // bytes that it announced there
	Flow      *config.Bodies // how its bodies go on; nil: whole
	Upgrade   string         // protocol that it may switch to; "": none
	asked     bool           // the client said how long it waits
	spool     *spool.Dir     // nil: nothing is kept on disk
	hint      func(int, http.Header)
	heads     *HeadRoom // that its head holds memory of
	headCost  int64
	filled    *stream.Filled // the body that was read ahead, with its memory; nil: none was
	overdue   *OverdueAnswers
	reads     *BodyReads
	watch     *answerWatch // from Submit on
}

// Hold notes that the body holds n more bytes of room and says whether there are any.
func (t *Ticket) Hold(n int64) bool {
	if !t.Bodies.Take(n) {
		return false
	}
	t.held += n
	return true
}

// RefuseFor is the refusal of the request for want of a resource of the gateway's own, counted and logged.
func (t *Ticket) RefuseFor(r shortage.Resource) *Error { return t.refuseFor(shortage.New(r)) }

// refuseFor counts and logs that the request is refused for want of something of the gateway's own.
func (t *Ticket) refuseFor(of *shortage.Error) *Error {
	t.lost(of, shortage.Refused)
	return tooLittle(of)
}

// lost counts and logs what the request loses for want of something of the gateway's own.
func (t *Ticket) lost(of *shortage.Error, loss shortage.Loss) {
	t.x.Shortages().Note(of, loss, t.Message.ID)
}

// holdUpload has the request be one of those that may go on while their bodies are still to come. Without that bound
// clients that send slowly, or stop, would hold every place and every connection to a host.
func (t *Ticket) holdUpload() error {
	if t.uploads == nil || t.uploading || t.Message.Upload == nil || t.Upgrade != "" {
		return nil
	}
	if !t.uploads.Take(1) {
		return t.refuseFor(shortage.New(shortage.UploadPlaces))
	}
	t.uploading = true
	return nil
}

// NewUpload makes a body that need not be whole the request's. length is what the client has
// announced; -1: nothing.
func (t *Ticket) NewUpload(src stream.Source, length int64) *stream.Upload {
	f := t.Flow
	cfg := stream.Config{Source: src, Room: t.kept(), MakeRoom: t.reads.makeRoom(), Strict: f.Strict, Idle: f.Idle, Silence: f.Silence, Rate: f.Rate, Timed: t.asked || t.Platform,
		Lost:   func(of *shortage.Error) { t.lost(of, shortage.Replay) },
		Bounds: body.Bounds{Memory: f.Replay, Disk: f.Spool, Most: f.Most, Length: length}}
	if terms := t.item.Terms; terms != nil && terms.LargestBody > 0 && (f.Most == 0 || terms.LargestBody < f.Most) {
		cfg.Bounds.Most = terms.LargestBody // none was announced that the contract could be held against
	}
	if t.spool != nil && f.Spool > 0 {
		team, dir := "", t.spool
		if t.item.Terms != nil {
			team = t.item.Terms.Team
		}
		cfg.Spool = func() (stream.File, error) {
			f, err := dir.File(team)
			if err != nil {
				return nil, err // and not a *spool.File that is nil
			}
			return f, nil
		}
	} else {
		cfg.Bounds.Disk = 0
	}
	if t.Upgrade != "" {
		cfg.Raw, cfg.Idle, cfg.Silence, cfg.Rate, cfg.Bounds = true, 0, 0, 0, body.Bounds{Length: -1}
	}
	t.Message.Body, t.Message.Upload = nil, stream.NewUpload(cfg)
	return t.Message.Upload
}

// ReadAhead reads the body as far as the route wants it to have come before a host gets the head. One that has come whole
// is an ordinary body from then on; any other goes on as it comes, and holds a place among those. The error is an *Error.
func (t *Ticket) ReadAhead() error {
	up := t.Message.Upload
	if t.Flow.Requests == config.BodiesAuto && t.Upgrade == "" && up.Length() <= t.Flow.Replay {
		filled, err := t.fill(up, t.Flow.Replay)
		if err != nil {
			return t.BodyError(err, false)
		}
		if filled != nil {
			t.take(filled)
			return nil
		}
	}
	return t.holdUpload()
}

// ReadWhole reads a body that is told to be as long as length, of a route that takes bodies whole. The error is an *Error.
func (t *Ticket) ReadWhole(src stream.Source, length int64) error {
	up := stream.NewUpload(stream.Config{Source: src, Room: t.Bodies, MakeRoom: t.reads.makeRoom(), Bounds: body.Bounds{Memory: length, Length: length}})
	defer up.Close()
	filled, err := t.fill(up, length)
	switch {
	case err != nil:
		return t.BodyError(err, false)
	case filled == nil:
		return t.RefuseFor(shortage.BodyMemory)
	}
	t.take(filled)
	return nil
}

// fill reads a body ahead. One that stalls may be refused meanwhile, for the room of others.
func (t *Ticket) fill(up *stream.Upload, n int64) (*stream.Filled, error) {
	defer t.reads.follow(up)()
	return up.Fill(n)
}

// kept is the room for what of bodies is kept.
func (t *Ticket) kept() exchange.Room {
	if t.Kept != nil {
		return t.Kept
	}
	return t.Bodies
}

// take makes a body that was read ahead the request's.
func (t *Ticket) take(filled *stream.Filled) {
	t.Message.Body, t.Message.Upload = filled.Body, nil
	t.filled = filled
	t.held += filled.Held
}

// Over says that the front is done with a request that was answered so: the memory of its
// body is used again where one attempt was all, and has sent it.
func (t *Ticket) Over(r exchange.Reply) {
	if t.filled != nil && t.filled.Again != nil && r.Verdict == exchange.Served && r.Tries == 1 && t.Message.Written.Load() {
		t.filled.Again()
		t.filled = nil
	}
}

// Hints has what comes ahead of the answer given to f, where the route allows it.
func (t *Ticket) Hints(f func(status int, header http.Header)) {
	if t.Flow != nil && t.Flow.Hints {
		t.hint = f
	}
}

// Idle is how long a client may take nothing in of an answer that flows.
func (t *Ticket) Idle() time.Duration { return t.Flow.Idle }

// BodyError is what is wrong with a body that broke off. sent says that an attempt has had a
// part of it: trying again is not known to be harmless then.
func (t *Ticket) BodyError(err error, sent bool) *Error {
	if of := shortage.Of(err); of != nil {
		e := t.bodyWithoutRoom(of, sent)
		e.Stalled = errors.Is(err, errStalled)
		return e
	}
	e := bad("body: %v", err)
	switch {
	case errors.Is(err, stream.ErrLong):
		e = &Error{Status: http.StatusRequestEntityTooLarge, Text: "body too large"}
	case errors.Is(err, stream.ErrSlow) && !sent:
		e = &Error{Status: http.StatusRequestTimeout, Text: "the body is slow"}
	case errors.Is(err, stream.ErrSlow):
		e = bad("the body is slow")
	}
	return e
}

// bodyWithoutRoom is the answer to a request whose body could not be taken in for want of something of the gateway's own.
func (t *Ticket) bodyWithoutRoom(of *shortage.Error, sent bool) *Error {
	if !sent {
		return t.refuseFor(of)
	}
	t.lost(of, shortage.Failed)
	return &Error{Status: http.StatusBadGateway, Text: of.Error(), Short: of}
}

// Release gives the ticket up. The exchange calls it for one that was submitted.
func (t *Ticket) Release() {
	if t.held > 0 {
		t.Bodies.Give(t.held)
		t.held = 0
	}
	t.heads.give(t.headCost)
	t.headCost = 0
	if t.uploading {
		t.uploads.Give(1)
		t.uploading = false
	}
	if t.limiter != nil {
		t.limiter.Leave(t.item.Account, t.body)
		t.limiter = nil
	}
	if t.pass != nil {
		t.pass.Leave(t.x.Clock().Now(), t.work, t.came())
		t.pass = nil
	}
	t.snapshot.Release()
}

// Ended tells the move that has placed the request, and limits of work, how it ended.
func (t *Ticket) Ended(e exchange.Ending) {
	if t.work = e.Work; t.move != nil {
		t.move.Ended(&t.unit, e)
	}
}

// came is how many bytes of its body have come.
func (t *Ticket) came() int64 {
	if t.Message.Upload != nil {
		return t.Message.Upload.Came()
	}
	return int64(t.Message.Body.Len())
}

// lastSend is how long an answer has to go out that came when its request's time was over or nearly so.
const lastSend = 250 * time.Millisecond

// SendBy is until when an answer is written: as long as its client waits, but for lastSend at least. One that came
// at the last moment, on a machine that is short of processor time, is late then, where it would be none.
func SendBy(deadline, now time.Time) time.Time {
	if least := now.Add(lastSend); deadline.Before(least) {
		return least
	}
	return deadline
}

// Submit hands the request to the exchange: its time counts from now, and the ticket is
// the exchange's to release. deadline is when the client stops waiting.
func (t *Ticket) Submit() (call *exchange.Call, deadline time.Time) {
	clock := t.x.Clock()
	t.request.Deadline = clock.Now() + t.left
	t.request.Message, t.request.UniqueID = t.Message, t.Platform
	t.request.Hold = t
	if t.Client != nil {
		t.request.Client = t.Client
	}
	if t.Flow != nil {
		ends := t.request.Deadline - t.left + t.Flow.Longest
		if t.asked && !t.Flow.HeadTimed {
			ends = t.request.Deadline
		}
		t.Message.Upgrade, t.request.Switches = t.Upgrade, t.Upgrade != ""
		t.Message.Flow = &message.Flow{Answers: t.Flow.Answers, Hold: t.Flow.Hold, Ahead: t.Flow.Ahead, Idle: t.Flow.Idle, Ends: clock.At(ends), Hint: t.hint}
		if up := t.Message.Upload; up != nil {
			t.request.Body, t.request.Rest, t.request.Ends = up, t.left, ends
		}
	}
	if t.limiter != nil {
		t.item.Deadline = t.request.Deadline
		if t.aim > 0 {
			t.item.Aim = t.request.Deadline - t.left + t.aim
		}
		t.request.Item = &t.item
	}
	call = t.x.Submit(t.request, t.to, t.fallback)
	t.watch = t.overdue.watchAnswer(call, t.left)
	return call, clock.At(t.request.Deadline)
}

// Begun notes that a byte of the answer is on the client's connection, or that nobody waits for one any more.
func (t *Ticket) Begun() { t.watch.end() }
