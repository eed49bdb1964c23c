// Package shortage names what a gateway itself can run out of. An Error says that something was not done for want of it,
// which is no fault of the client's, the host's or the attempt's. A Ledger counts and logs what requests lose by it.
package shortage

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"frostshift/internal/eventlog"
)

// Resource is something that is bounded.
type Resource uint8

// Resources.
const (
	RequestPlaces     Resource = iota // open requests
	UploadPlaces                      // requests whose bodies are still to come
	DownloadPlaces                    // answers whose bodies are on their way to clients
	ClientConnections                 // connections of clients
	HostConnections                   // connections to hosts
	Sockets                           // descriptors, ports and memory of the system for a connection
	HeadMemory                        // heads of requests
	BodyMemory                        // bodies of requests
	AnswerMemory                      // heads and bodies of answers
	Spool                             // bodies of requests on disk
	Notes                             // what the other process of a gateway has told, or could not tell in time
	RunIDs                            // ids of requests that have run or may have run
	ReceiveBuffer                     // what a client has sent and nobody has read: its end could stand behind it
	Resources                         // how many there are
)

var resourceNames = [Resources]string{"open requests", "bodies to come", "answers on their way", "client connections", "host connections", "sockets",
	"memory of heads", "memory of bodies", "memory of answers", "spool", "notes of the other process", "ids that have run", "receive buffer"}

// String names the resource, for logs and metrics.
func (r Resource) String() string { return resourceNames[r] }

// Error says what there was too little of.
type Error struct {
	Resource Resource
	Err      error // of the system or of a part; nil: a bound of the gateway's own
}

// New returns the error of a resource whose bound is met.
func New(r Resource) *Error { return &Error{Resource: r} }

func (e *Error) Error() string {
	if e.Err != nil {
		return "no room: " + e.Resource.String() + ": " + e.Err.Error()
	}
	return "no room: " + e.Resource.String()
}

// Unwrap is the error below.
func (e *Error) Unwrap() error { return e.Err }

// Of is the shortage that an error tells of; nil: of none.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Loss is what a request has lost.
type Loss uint8

// Losses.
const (
	Refused   Loss = iota // the request has been refused
	Failed                // it may have run, and its answer can't be given
	Replay                // the beginning of its body, so that no further attempt can be made
	Forgotten             // that ids have run, ahead of their time
	losses
)

var lossNames = [losses]string{"refused", "failed", "replay", "forgotten"}

// String names the loss, for logs and metrics.
func (l Loss) String() string { return lossNames[l] }

// Losses are all of them.
func Losses() []Loss { return []Loss{Refused, Failed, Replay, Forgotten} }

// Ledger counts and logs losses. It is safe for concurrent use; a nil one notes nothing.
type Ledger struct {
	began  time.Time
	events atomic.Pointer[eventlog.Log]
	counts [Resources][losses]atomic.Int64
}

// NewLedger returns a ledger without a log.
func NewLedger() *Ledger { return &Ledger{began: time.Now()} }

// LogTo has losses logged from now on.
func (l *Ledger) LogTo(log *slog.Logger) { l.events.Store(eventlog.New(log)) }

// Note notes what a request has lost.
func (l *Ledger) Note(e *Error, loss Loss, request string) {
	if l == nil {
		return
	}
	l.counts[e.Resource][loss].Add(1)
	if events := l.events.Load(); events != nil {
		attrs := []slog.Attr{slog.String("request", request)}
		if e.Err != nil {
			attrs = append(attrs, slog.String("err", e.Err.Error()))
		}
		events.Note(time.Since(l.began), "no room: "+e.Resource.String()+": "+loss.String(), attrs...)
	}
}

// Count is how many requests have had a loss by a resource.
func (l *Ledger) Count(r Resource, loss Loss) int64 {
	if l == nil {
		return 0
	}
	return l.counts[r][loss].Load()
}
