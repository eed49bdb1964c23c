package contract

// Three small heaps whose items know their places, so that they can leave from anywhere
// and nothing is allocated for them. container/heap would call through an interface for
// each comparison, and box what is pushed.

// up and down restore a heap of n items after the one at i has changed.
func up(i int, less func(i, j int) bool, swap func(i, j int)) {
	for i > 0 {
		parent := (i - 1) / 2
		if !less(i, parent) {
			return
		}
		swap(i, parent)
		i = parent
	}
}

func down(i, n int, less func(i, j int) bool, swap func(i, j int)) {
	for {
		child := 2*i + 1
		if child >= n {
			return
		}
		if child+1 < n && less(child+1, child) {
			child++
		}
		if !less(child, i) {
			return
		}
		swap(i, child)
		i = child
	}
}

// lineHeap holds lines, the lowest tag first.
type lineHeap struct{ list []*line }

func (h *lineHeap) less(i, j int) bool {
	x, y := h.list[i], h.list[j]
	return x.start < y.start || x.start == y.start && x.turn < y.turn
}

func (h *lineHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].inReady, h.list[j].inReady = i, j
}

func (h *lineHeap) push(l *line) {
	l.inReady = len(h.list)
	h.list = append(h.list, l)
	up(l.inReady, h.less, h.swap)
}

func (h *lineHeap) fix(l *line) {
	down(l.inReady, len(h.list), h.less, h.swap)
	up(l.inReady, h.less, h.swap)
}

func (h *lineHeap) remove(l *line) {
	i, last := l.inReady, len(h.list)-1
	if i != last {
		h.swap(i, last)
	}
	h.list[last] = nil
	h.list = h.list[:last]
	l.inReady = -1
	if i != last {
		h.fix(h.list[i])
	}
}

// itemHeap holds a team's waiting requests: by priority, then by the latest time.
type itemHeap struct{ list []*Item }

func (h *itemHeap) less(i, j int) bool {
	x, y := h.list[i], h.list[j]
	switch {
	case x.Priority != y.Priority:
		return x.Priority > y.Priority
	case x.latest != y.latest:
		return x.latest < y.latest
	}
	return x.seq < y.seq
}

func (h *itemHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].inLine, h.list[j].inLine = i, j
}

func (h *itemHeap) push(it *Item) {
	it.inLine = len(h.list)
	h.list = append(h.list, it)
	up(it.inLine, h.less, h.swap)
}

func (h *itemHeap) remove(it *Item) {
	i, last := it.inLine, len(h.list)-1
	if i != last {
		h.swap(i, last)
	}
	h.list[last] = nil
	h.list = h.list[:last]
	if i != last {
		down(i, last, h.less, h.swap)
		up(i, h.less, h.swap)
	}
}

// timeHeap holds all waiting requests, the one that is too late next first.
type timeHeap struct{ list []*Item }

func (h *timeHeap) less(i, j int) bool { return h.list[i].latest < h.list[j].latest }

func (h *timeHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].inTime, h.list[j].inTime = i, j
}

func (h *timeHeap) push(it *Item) {
	it.inTime = len(h.list)
	h.list = append(h.list, it)
	up(it.inTime, h.less, h.swap)
}

func (h *timeHeap) remove(it *Item) {
	i, last := it.inTime, len(h.list)-1
	if i != last {
		h.swap(i, last)
	}
	h.list[last] = nil
	h.list = h.list[:last]
	if i != last {
		down(i, last, h.less, h.swap)
		up(i, h.less, h.swap)
	}
}
