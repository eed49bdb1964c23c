package contract

// The three small heaps below store in each item its index, so that items can be removed from any
// position and the heaps allocate nothing per item. container/heap would call through an interface
// for each comparison, and box what is pushed.

// up and down restore a heap of n items after the item at i has changed.
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

// queueHeap holds team queues, the lowest start tag first.
type queueHeap struct{ list []*queue }

func (h *queueHeap) less(i, j int) bool {
	x, y := h.list[i], h.list[j]
	return x.startTag < y.startTag || x.startTag == y.startTag && x.tieBreak < y.tieBreak
}

func (h *queueHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].readyIndex, h.list[j].readyIndex = i, j
}

func (h *queueHeap) push(q *queue) {
	q.readyIndex = len(h.list)
	h.list = append(h.list, q)
	up(q.readyIndex, h.less, h.swap)
}

func (h *queueHeap) fix(q *queue) {
	down(q.readyIndex, len(h.list), h.less, h.swap)
	up(q.readyIndex, h.less, h.swap)
}

func (h *queueHeap) remove(q *queue) {
	i, last := q.readyIndex, len(h.list)-1
	if i != last {
		h.swap(i, last)
	}
	h.list[last] = nil
	h.list = h.list[:last]
	q.readyIndex = -1
	if i != last {
		h.fix(h.list[i])
	}
}

// itemHeap holds a team's waiting requests: by priority, then by the latest time to send them.
type itemHeap struct{ list []*Item }

func (h *itemHeap) less(i, j int) bool {
	x, y := h.list[i], h.list[j]
	switch {
	case x.Priority != y.Priority:
		return x.Priority > y.Priority
	case x.sendBy != y.sendBy:
		return x.sendBy < y.sendBy
	}
	return x.seq < y.seq
}

func (h *itemHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].queueIndex, h.list[j].queueIndex = i, j
}

func (h *itemHeap) push(it *Item) {
	it.queueIndex = len(h.list)
	h.list = append(h.list, it)
	up(it.queueIndex, h.less, h.swap)
}

func (h *itemHeap) remove(it *Item) {
	i, last := it.queueIndex, len(h.list)-1
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

// expiryHeap holds all waiting requests, the one that expires next first.
type expiryHeap struct{ list []*Item }

func (h *expiryHeap) less(i, j int) bool { return h.list[i].sendBy < h.list[j].sendBy }

func (h *expiryHeap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].expiryIndex, h.list[j].expiryIndex = i, j
}

func (h *expiryHeap) push(it *Item) {
	it.expiryIndex = len(h.list)
	h.list = append(h.list, it)
	up(it.expiryIndex, h.less, h.swap)
}

func (h *expiryHeap) remove(it *Item) {
	i, last := it.expiryIndex, len(h.list)-1
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
