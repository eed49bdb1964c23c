// Package wire translates between the simulator's binary frames and the
// events and actions of package frostshift. It contains no decision logic.
//
// A frame is a length of four bytes and a batch: a clock, the number of
// records, and the records. All numbers are little-endian.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"frostshift"
)

// Codes of events, from the simulator to the balancers.
const (
	Hello      = 0 // starts an instance
	PeersKnown = 1 // a host list, or its failure
	Req        = 2 // a request has arrived
	Flowing    = 3 // the answer to an attempt has begun to arrive
	AttemptEnd = 4 // an attempt has ended
	Withdrawn  = 5 // the client of a request has gone
	TimerFired = 6 // a timer set by a Wake action has fired
	StatusBack = 7 // the result of a probe; ignored
	FromPeer   = 8 // a message of another instance; ignored
	Halt       = 9 // stops an instance
)

// Codes of actions, from the balancers to the simulator.
const (
	recordSend   = 64
	recordRefuse = 65
	recordFail   = 66
	recordCancel = 67
	recordWake   = 68
	recordLog    = 72
	recordCrash  = 73
	recordWatch  = 74
)

const (
	batchHeader  = 12      // bytes of the batch header (clock and record count) after the frame length
	recordHeader = 5       // bytes of a record's code and size
	entrySize    = 24      // bytes of a host list entry
	maxFrame     = 1 << 30 // bytes
	maxText      = 1 << 10 // bytes; longer texts are cut
)

// unit is the unit of all times on the wire.
const unit = time.Microsecond

// flagRepeat is the bit of a request's flags that marks a client's retry.
const flagRepeat = 2

// Event is one decoded record. Besides Code and Instance, only the fields of its code are set.
type Event struct {
	Code     byte
	Instance uint32 // number of the balancer that the event is for

	Seed     uint64 // Hello
	Settings []byte // Hello; valid until the next batch

	List  frostshift.ListKind // PeersKnown
	Hosts []frostshift.Host   // PeersKnown; valid until the next event

	Request frostshift.Request // Req; its ID also in Withdrawn and Flowing
	Attempt int                // Flowing
	Outcome frostshift.Outcome // AttemptEnd
	Token   uint64             // TimerFired
}

// Reader reads batches and the events in them.
type Reader struct {
	in    *bufio.Reader
	frame bytes.Buffer
	data  []byte            // the frame without its length field
	pos   int               // position of the next record in data
	left  uint32            // number of records not yet read
	hosts []frostshift.Host // reused for every list
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16)}
}

// Batch reads the next batch and returns its clock, or io.EOF when the input
// ends between batches. Any other error means that the frame is malformed.
func (r *Reader) Batch() (frostshift.Time, error) {
	var head [4]byte
	if _, err := io.ReadFull(r.in, head[:]); err == io.EOF {
		return 0, io.EOF
	} else if err != nil {
		return 0, errors.New("frame ends inside its length field")
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < batchHeader || n > maxFrame {
		return 0, fmt.Errorf("frame length %d at byte 0 is not between %d and %d", n, batchHeader, maxFrame)
	}
	r.frame.Reset() // grows with the bytes that arrive, so a false length allocates little
	if got, err := io.CopyN(&r.frame, r.in, int64(n)); err != nil {
		return 0, fmt.Errorf("frame ends at byte %d of %d", got+4, n+4)
	}
	r.data = r.frame.Bytes()
	clock := binary.LittleEndian.Uint64(r.data)
	if clock > math.MaxInt64/uint64(unit) {
		return 0, fmt.Errorf("clock %d at byte 4 is out of range", clock)
	}
	r.left, r.pos = binary.LittleEndian.Uint32(r.data[8:]), batchHeader
	return frostshift.Time(clock) * unit, nil
}

// Next decodes the next event of the batch into e and reports whether there was
// one. An error means that the frame is malformed.
func (r *Reader) Next(e *Event) (bool, error) {
	if r.left == 0 {
		if r.pos != len(r.data) {
			return false, r.errorf(r.pos, "%d bytes behind the last record", len(r.data)-r.pos)
		}
		return false, nil
	}
	if len(r.data)-r.pos < recordHeader {
		return false, r.errorf(r.pos, "record header is cut off")
	}
	size := binary.LittleEndian.Uint32(r.data[r.pos+1:])
	if uint64(size) > uint64(len(r.data)-r.pos-recordHeader) {
		return false, r.errorf(r.pos, "record of %d bytes reaches past the frame", size)
	}
	start := r.pos
	end := start + recordHeader + int(size)
	f := fields{data: r.data[start+recordHeader : end]}
	r.pos, r.left = end, r.left-1
	*e = Event{Code: r.data[start], Instance: f.u32()}
	if err := r.decode(e, &f); err != nil {
		return false, r.errorf(start, "%v", err)
	}
	if f.short {
		return false, r.errorf(start, "record of code %d is too short", e.Code)
	}
	if len(f.data) > 0 {
		return false, r.errorf(start, "record of code %d has %d bytes too many", e.Code, len(f.data))
	}
	return true, nil
}

func (r *Reader) errorf(pos int, format string, args ...any) error {
	return fmt.Errorf("at byte %d of the frame: %s", pos+4, fmt.Sprintf(format, args...))
}

func (r *Reader) decode(e *Event, f *fields) error {
	switch e.Code {
	case Hello:
		e.Seed = f.u64()
		e.Settings = f.bytes(uint64(f.u32()))
	case PeersKnown:
		return r.decodeList(e, f)
	case Req:
		e.Request.ID = frostshift.RequestID(f.u32())
		e.Request.Class = int(f.u8())
		e.Request.Tenant = int(f.u16())
		f.u32() // expected work
		e.Request.Left = f.time()
		f.u64() // routing key
		e.Request.Repeat = f.u8()&flagRepeat != 0
	case Flowing:
		e.Request.ID = frostshift.RequestID(f.u32())
		e.Attempt = int(f.u16())
		f.host()
		f.time()
	case AttemptEnd:
		e.Outcome.Request = frostshift.RequestID(f.u32())
		e.Outcome.Attempt = int(f.u16())
		f.host()
		code := f.u16()
		e.Outcome.Elapsed = f.time()
		e.Outcome.Closed = f.u8() != 0
		f.bytes(4 * uint64(f.u8()))
		var ok bool
		if e.Outcome.Result, ok = results[code]; !ok && !f.short {
			return fmt.Errorf("unknown outcome %d", code)
		}
	case Withdrawn:
		e.Request.ID = frostshift.RequestID(f.u32())
	case TimerFired:
		e.Token = f.u64()
	case StatusBack:
		f.u16()
		f.time()
		f.host()
		f.bytes(4 * uint64(f.u8()))
	case FromPeer:
		f.u16()
		f.bytes(uint64(f.u16()))
	case Halt:
	default: // a later version of the protocol may have more codes
		f.data, f.short = nil, false
	}
	return nil
}

func (r *Reader) decodeList(e *Event, f *fields) error {
	mode := f.u8()
	f.u64() // version
	n := f.u32()
	if f.short {
		return nil
	}
	switch mode {
	case 0:
		e.List = frostshift.ListFailed
	case 1:
		e.List = frostshift.ListFull
	case 3:
		e.List = frostshift.ListSaved
	case 4:
		e.List = frostshift.ListChanges
	default:
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if uint64(n)*entrySize != uint64(len(f.data)) {
		return fmt.Errorf("list of %d entries has %d bytes", n, len(f.data))
	}
	r.hosts = r.hosts[:0]
	for range n {
		start := f.u64()
		if start > math.MaxInt64/uint64(unit) {
			return fmt.Errorf("start time %d is out of range", start)
		}
		h := frostshift.Host{Started: frostshift.Time(start) * unit, Kind: int(f.u8())}
		h.ID = f.host()
		h.Zone, h.Cell = int(f.u16()), int(f.u16())
		switch state := f.u8(); state {
		case 3:
			h.State = frostshift.Ready
		case 0:
			h.State = frostshift.Draining
		case 2:
			h.State = frostshift.Removed
		default:
			return fmt.Errorf("unknown host state %d", state)
		}
		f.u32() // weight
		r.hosts = append(r.hosts, h)
	}
	e.Hosts = r.hosts
	return nil
}

var results = map[uint16]frostshift.Result{
	100: frostshift.OK,
	301: frostshift.Failed,
	302: frostshift.Full,
	303: frostshift.TimedOut,
	304: frostshift.ConnectFailed,
	305: frostshift.Reset,
	306: frostshift.Canceled,
	307: frostshift.NotSent,
}

// fields reads little-endian fields. When the data ends before a field does,
// short is set, and that field and all further ones are zero.
type fields struct {
	data  []byte
	short bool
}

func (f *fields) bytes(n uint64) []byte {
	if uint64(len(f.data)) < n {
		f.short, f.data = true, nil
		return nil
	}
	v := f.data[:n]
	f.data = f.data[n:]
	return v
}

func (f *fields) u8() uint8 {
	if v := f.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if v := f.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if v := f.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if v := f.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (f *fields) time() time.Duration { return time.Duration(f.u32()) * unit }

// host packs the four address bytes and the port into one number.
func (f *fields) host() frostshift.HostID {
	addr := f.u32()
	return frostshift.HostID(addr) | frostshift.HostID(f.u16())<<32
}

// Writer collects the actions of one batch and writes them as one reply frame.
type Writer struct {
	out   *bufio.Writer
	buf   []byte
	count uint32
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16), buf: make([]byte, 8, 1<<12)}
}

// Flush writes the reply to the batch and starts the next one.
func (w *Writer) Flush() error {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-4))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	w.out.Write(w.buf) // bufio keeps an error and returns it from Flush
	w.buf, w.count = w.buf[:8], 0
	return w.out.Flush()
}

// Action adds an action of an instance.
func (w *Writer) Action(instance uint32, a *frostshift.Action) {
	switch a.Kind {
	case frostshift.Send:
		w.record(recordSend, instance, 22)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.Host))
		w.u16(uint16(a.Host >> 32))
		w.u64(uint64(a.At / unit))
	case frostshift.Cancel:
		w.record(recordCancel, instance, 10)
		w.u32(uint32(a.Request))
		w.u16(uint16(a.Attempt))
	case frostshift.Refuse:
		w.record(recordRefuse, instance, 12)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.After / unit))
	case frostshift.Fail:
		w.record(recordFail, instance, 8)
		w.u32(uint32(a.Request))
	case frostshift.Wake:
		w.record(recordWake, instance, 20)
		w.u64(uint64((a.At + unit - 1) / unit))
		w.u64(a.Token)
	case frostshift.Watch:
		w.record(recordWatch, instance, 5)
		w.buf = append(w.buf, 1)
	case frostshift.Log:
		w.text(recordLog, instance, a.Text)
	}
}

// Crash adds a report that an instance has failed and was stopped.
func (w *Writer) Crash(instance uint32, text string) { w.text(recordCrash, instance, text) }

func (w *Writer) text(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxText)]
	w.record(code, instance, 6+len(text))
	w.u16(uint16(len(text)))
	w.buf = append(w.buf, text...)
}

func (w *Writer) record(code byte, instance uint32, size int) {
	w.count++
	w.buf = append(w.buf, code)
	w.u32(uint32(size))
	w.u32(instance)
}

func (w *Writer) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *Writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
