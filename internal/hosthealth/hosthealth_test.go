package hosthealth

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	lasts = 3 * time.Second
	span  = spanLasts * lasts
)

// A host that dies is held down by all once three have been refused and word of it has come, with a
// tenth of packets lost as well; nobody holds another down, and it is forgotten when it answers again.
func TestADeadHostIsKnownToAll(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		f := newFleet(seed, 60, 40)
		all := 60
		if f.avoids = true; seed%2 == 0 {
			f.loss, all = 0.1, 48 // the rest have it with the next word
		}
		f.run(4*time.Second, 3, nil)
		f.meets = func(_, h int) Outcome {
			if h == 5 {
				return Refused
			}
			return Answered
		}
		began, known := f.now, time.Duration(0)
		f.run(2*time.Second, 3, func() {
			if _, down := f.doubts(5, 0); down >= all && known == 0 {
				known = f.now - began
			}
		})
		// It is asked 4.5 times a second: three refusals take 0.7 s in the mean, and two looks follow.
		if known == 0 {
			_, down := f.doubts(5, 0)
			t.Errorf("seed %d: %d of 60 held it down within 2 s, with %d attempts refused", seed, down, f.bad)
		}
		if f.bad > 16 {
			t.Errorf("seed %d: %d attempts were refused until all knew", seed, f.bad)
		}
		for h := range 40 {
			if most, down := f.doubts(h, 0); h != 5 && (down > 0 || most > 0) {
				t.Errorf("seed %d: %d hold host %d down, doubt %.2f", seed, down, h, most)
			}
		}
		f.meets, f.avoids = nil, false // trials, which are the balancer's, find it back
		f.run(2*lasts, 3, nil)
		if most, down := f.doubts(5, 0); down > 0 || most > 0.25 {
			t.Errorf("seed %d: it is back, and %d hold it down, doubt %.2f", seed, down, most)
		}
	}
}

// A host that fails one in five is doubted whole by what all met together, before one alone could
// know; one of which one class fails is not, and no host in order is.
func TestADoubtIsPooled(t *testing.T) {
	f := newFleet(1, 60, 20)
	fails := 0.2
	f.meets = func(g, h int) Outcome {
		switch {
		case h == 5 && f.r.Float64() < fails, h == 6 && g%Classes == 1, f.r.Float64() < 0.01:
			return Erred
		}
		return Answered
	}
	worst := 0.0
	f.run(20*time.Second, 3, func() {
		for h := range 20 {
			if most, _ := f.doubts(h, 0); h != 5 {
				worst = max(worst, most)
			}
		}
	})
	doubting := 0
	for g := range f.books {
		if v := f.verdicts[g][5]; v.Doubt > 0.7 && f.now < v.Until {
			doubting++
		}
	}
	if doubting < 45 {
		t.Errorf("%d of 60 doubt a host that fails one in five", doubting)
	}
	if worst > 0.9 {
		t.Errorf("a host in order, or one that fails one class, was doubted by %.2f", worst)
	}
}

// A fifth of all who warn of every host, without end or by turns, take none down nor make a whole doubt,
// and as many who praise a dead host do not hide it.
func TestLiars(t *testing.T) {
	for _, k := range []int{2, 4} { // of 20
		f := newFleet(uint64(k), 20, 8)
		f.lies = func(g int, p Packet) []Packet {
			if g >= k {
				return []Packet{p}
			}
			return nil
		}
		warn := func(o Outcome) {
			for g := range k {
				m := message{from: f.names[g]}
				for h := range f.hosts {
					r := report{host: HostID(h), started: 7}
					if r.tally.last = o; o == Refused {
						r.tally.bad[0] = 100
					} else {
						r.tally.good[0] = 100
					}
					m.reports = append(m.reports, r)
				}
				for to := k; to < len(f.books); to++ {
					f.books[to].Take(f.now, m.encode())
				}
			}
		}
		worst := 0.0
		mostDown := 0
		f.run(10*time.Second, 6, func() {
			if warn([]Outcome{Refused, Refused, Answered}[int(f.now/(200*ms))%3]); f.now < 4*time.Second {
				return
			}
			for h := range f.hosts {
				most, down := f.doubts(h, k)
				worst, mostDown = max(worst, most), max(mostDown, down)
			}
		})
		if mostDown > 0 || worst >= 1 {
			t.Errorf("%d liars: a doubt of %.2f, %d hold a host down", k, worst, mostDown)
		}
		f.meets = func(_, h int) Outcome {
			if h == 3 {
				return Refused
			}
			return Answered
		}
		f.run(6*time.Second, 6, func() { warn(Answered) })
		if most, _ := f.doubts(3, k); most < 0.9 {
			t.Errorf("%d praise a dead host: a doubt of %.2f", k, most)
		}
	}
}

// What had no answer counts, but not where another had one meanwhile.
func TestSilenceIsNotACrowd(t *testing.T) {
	b := New(Config{Self: "a", Lasts: lasts})
	b.List(0, map[HostID]int64{1: 7})
	b.Saw(time.Second, 1, 0, Broke, 900*ms)
	if b.hosts[1].own.bad[0] != 1 {
		t.Error("a silent host is not noted")
	}
	b.Saw(2*time.Second, 1, 0, Answered, 100*ms)
	b.Saw(2500*ms, 1, 0, Broke, time.Second)
	if o := b.hosts[1].own; o.bad[0] > 1 || o.last != Answered {
		t.Errorf("one of two had an answer: %+v", o)
	}
	b.Saw(4*time.Second, 1, 0, Broke, 900*ms)
	if o := b.hosts[1].own; o.last != Broke {
		t.Errorf("nothing was answered since: %+v", o)
	}
}

// Two try a host that is down for all, and the others once each within some time; once two were answered
// after the last refusal nobody holds it down, and some who lie that it is can't keep it from anybody for longer than that time.
func TestTrialsAreShared(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFleet(seed, 60, 10)
		f.avoids, f.tries = true, true
		f.meets = func(_, h int) Outcome {
			if h == 5 {
				return Refused
			}
			return Answered
		}
		f.run(3*time.Second, 3, nil)
		met := f.bad
		f.run(17*time.Second, 3, nil)
		// Each of 60 that has not met it does so once, and two go on at 0.3 attempts a second each. All together
		// would meet it 300 times, and then 180 times.
		if tried := f.bad - met; tried > 60+2*10 {
			t.Errorf("seed %d: %d refused within 17 s", seed, tried)
		}
		met = f.bad
		f.run(10*time.Second, 3, nil)
		if tried := f.bad - met; tried > 48 { // the two, and each of the others once in 12 to 48 s
			t.Errorf("seed %d: %d more refused within 10 s, when all have met it", seed, tried)
		}
		f.meets = nil
		back := f.now
		f.run(span, 3, func() {
			if _, down := f.doubts(5, 0); down > 6 {
				back = f.now
			}
		})
		if took := f.now - back; took < lasts {
			t.Errorf("seed %d: it is held down until %v after its return", seed, span-took)
		}
	}
	const k = 4 // of 20 say without end that they are refused
	f := newFleet(1, 20, 40)
	f.avoids, f.tries = true, true
	held, all := 0, 0
	f.run(3*time.Minute, 1, func() {
		for g := range k {
			m := message{from: f.names[g], reports: []report{{host: 5, started: 7}}}
			m.reports[0].tally.last, m.reports[0].tally.bad[0] = Refused, 100
			for to := k; to < len(f.books); to++ {
				f.books[to].Take(f.now, m.encode())
			}
		}
		for g := k; g < len(f.books); g++ {
			all++
			if v := f.verdicts[g][5]; v.Down && v.Wait && f.now < v.Until {
				held++
			}
		}
	})
	if part := float64(held) / float64(all); part > 0.25 {
		t.Errorf("%d liars of 20 keep a host from %.2f of the others at a time", k, part)
	}
}

// A zone that can't reach some hosts holds them down by its own word, though two in three of all are answered there, and
// the others go on; where a zone has too few, all judge together. After the cut nobody holds anything.
func TestZonesJudgeForThemselves(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		f := newZones(seed, 30, 10, 3)
		f.avoids, f.tries = true, true
		f.meets = func(g, h int) Outcome {
			if g%3 == 1 && h < 5 {
				return Refused
			}
			return Answered
		}
		far := 0
		f.run(8*time.Second, 3, func() {
			for g := range f.books {
				for h := range f.hosts {
					if v := f.verdicts[g][HostID(h)]; v.Down && f.now < v.Until && (g%3 != 1 || h >= 5) {
						far++
					}
				}
			}
		})
		near := 0
		for g := 1; g < 30; g += 3 {
			for h := range 5 {
				if v := f.verdicts[g][HostID(h)]; v.Down && f.now < v.Until {
					near++
				}
			}
		}
		if far > 0 || near < 40 {
			t.Errorf("seed %d: %d of 50 are held down in the zone that is cut off, elsewhere %d times", seed, near, far)
		}
		f.meets = nil
		f.run(span+2*lasts, 3, nil)
		for h := range f.hosts {
			if _, down := f.doubts(h, 0); down > 0 {
				t.Errorf("seed %d: %d hold host %d down after the cut", seed, down, h)
			}
		}
	}
	f := newZones(1, 6, 4, 3) // two in a zone prove nothing alone
	f.avoids = true
	f.meets = func(_, h int) Outcome {
		if h == 1 {
			return Refused
		}
		return Answered
	}
	f.run(4*time.Second, 6, nil)
	if _, down := f.doubts(1, 0); down < 6 {
		t.Errorf("%d of 6 in three zones hold a dead host down", down)
	}
}

// A host that half of the gateways can't reach is down for those and not for the rest; a gateway whose
// own link is bad says nothing, and the others hold nothing against hosts.
func TestWhoCanReachIt(t *testing.T) {
	f := newFleet(4, 20, 4)
	f.meets = func(g, h int) Outcome {
		if g < 10 && h < 2 {
			return Refused
		}
		return Answered
	}
	f.run(10*time.Second, 8, func() {
		for g := 10; g < 20; g++ {
			if v := f.verdicts[g][0]; v.Doubt > 0.5 && f.now < v.Until && f.now > 5*time.Second {
				t.Fatalf("one that reaches the host doubts it by %.2f", v.Doubt)
			}
		}
	})
	f = newFleet(5, 20, 8)
	f.meets = func(g, _ int) Outcome {
		if g == 0 && f.r.Float64() < 0.7 {
			return Broke
		}
		return Answered
	}
	odd := false
	f.run(10*time.Second, 8, func() { odd = odd || f.books[0].Odd() })
	if !odd {
		t.Error("a gateway whose link is bad does not doubt itself")
	}
	for h := range 8 {
		if most, down := f.doubts(h, 1); most > 0.4 || down > 0 {
			t.Errorf("one bad link made a doubt of %.2f of host %d, %d hold it down", most, h, down)
		}
	}
}

// What is said ends by its age, and is worth nothing about another start of a host, one that is not
// listed, or by one who is not a member.
func TestWhatIsSaidEnds(t *testing.T) {
	b := New(Config{Self: "me", Lasts: lasts})
	b.View(named("a", "b", "c"))
	b.List(0, map[HostID]int64{1: 7})
	say := func(from string, host HostID, started int64, age time.Duration) {
		m := message{from: from, reports: []report{{host: host, started: started, age: age, tally: tally{bad: [1 + Classes]float64{9}, last: Refused}}}}
		b.Take(max(time.Second, b.now), m.encode())
	}
	held := func(at Time) Verdict {
		b.Tick(at)
		return b.hosts[1].verdict
	}
	for _, from := range []string{"a", "b", "stranger", "me"} {
		say(from, 1, 7, 0)
	}
	say("c", 1, 6, 0)
	say("c", 2, 7, 0)
	say("c", 1, 7, spanLasts*lasts)
	if v := held(time.Second); v.Down || v.Reporters != 2 {
		t.Errorf("%+v", v)
	}
	say("c", 1, 7, lasts/2)
	if v := held(time.Second); !v.Down || v.Doubt != 1 {
		t.Errorf("three were refused: %+v", v)
	}
	if v := held(time.Second + spanLasts*lasts - lasts/2); v.Down || v.Doubt > 0.7 || v.Reporters != 2 {
		t.Errorf("one word has ended: %+v", v)
	}
	if v := held(time.Second + spanLasts*lasts); v.Doubt > 0 || v.Reporters != 0 {
		t.Errorf("all have: %+v", v)
	}
	say("a", 1, 7, 0)
	b.List(20*time.Second, map[HostID]int64{1: 8})
	if v := held(20 * time.Second); v.Reporters != 0 {
		t.Errorf("another start: %+v", v)
	}
}

// Whatever is said in whatever order, often or late: the same words make the same verdict, and
// everything stays within its bounds.
func TestWordsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words [][]byte
		for n := range rapid.IntRange(1, 8).Draw(t, "words") {
			m := message{from: string(rune('a' + n%4))}
			for h := range rapid.IntRange(1, 3).Draw(t, "hosts") {
				r := report{host: HostID(h), started: 7, age: time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * ms}
				r.tally.last = rapid.SampledFrom([]Outcome{Answered, Refused, Broke}).Draw(t, "last")
				for i := range r.tally.good {
					r.tally.good[i], r.tally.bad[i] = float64(rapid.IntRange(0, 20).Draw(t, "good")), float64(rapid.IntRange(0, 20).Draw(t, "bad"))
				}
				m.reports = append(m.reports, r)
			}
			words = append(words, m.encode())
		}
		play := func(order []int) []Verdict {
			b := New(Config{Self: "me", Lasts: lasts})
			b.View(named("a", "b", "c", "d"))
			b.List(0, map[HostID]int64{0: 7, 1: 7, 2: 7})
			for _, i := range order {
				b.Take(10*time.Second, words[i])
				b.Take(10*time.Second, words[i])
			}
			_, changed := b.Tick(10 * time.Second)
			for _, v := range changed {
				if !(v.Doubt >= 0 && v.Doubt <= 1) || v.Until > 10*time.Second+lasts || v.Reporters > 4 {
					t.Fatalf("%+v", v)
				}
			}
			return changed
		}
		order := rapid.Permutation(seq(len(words))).Draw(t, "order")
		// Of two words of one reporter about one host the later counts: order them so.
		if x, y := play(seq(len(words))), play(order); len(words) <= 4 && !slices.Equal(x, y) {
			t.Fatalf("%v in one order, %v in another", x, y)
		}
	})
}

func FuzzPacket(f *testing.F) {
	m := message{from: "a", reports: []report{{host: 1, started: 2, age: time.Second, tally: tally{last: Refused}}}}
	f.Add(m.encode())
	f.Add([]byte{Mark, 1, 1, 1, 'a'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m, again message
		if !m.decode(data) {
			return
		}
		if len(m.reports) > mostTold || !again.decode(m.encode()) {
			t.Errorf("%+v came back as %+v", m, again)
		}
		b := New(Config{Self: "me"})
		b.View(named(m.from))
		b.List(0, map[HostID]int64{1: 2})
		b.Take(time.Second, data)
		b.Tick(time.Second)
	})
}
