package fairqueue

import (
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// tiredPeer is a peer that has used all that is kept.
func tiredPeer(q *Queue) *Peer {
	p := q.NewPeer(ClientDebt)
	p.used = ClientDebt
	return p
}

func oneTurn() int { return 1 }

// spin keeps the processor busy.
func spin(d time.Duration) {
	for from := time.Now(); time.Since(from) < d; {
	}
}

// A round trip over a socket takes no longer beside a hundred peers that work without end than beside few.
func TestReadySocketsGoAheadOfTurns(t *testing.T) {
	const most = 100 * time.Millisecond // a third of a short deadline; each of them used to take 10 ms a step
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	near, far := socketPair(t)
	go func() {
		b := make([]byte, 1)
		for {
			if _, err := far.Read(b); err != nil {
				return
			}
			far.Write(b)
		}
	}()
	q := New(oneTurn)
	over := make(chan struct{})
	var all sync.WaitGroup
	defer all.Wait()
	defer close(over)
	for range 100 {
		all.Go(func() {
			p := q.NewPeer(ClientDebt)
			defer p.Leave()
			for {
				select {
				case <-over:
					return
				default:
					p.Work()
					spin(20 * time.Microsecond)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // each has used its burst
	worst := time.Duration(0)
	for range 50 {
		from := time.Now()
		b := []byte{1}
		near.Write(b)
		near.Read(b)
		worst = max(worst, time.Since(from))
	}
	if worst > most {
		t.Errorf("a round trip took %v, more than %v", worst, most)
	}
	if s := q.Stats(); s.Waits == 0 || q.TakeLongest() == 0 {
		t.Errorf("no turn was waited for: %+v", s)
	}
}

// socketPair is the two ends of a connection over loopback.
func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// done says whether f returns within a second.
func done(f func()) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	select {
	case <-ended:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// A holder that is held up by its peer, and does not say so, keeps its turn from others for a moment only.
func TestTurnOfABlockedHolderExpires(t *testing.T) {
	q := New(oneTurn)
	tiredPeer(q).Work()
	if !done(func() { tiredPeer(q).Work() }) {
		t.Error("the next turn does not begin")
	}
}

// A peer that waits gives its turn on at once, and one that has left waits for none.
func TestTurnsPassOnAndLeaversGoOn(t *testing.T) {
	q := New(oneTurn)
	first, second := tiredPeer(q), tiredPeer(q)
	first.Work()
	first.Wait()
	if len(q.holders) != 0 {
		t.Error("a peer that waits has a turn")
	}
	q.running = 1 // none begins
	go func() {
		time.Sleep(10 * time.Millisecond)
		second.Leave()
	}()
	for range 2 { // while it leaves, and behind that
		if !done(func() { second.Work() }) {
			t.Error("a peer that has left waits for a turn")
		}
	}
	if q.waiters() != 0 {
		t.Errorf("%d wait", q.waiters())
	}
}

// turnsOf has peers ask for turns one after another while none begins, and returns them in the order of their turns.
func turnsOf(q *Queue, peers ...*Peer) (order []*Peer) {
	var mu sync.Mutex
	var all sync.WaitGroup
	q.mu.Lock()
	q.running, q.armed = 1, true
	q.mu.Unlock()
	for i, p := range peers {
		all.Go(func() {
			p.Work()
			mu.Lock()
			order = append(order, p)
			mu.Unlock()
			p.Wait()
		})
		for q.Stats().Waiting <= i {
			time.Sleep(time.Millisecond)
		}
	}
	q.mu.Lock()
	q.running, q.armed = 0, false
	q.grant(time.Now())
	q.mu.Unlock()
	all.Wait()
	return order
}

// A peer that waits within its turn goes on with the rest of it ahead of peers that have used as much, and so does one that is owed an answer.
func TestTurnGoesOnBehindAWait(t *testing.T) {
	for _, owed := range []bool{false, true} {
		q := New(oneTurn)
		other, p := tiredPeer(q), tiredPeer(q)
		if p.left = turn / 2; owed {
			p.left = 0
			p.Owe(true)
		}
		if order := turnsOf(q, other, p); !slices.Equal(order, []*Peer{p, other}) {
			t.Errorf("owed %v: it goes behind the other", owed)
		}
	}
	q := New(oneTurn)
	p := tiredPeer(q)
	p.Work()
	if !p.Holds() {
		t.Error("no turn is held")
	}
}

// Peers that have used little go ahead of those that have used much, and both in the order in which they came.
func TestHeavyPeersGoBehindOthers(t *testing.T) {
	q := New(oneTurn)
	light := func() *Peer {
		p := q.NewPeer(ClientDebt)
		p.used = 2 * burst
		return p
	}
	peers := []*Peer{tiredPeer(q), light(), tiredPeer(q), light()}
	if order := turnsOf(q, peers...); !slices.Equal(order, []*Peer{peers[1], peers[3], peers[0], peers[2]}) {
		t.Errorf("the turns were %v", order)
	}
}

// A peer that has used much has a turn after a few of others, however many of these wait.
func TestHeavyPeersAreNotStarved(t *testing.T) {
	q := New(oneTurn)
	heavyOne := &waiter{}
	q.last = append(q.last, heavyOne)
	for range 100 {
		q.waiting = append(q.waiting, &waiter{})
	}
	for turns := 1; q.next() != heavyOne; turns++ {
		if turns > mostAhead {
			t.Fatalf("no turn within %d", turns)
		}
	}
}

// What a peer has used is forgotten as it leaves the process alone, and a peer without a queue is never held up.
func TestUseIsForgotten(t *testing.T) {
	q := New(oneTurn)
	p := tiredPeer(q)
	now := p.since
	p.account(now.Add(time.Second))
	if want := ClientDebt - 10*time.Millisecond; p.used < want-time.Microsecond || p.used > want+time.Microsecond {
		t.Errorf("%v are kept behind a second, not %v", p.used, want)
	}
	var none *Peer
	none.Work()
	none.Resume()
	none.Wait()
	none.Owe(true)
	if none.Holds() {
		t.Error("a turn of no queue")
	}
	none.Leave()
}
