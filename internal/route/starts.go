package route

// starts is a radix tree over the bytes of paths: which of many beginnings is the longest
// that a path has. Its cost is the length of what matches, however many there are; a node
// that holds entries knows the next shorter one that does.
type starts struct {
	root *startNode
}

type startNode struct {
	label string // from the node above
	list  []*entry
	value string     // the whole beginning, where there are entries
	up    *startNode // the longest shorter beginning with entries
	kids  []*startNode
}

// add puts an entry at its path.
func (s *starts) add(e *entry) {
	if s.root == nil {
		s.root = &startNode{}
	}
	n, rest := s.root, e.path
	for rest != "" {
		at := n.kid(rest[0])
		if at < 0 {
			k := &startNode{label: rest}
			n.kids = append(n.kids, k)
			n, rest = k, ""
			break
		}
		k := n.kids[at]
		same := 0
		for same < len(k.label) && same < len(rest) && k.label[same] == rest[same] {
			same++
		}
		if same < len(k.label) { // part it
			upper := &startNode{label: k.label[:same], kids: []*startNode{k}}
			k.label = k.label[same:]
			n.kids[at] = upper
			k = upper
		}
		n, rest = k, rest[same:]
	}
	n.list = append(n.list, e)
	n.value = e.path
}

func (n *startNode) kid(c byte) int {
	for i, k := range n.kids {
		if k.label[0] == c {
			return i
		}
	}
	return -1
}

// link tells each node with entries of the next shorter one.
func (s *starts) link() {
	var walk func(n, up *startNode)
	walk = func(n, up *startNode) {
		n.up = up
		if len(n.list) > 0 {
			up = n
		}
		for _, k := range n.kids {
			walk(k, up)
		}
	}
	if s.root != nil {
		walk(s.root, nil)
	}
}

// longest is the node of the longest beginning of a path, or nil.
func (s *starts) longest(path string) (found *startNode) {
	for n := s.root; n != nil; {
		if len(n.list) > 0 {
			found = n
		}
		if path == "" {
			break
		}
		at := n.kid(path[0])
		if at < 0 {
			break
		}
		k := n.kids[at]
		if len(path) < len(k.label) || path[:len(k.label)] != k.label {
			break
		}
		n, path = k, path[len(k.label):]
	}
	return found
}
