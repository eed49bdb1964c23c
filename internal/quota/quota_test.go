package quota

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pair is two books with nothing between them but what a test hands over.
func pair(mode Mode) (a, b *Store, now Time) {
	now = Time(time.Hour)
	mk := func(self, other string) *Store {
		k := NewStore(now, Config{Self: self, Boot: 1, Lease: time.Second, Typed: 2})
		k.Right(Limit{"l", 100, mode})
		k.View(now, []string{other}, 2)
		return k
	}
	return mk("a", "b"), mk("b", "a"), now + Time(2*time.Second)
}

// exchange lets two books talk for so many looks, a fortieth of a lease apart.
func exchange(a, b *Store, now Time, wantA, wantB float64, rounds int) Time {
	for range rounds {
		now += Time(time.Second) / hurryParts
		a.Right(Limit{"l", 100, NeverOver}).Ask(wantA / hurryParts)
		b.Right(Limit{"l", 100, NeverOver}).Ask(wantB / hurryParts)
		send(a, b, now, a.Tick(now))
		send(b, a, now, b.Tick(now))
	}
	return now
}

// send delivers packets and what they lead to.
func send(from, to *Store, now Time, list []Packet) {
	for _, p := range list {
		send(to, from, now, to.Take(now, p.Data))
	}
}

// What was granted ends by the clock of who has it, in the nanosecond in which it does, looked at
// or not; what was lent is used again only later than its owner counts on it.
func TestAGrantEndsAsItIsUsed(t *testing.T) {
	a, b, now := pair(NeverOver)
	now = exchange(a, b, now, 90, 4, 400)
	l := Limit{"l", 100, NeverOver}
	ra := a.Right(l)
	if got := ra.Value(now); got < 85 {
		t.Fatalf("%.2f of what was wanted is here", got)
	}
	end := ra.held.Load().until
	before, after := ra.Value(end-1), ra.Value(end)
	if before < 85 || math.Abs(after-50) > 1 {
		t.Errorf("%.2f in the last instant of the grant, %.2f at its end", before, after)
	}
	// Nobody has looked since: the other's part is lent until well behind that.
	last := Time(0)
	var p *play
	for _, p = range b.played {
		for _, q := range p.loans {
			last = max(last, q.until)
		}
	}
	if last <= end+Time(400*time.Millisecond) {
		t.Errorf("lent until %v, granted until %v", last, end)
	}
	b.tick(last - 1)
	held := b.kept(p)
	if b.tick(last); held > 10 || b.kept(p) < 100*b.part(NeverOver) {
		t.Errorf("%.2f kept while lent, %.2f behind that", held, b.kept(p))
	}
}

// A gateway that took another for lost, and itself for the owner no more, goes on knowing what it
// has granted.
func TestAnOwnerDoesNotForgetWhatIsOut(t *testing.T) {
	a, b, now := pair(NeverOver)
	now = exchange(a, b, now, 90, 4, 400)
	owner, other := a, b
	if len(a.owned) == 0 {
		owner, other = b, a
	}
	account := owner.owned[owner.Right(Limit{"l", 100, NeverOver}).id]
	granted, _, _ := account.figures(now)
	if granted < 30 {
		t.Fatalf("%.2f granted", granted)
	}
	// A third member that outweighs it shares the limit out too, for a moment.
	id := owner.Right(Limit{"l", 100, NeverOver}).id
	third := ""
	for i := 0; third == ""; i++ {
		if name := fmt.Sprint("c", i); outweighs(id, name, owner.cfg.Self) {
			third = name
		}
	}
	owner.View(now, []string{other.cfg.Self, third}, 2)
	now += Time(100 * time.Millisecond)
	owner.Take(now, (&message{kind: kindPoll, from: peer{third, 1}, at: 1, entries: []entry{{id: id}}}).encode())
	if owner.owner(id) != third {
		t.Fatal("it has not given way")
	}
	for range 4 {
		now += Time(25 * time.Millisecond)
		owner.Tick(now)
	}
	owner.View(now, []string{other.cfg.Self}, 2)
	if a := owner.owned[owner.Right(Limit{"l", 100, NeverOver}).id]; a == nil {
		t.Fatal("it has forgotten the limit")
	} else if still, _, _ := a.figures(now); still < granted-1 {
		t.Errorf("%.2f of %.2f granted is known", still, granted)
	}
}

// A loan that is lowered holds to its end, whatever is lent in between; and who counts on it
// counts on no more than the one who made it is bound to.
func TestLoans(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bound, counted loans
		var all []loan
		now := Time(time.Hour)
		for range rapid.IntRange(1, 80).Draw(rt, "loans") {
			now += Time(rapid.IntRange(0, 300).Draw(rt, "later"))
			amount := float64(rapid.IntRange(0, 40).Draw(rt, "amount"))
			bound.add(now, amount, now+1000, true)
			counted.add(now, amount, now+990, false)
			all = append(all, loan{amount, now + 1000})
			for _, at := range []Time{now, now + 300, now + 980} {
				most := 0.0
				for _, m := range all {
					if at < m.until {
						most = max(most, m.amount)
					}
				}
				if b, c := bound.at(at), counted.at(at); b < most || c > b || len(bound) > mostLoans || len(counted) > mostLoans {
					rt.Fatalf("at %v bound to %v and counted as %v, in %d and %d steps, want %v", at, b, c, len(bound), len(counted), most)
				}
				if len(all) < mostLoans && bound.at(at) != most {
					rt.Fatalf("at %v bound to %v, want %v", at, bound.at(at), most)
				}
			}
		}
	})
}

// What is said is read as it was said, and a reader of bytes that mean nothing says so.
func TestPackets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := message{kind: kindPoll, from: peer{rapid.StringN(1, 16, 64).Draw(rt, "name"), rapid.Uint64().Draw(rt, "boot")},
			at: Time(rapid.Int64Range(1, int64(mostTime)).Draw(rt, "at")), echoBoot: rapid.Uint64().Draw(rt, "echo boot"), echo: Time(rapid.Int64Range(0, int64(mostTime)).Draw(rt, "echo"))}
		for range rapid.IntRange(0, mostEntries).Draw(rt, "entries") {
			m.entries = append(m.entries, entry{rapid.Uint64().Draw(rt, "id"), rapid.Float64Range(0, mostAmount).Draw(rt, "a"), rapid.Float64Range(0, mostAmount).Draw(rt, "b")})
		}
		data := m.encode()
		var got message
		if !got.decode(data) || !bytes.Equal(got.encode(), data) {
			rt.Fatalf("%+v was read as %+v", m, got)
		}
		if len(data) > 1300 {
			rt.Fatalf("%d bytes", len(data))
		}
		if cut := rapid.IntRange(0, len(data)-1).Draw(rt, "cut"); got.decode(data[:cut]) {
			rt.Fatalf("the first %d of %d bytes were read", cut, len(data))
		}
	})
}

// Whatever comes, nothing panics, what is in force stays within the even part and a grant, and
// what is kept stays bounded.
func FuzzTake(f *testing.F) {
	ok := message{kind: kindReply, from: peer{"b", 1}, at: 5, entries: []entry{{1, 2, 3}}}
	f.Add(ok.encode(), byte(0))
	f.Add([]byte{packetVersion, kindPoll, 1, 'b'}, byte(3))
	f.Fuzz(func(t *testing.T, data []byte, turn byte) {
		a, _, now := pair(MostlyFull)
		r := a.Right(Limit{"l", 100, MostlyFull})
		if len(data) > 40 { // lead it to a limit that exists
			binary.BigEndian.PutUint64(data[len(data)-24:], r.id)
		}
		for range turn % 8 {
			now += Time(50 * time.Millisecond)
			a.Take(now, data)
			r.Ask(10)
			a.Tick(now)
		}
		if v := r.Value(now); !(v >= 0 && v <= mostAmount+100) {
			t.Fatalf("%v in force", v)
		}
	})
}

func BenchmarkRight(b *testing.B) {
	a, _, now := pair(MostlyFull)
	b.Run("even", func(b *testing.B) {
		r := a.Right(Limit{"even", 100, MostlyFull})
		for b.Loop() {
			r.Ask(0.01)
			r.Part(now)
		}
	})
	b.Run("shared", func(b *testing.B) {
		r := a.Right(Limit{"l", 100, MostlyFull})
		r.held.Store(&held{1, 1, now + 1})
		for b.Loop() {
			r.Ask(0.01)
			r.Part(now)
		}
	})
}
