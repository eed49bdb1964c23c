package share

import "container/list"

// Wait is a holder's wait for an amount of its budget.
type Wait struct {
	holder  *Holder
	n       int64
	granted chan struct{} // closed: the holder uses the amount
	at      *list.Element // in the budget's list; nil: it waits no more
}

// Granted is closed once the holder uses the amount.
func (w *Wait) Granted() <-chan struct{} { return w.granted }

// Cancel ends the wait, and reports whether it was granted before.
func (w *Wait) Cancel() (granted bool) {
	b := w.holder.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.at == nil {
		return true
	}
	b.waits.Remove(w.at)
	w.at = nil
	return false
}

// TakeOrWait is Take, and otherwise begins to wait for n, behind those that wait already: they go ahead of what is beyond the
// holder's guaranteed share. nil: the holder uses n. The caller ends each wait with Cancel.
func (h *Holder) TakeOrWait(n int64) *Wait {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if (h.b.waits.Len() == 0 || h.used+n <= h.guaranteed) && h.take(n) {
		return nil
	}
	w := &Wait{holder: h, n: n, granted: make(chan struct{})}
	w.at = h.b.waits.PushBack(w)
	return w
}

// grant gives those that wait what they wait for, in turn. Behind the first that finds too little only those of other
// holders go on, which may have guaranteed shares. The lock is held.
func (b *Budget) grant() {
	var short *Holder
	var next *list.Element
	for e := b.waits.Front(); e != nil; e = next {
		next = e.Next()
		w := e.Value.(*Wait)
		if w.holder == short {
			continue
		}
		if !w.holder.take(w.n) {
			short = w.holder
			continue
		}
		b.waits.Remove(e)
		w.at = nil
		close(w.granted)
	}
}
