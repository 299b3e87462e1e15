package contact

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newBook(seeds ...string) *Contacts {
	return New("dc0", seeds, rand.New(rand.NewPCG(1, 2)))
}

func nobody(string) bool { return false }

// listAll names some hosts of five data centres.
func listAll(b *Contacts, hosts int) {
	for i := range hosts {
		b.AddListed(fmt.Sprint("h", i), fmt.Sprint("dc", i%5), fmt.Sprint("addr", i), false)
	}
}

// However many hosts a start finds listed, it calls few at a time, one of its own
// data centre first, and asks one host now and then for all that it knows.
func TestAFewAreCalledAtATime(t *testing.T) {
	b := newBook()
	listAll(b, 354)
	calls, whole := 0, 0
	for at := time.Duration(0); at < time.Second; at += 50 * time.Millisecond {
		due := b.NextCalls(start.Add(at), nobody, false)
		assert.Assert(t, len(due) <= callsAtOnce)
		for i, c := range due {
			calls++
			if c.Full {
				whole++
				assert.Equal(t, i, 0)
			}
		}
	}
	rounds := 1 + int(time.Second/roundInterval)
	assert.Assert(t, calls <= callsAtOnce*rounds, "%d calls in a second", calls)
	assert.Equal(t, whole, 2, "at once, and after the shortest pause")
}

// Each host that is listed and stays unknown is called in the end, so that no two
// parts of a fleet stay apart, and no more often than it is tried.
func TestEveryStrangerIsCalledUntilItIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook()
		hosts := rapid.IntRange(1, 60).Draw(t, "hosts")
		listAll(b, hosts)
		known := make(map[string]bool)
		called := make(map[string]int)
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			for _, c := range b.NextCalls(start.Add(at), func(h string) bool { return known[h] }, false) {
				assert.Assert(t, !known[c.Host], "%s was known", c.Host)
				called[c.Host]++
				known[c.Host] = rapid.IntRange(0, 2).Draw(t, "answers") == 0
			}
		}
		for i := range hosts {
			n := called[fmt.Sprint("h", i)]
			assert.Assert(t, n >= 1 && n <= maxTries, "h%d was called %d times", i, n)
		}
		assert.Equal(t, b.Candidates(), 0)
	})
}

// A host that knows nobody asks whoever it hears of for all hosts; seeds are called
// only where nobody else is heard of.
func TestAHostAloneAsksForEverybody(t *testing.T) {
	b := newBook("seed1", "seed2", "seed1")
	due := b.NextCalls(start, nobody, true)
	assert.DeepEqual(t, due, []Call{{Addr: "seed1", Full: true}, {Addr: "seed2", Full: true}})
	assert.Equal(t, len(b.NextCalls(start.Add(roundInterval), nobody, true)), 0)

	b.AddProber("h1", "addr1")
	due = b.NextCalls(start.Add(2*roundInterval), nobody, true)
	assert.DeepEqual(t, due, []Call{{Addr: "addr1", Host: "h1", Full: true}})
	assert.Equal(t, len(b.NextCalls(start.Add(callAgain+2*roundInterval), func(string) bool { return true }, false)), 0)
}

// That the hosts called are known now is told once, and not while nobody is known.
func TestAMeetingIsToldOnce(t *testing.T) {
	b := newBook()
	b.AddListed("h1", "dc0", "addr1", false)
	everybody := func(string) bool { return true }
	assert.Assert(t, !b.AllReached(everybody, false), "nobody was called")
	b.NextCalls(start, nobody, true)
	assert.Assert(t, !b.AllReached(nobody, false))
	assert.Assert(t, !b.AllReached(everybody, true))
	assert.Assert(t, b.AllReached(everybody, false))
	assert.Assert(t, !b.AllReached(everybody, false))
}
