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

func newContacts(seeds ...string) *Contacts {
	return New("dc0", seeds, rand.New(rand.NewPCG(1, 2)))
}

func knowsNone(string) bool { return false }

// listAll lists hosts in five data centres.
func listAll(contacts *Contacts, hosts int) {
	for i := range hosts {
		contacts.AddListed(fmt.Sprint("h", i), fmt.Sprint("dc", i%5), fmt.Sprint("addr", i), false)
	}
}

// Regardless of how many hosts are listed at a start, at most maxCallsPerRound are called
// at a time, and a complete set is requested only from the first of them and at intervals.
func TestFewHostsAreCalledAtATime(t *testing.T) {
	contacts := newContacts()
	listAll(contacts, 354)
	calls, fullPulls := 0, 0
	for at := time.Duration(0); at < time.Second; at += 50 * time.Millisecond {
		due := contacts.NextCalls(start.Add(at), knowsNone, false)
		assert.Assert(t, len(due) <= maxCallsPerRound)
		for i, c := range due {
			calls++
			if c.Full {
				fullPulls++
				assert.Equal(t, i, 0)
			}
		}
	}
	rounds := 1 + int(time.Second/roundInterval)
	assert.Assert(t, calls <= maxCallsPerRound*rounds, "%d calls in a second", calls)
	assert.Equal(t, fullPulls, 2, "at once, and after the minimum interval")
}

// Every listed host that stays unknown is called eventually, so that no two parts of a
// fleet stay separated, and at most maxCallsPerHost times.
func TestEveryCandidateIsCalledUntilItIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contacts := newContacts()
		hosts := rapid.IntRange(1, 60).Draw(t, "hosts")
		listAll(contacts, hosts)
		known := make(map[string]bool)
		called := make(map[string]int)
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			for _, c := range contacts.NextCalls(start.Add(at), func(h string) bool { return known[h] }, false) {
				assert.Assert(t, !known[c.Host], "%s was known", c.Host)
				called[c.Host]++
				known[c.Host] = rapid.IntRange(0, 2).Draw(t, "answers") == 0
			}
		}
		for i := range hosts {
			n := called[fmt.Sprint("h", i)]
			assert.Assert(t, n >= 1 && n <= maxCallsPerHost, "h%d was called %d times", i, n)
		}
		assert.Equal(t, contacts.CandidateCount(), 0)
	})
}

// A host that knows no other host requests complete sets from the hosts it hears of;
// seeds are called only if there are no candidates.
func TestHostWithoutPeersPullsCompleteSets(t *testing.T) {
	contacts := newContacts("seed1", "seed2", "seed1")
	due := contacts.NextCalls(start, knowsNone, true)
	assert.DeepEqual(t, due, []Call{{Addr: "seed1", Full: true}, {Addr: "seed2", Full: true}})
	assert.Equal(t, len(contacts.NextCalls(start.Add(roundInterval), knowsNone, true)), 0)

	contacts.AddProber("h1", "addr1")
	due = contacts.NextCalls(start.Add(2*roundInterval), knowsNone, true)
	assert.DeepEqual(t, due, []Call{{Addr: "addr1", Host: "h1", Full: true}})
	assert.Equal(t, len(contacts.NextCalls(start.Add(callInterval+2*roundInterval), func(string) bool { return true }, false)), 0)
}

// AllReached returns true once, and never while no other host is known.
func TestAllReachedIsReportedOnce(t *testing.T) {
	contacts := newContacts()
	contacts.AddListed("h1", "dc0", "addr1", false)
	knowsAll := func(string) bool { return true }
	assert.Assert(t, !contacts.AllReached(knowsAll, false), "no host was called")
	contacts.NextCalls(start, knowsNone, true)
	assert.Assert(t, !contacts.AllReached(knowsNone, false))
	assert.Assert(t, !contacts.AllReached(knowsAll, true))
	assert.Assert(t, contacts.AllReached(knowsAll, false))
	assert.Assert(t, !contacts.AllReached(knowsAll, false))
}
