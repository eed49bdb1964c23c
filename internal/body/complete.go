package body

import "errors"

// ErrIncomplete says that what is kept of a body is not all of it.
var ErrIncomplete = errors.New("what is kept of the body is not all of it")

// Complete is all of a request's body. Only NewComplete and None make one, so that a part of a body can't be sent for it; the zero
// value and nil are no body that may be sent.
type Complete struct {
	bytes []byte
	valid bool
}

var none = &Complete{valid: true}

// None is the body of a request that has none.
func None() *Complete { return none }

// NewComplete returns the body of which kept is kept, came bytes have come up to its end, and told were announced (-1: nothing was).
// It fails with ErrIncomplete where these differ. The bytes are the body's from then on.
func NewComplete(kept []byte, came, told int64) (*Complete, error) {
	if n := int64(len(kept)); n != came || told >= 0 && n != told {
		return nil, ErrIncomplete
	}
	return &Complete{bytes: kept, valid: true}, nil
}

// Valid says whether it is a body that may be sent.
func (w *Complete) Valid() bool { return w != nil && w.valid }

// Bytes are all of the body; nobody may change them.
func (w *Complete) Bytes() []byte {
	if w == nil {
		return nil
	}
	return w.bytes
}

// Len is how many bytes it has.
func (w *Complete) Len() int { return len(w.Bytes()) }
