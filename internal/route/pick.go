package route

import (
	"hash/fnv"
	"math"
)

// Match is where a request goes.
type Match struct {
	Route *Route
	Pool  int    // index in Route.Pools
	Path  string // that goes on; "": the bytes as they came
	// Query goes on in place of the one that came, if Requery says so.
	Query   string
	Requery bool
	// Location is where the client is told to go, by the step of a redirect.
	Location  string
	Permanent bool

	again bool // the path was changed on the way here, and is the route's to rewrite
}

// Match finds the route of a request, its pool and the path that goes on. Its errors are
// those of this package; nil with no Route says that none matches.
func (t *Table) Match(r *Request) (Match, error) {
	e, path, err := t.locate(r)
	if err != nil || e == nil {
		return Match{}, err
	}
	m := Match{Route: e.Route}
	if len(e.Steps) > 0 {
		if e, err = t.walkSteps(e, r, path, &m); err != nil || m.Location != "" || e == nil {
			return m, err
		}
	}
	if e.Own || len(e.Pools) == 0 {
		return m, nil
	}
	m.Pool = e.choose(r)
	if m.Path == "" && !e.Rewrite.none() {
		m.Path, err = e.rewrite(path)
	} else if m.Path != "" && m.again && !e.Rewrite.none() {
		m.Path, err = e.rewrite(m.Path)
	}
	if err != nil {
		return Match{}, err
	}
	return m, nil
}

// walkSteps runs the steps of a route, and of those that they lead to, up to the one that
// the request stays with.
func (t *Table) walkSteps(e *entry, r *Request, path string, m *Match) (*entry, error) {
	host, err := NormalHost(r.Host)
	if err != nil {
		return nil, err
	}
	q := *r
	for round := range mostRounds {
		m.Route = e.Route
		m.again = m.Path != ""
		next, query, redirect, then, changed, err := e.run(path, q.Query, round > 0)
		switch {
		case err != nil:
			return nil, err
		case then == Redirect || then == Moved:
			m.Location, m.Permanent = redirect, then == Moved
			return e, nil
		case !changed:
			return e, nil
		case then == Next && e.Own && !e.Steps[len(e.Steps)-1].First:
			return e, nil
		}
		path, q.Query = next, query
		m.Path, m.Query, m.Requery = path, query, true
		if then == Break && e.Own { // it ends what the route would have answered
			*m = Match{}
			return nil, nil
		}
		if then == Break {
			m.again = false
			return e, nil
		}
		if e = t.find(&q, host, path); e == nil {
			*m = Match{}
			return nil, nil
		}
	}
	return nil, ErrRounds
}

// locate finds the route of a request and its normal path. A path that hosts could read
// in several ways is taken only where all ways lead to the same route: else the bytes
// that go on could mean to the host what belongs to another.
func (t *Table) locate(r *Request) (*entry, string, error) {
	host, err := NormalHost(r.Host)
	if err != nil {
		return nil, "", err
	}
	path, odd, err := encodings(r.Path)
	if err != nil {
		return nil, "", err
	}
	if odd == 0 {
		return t.find(r, host, path), path, nil
	}
	var found *entry
	all := readings(path)
	for i, reading := range all {
		if e := t.find(r, host, reading); i == 0 {
			found = e
		} else if e != found {
			return nil, "", ErrReadings
		}
	}
	return found, all[0], nil
}

// choose is the index of the pool that gets a request. Where the route has a stable key
// it is chosen by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
// Schindelhauer and Schomaker 2005): a key moves only to a pool that has gained weight or
// from one that has lost it.
func (r *Route) choose(q *Request) int {
	if len(r.Pools) == 1 {
		return 0
	}
	key, ok := r.Stable.Value(q)
	if !ok {
		// Hosts of one pool drop no repeats of another's: a client's retries of one key stay
		// in the pool of the first try, whatever splits the rest.
		if v := q.Header[idempotencyKey]; len(v) > 0 && v[0] != "" {
			key, ok = v[0], true
		}
	}
	if ok {
		best, at := math.Inf(-1), 0
		for i, w := range r.Pools {
			if w.Weight == 0 {
				continue
			}
			// From (0, 1), so that the logarithm is finite and below 0.
			u := (float64(hash(key, w.Pool)>>11) + 0.5) / (1 << 53)
			if score := float64(w.Weight) / -math.Log(u); score > best {
				best, at = score, i
			}
		}
		return at
	}
	total := 0
	for _, w := range r.Pools {
		total += w.Weight
	}
	n := int(q.Random % uint64(total))
	for i, w := range r.Pools {
		if n < w.Weight {
			return i
		}
		n -= w.Weight
	}
	return 0
}

const idempotencyKey = "Idempotency-Key"

// Value is what a request has there; false: nothing.
func (k *Key) Value(q *Request) (string, bool) {
	switch {
	case k.Header != "":
		v := q.Header[canonical(k.Header)]
		if len(v) == 0 {
			return "", false
		}
		return v[0], true
	case k.Query != "":
		return param(q.Query, k.Query)
	}
	return "", false
}

// hash mixes a key and a pool's name; FNV alone leaves names that differ in their last
// letter close together.
func hash(key, pool string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(pool))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// rewrite makes the path that goes on. What comes out must be a path in normal form and
// free of what can be read in several ways, whatever the captures held.
func (e *entry) rewrite(path string) (string, error) {
	w := &e.Rewrite
	out := path
	switch {
	case w.Strip != "":
		out = path[len(w.Strip):]
	case w.Replace != "" && e.Path.Kind == Starts:
		// Byte by byte: what comes out may hold empty segments, as the route says.
		out = w.Replace + path[len(e.path):]
		normal, odd, err := encodings(out)
		if err != nil || odd&oddDots != 0 {
			return "", ErrRewrite
		}
		return normal, nil
	case w.Replace != "" && e.Path.Kind == Exact:
		out = w.Replace
	case w.Replace != "":
		out = path[len(e.path):]
		if w.Replace != "/" {
			out = w.Replace + out
		}
	case w.Expr != nil:
		out = w.Expr.ReplaceAllString(path, w.Sub)
	}
	if out == "" {
		out = "/"
	}
	normal, odd, err := encodings(out)
	if err != nil || odd&(oddDots|oddEmpty) != 0 {
		return "", ErrRewrite
	}
	return normal, nil
}
