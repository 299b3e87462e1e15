package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	v1, v2 = Software{"desk", "1"}, Software{"desk", "2"}
)

// add tells a book of an end at a second.
func add(b *Tracker, second int, s Software, prints ...Fingerprint) {
	at := start.Add(time.Duration(second) * time.Second)
	b.Add(at, Crash{ID: fmt.Sprint(second), Software: s, DetectedAt: at, Fingerprints: prints})
}

func verdictAt(b *Tracker, second int, p Fingerprint) Assessment {
	return b.Assess(start.Add(time.Duration(second) * time.Second))[p]
}

// A request that has part in one end after another is stopped at the third; those that
// ran beside it, each time others, are not, nor is one that ran beside it twice.
func TestRequestCommonToCrashesIsBlocked(t *testing.T) {
	b := NewTracker()
	add(b, 1, v1, 7, 10, 11, 12)
	add(b, 2, v1, 7, 10, 13)
	assert.Equal(t, verdictAt(b, 2, 7).Crashes, 2)
	suspect := verdictAt(b, 2, 7)
	assert.Assert(t, !suspect.Blocked(start.Add(2*time.Second), v1))
	add(b, 3, v1, 14, 7)
	v := verdictAt(b, 3, 7)
	now := start.Add(3 * time.Second)
	assert.Equal(t, v.Crashes, 3)
	assert.Assert(t, v.Blocked(now, v1) && v.Blocked(now, v2) && v.BlockedEverywhere(now))
	for _, innocent := range []Fingerprint{10, 11, 12, 13, 14} {
		assert.Equal(t, verdictAt(b, 3, innocent).Crashes, 0, "%d: the ends are explained", innocent)
	}
}

// What users would see: a request that many send is refused by all hosts for minutes,
// after one instance has ended.
//
// Order of events: the instance runs the request in each of its slots, and ends.
//
// Cause: each of these runs was counted as an end.
//
// Evidence: all hosts held four ends against the request after the first, which names it
// four times.
func TestCrashCountsOncePerRequest(t *testing.T) {
	b := NewTracker()
	add(b, 1, v1, 7, 7, 7, 10)
	assert.Equal(t, verdictAt(b, 1, 7).Crashes, 1)
	add(b, 2, v1, 7, 7)
	v := verdictAt(b, 2, 7)
	assert.Equal(t, v.Crashes, 2)
	assert.Assert(t, !v.BlockedEverywhere(start.Add(2*time.Second)))
}

// What users would see: a request that many send is refused by all hosts for minutes,
// after several instances were lost at once.
//
// Order of events: a service has just begun, and nobody has completed the request yet. The
// instances that run it lose their power together.
//
// Cause: each of these ends counted against it, though one cause explains them all.
//
// Evidence: four instances that ran a popular request were lost within two milliseconds
// before any had completed it; all hosts refused it, so that nothing could clear it.
func TestInstancesLostTogetherAreOneIncident(t *testing.T) {
	b := NewTracker()
	for n := range 7 {
		at := start.Add(time.Duration(n) * OneMoment / 6)
		b.Add(at, Crash{ID: fmt.Sprint("rack", n), Software: v1, DetectedAt: at, Fingerprints: []Fingerprint{7, Fingerprint(100 + n)}})
	}
	v := verdictAt(b, 1, 7)
	assert.Equal(t, v.Crashes, 7)
	assert.Equal(t, v.Incidents, 1)
	assert.Assert(t, !v.BlockedEverywhere(start.Add(time.Second)))
	add(b, 2, v1, 7)
	add(b, 3, v1, 7)
	v = verdictAt(b, 3, 7)
	assert.Equal(t, v.Incidents, 3)
	assert.Assert(t, v.BlockedEverywhere(start.Add(3*time.Second)), "the ends of other moments count")
}

// What users would see: a request that had ended three instances reaches others through a
// host that has just started.
//
// Order of events: two requests end instances together. The host that starts hears of the
// ends first from what is kept of one of them, which names that one alone, and then
// from the other hosts.
//
// Cause: an end that was known already was left as it was.
//
// Evidence: the property that hosts agree whatever the order, with ends told in parts.
func TestCrashReceivedInPartsIsComplete(t *testing.T) {
	b := NewTracker()
	for second := range 3 {
		add(b, second, v1, 7)
		add(b, second, v1, 7, 8, Fingerprint(100+second))
	}
	add(b, 3, v1, 8)
	now := start.Add(3 * time.Second)
	v := verdictAt(b, 3, 8)
	assert.Assert(t, v.BlockedEverywhere(now), "it had part in four ends")
	assert.Assert(t, !b.Add(now, Crash{ID: "0", Software: v1, DetectedAt: start, Fingerprints: []Fingerprint{8, 7}}), "nothing new")
}

// Two such requests at once are both found, also where they shared an end.
func TestTwoRequestsAtOnceAreBothStopped(t *testing.T) {
	b := NewTracker()
	for second := range 3 {
		add(b, 10+second, v1, 7, Fingerprint(100+second))
		add(b, 20+second, v1, 8, Fingerprint(200+second))
	}
	add(b, 30, v1, 7, 8)
	verdicts := b.Assess(start.Add(30 * time.Second))
	assert.Equal(t, verdicts[7].Crashes, 4)
	assert.Equal(t, verdicts[8].Crashes, 4, "the end that they shared counts for both")
	assert.Equal(t, len(verdicts), 2)
}

// A path that ran on every instance that ended, and completes elsewhere, is cleared:
// before it is stopped, and also after.
func TestACompletedRequestIsCleared(t *testing.T) {
	b := NewTracker()
	for second := range 3 {
		add(b, second, v1, 7, Fingerprint(100+second))
	}
	now := start.Add(3 * time.Second)
	v := verdictAt(b, 3, 7)
	assert.Assert(t, v.Blocked(now, v1))
	for _, e := range b.CrashesOf(7) {
		assert.Assert(t, b.Clear(now, e.ID, 7))
		assert.Assert(t, !b.Clear(now, e.ID, 7), "once is news")
	}
	assert.Equal(t, verdictAt(b, 3, 7).Crashes, 0)
	assert.Equal(t, len(b.CrashesOf(7)), 0)
}

// Software that it has not ended is tried after a while, that which it has ended later,
// and each further end makes that longer.
func TestAStoppedRequestIsTriedAgain(t *testing.T) {
	b := NewTracker()
	for second := range 3 {
		add(b, second, v1, 7)
	}
	v := verdictAt(b, 2, 7)
	last := start.Add(2 * time.Second)
	assert.Assert(t, v.Blocked(last.Add(newSoftwarePause-1), v2))
	assert.Assert(t, !v.Blocked(last.Add(newSoftwarePause), v2), "a new version may do better")
	assert.Assert(t, v.Blocked(last.Add(firstPause-1), v1))
	assert.Assert(t, !v.Blocked(last.Add(firstPause), v1))
	add(b, 400, v1, 7)
	v = verdictAt(b, 400, 7)
	assert.Assert(t, v.Blocked(start.Add(400*time.Second+2*firstPause-1), v1), "one more end, twice the pause")
	add(b, 500, v2, 7)
	v = verdictAt(b, 500, 7)
	assert.Assert(t, v.Blocked(start.Add(500*time.Second+newSoftwarePause), v2), "the new version is no better")
}

func TestOldCrashesAreRemoved(t *testing.T) {
	b := NewTracker()
	for second := range 3 {
		add(b, second, v1, 7)
	}
	assert.Equal(t, len(b.Assess(start.Add(RetentionPeriod+3*time.Second))), 0)
	for n := range 3 * maxEnds {
		add(b, 10000+n, v1, Fingerprint(n+1))
	}
	assert.Equal(t, len(b.ends), maxEnds)
	_, newest := b.ends[fmt.Sprint(10000+3*maxEnds-1)]
	assert.Assert(t, newest, "the oldest go first")
}

// Hosts that know the same say the same, in whatever order they have heard it; a
// request that was cleared of every end is not stopped, and one is stopped only for as
// many ends as stop one.
func TestHostsAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		software := rapid.SampledFrom([]Software{v1, v2})
		var ends []Crash
		for n := range rapid.IntRange(0, 12).Draw(t, "ends") {
			prints := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 6).Draw(t, "print")) }), 0, 4, rapid.ID).Draw(t, "prints")
			at := start.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "moment")) * 2 * OneMoment)
			ends = append(ends, Crash{ID: fmt.Sprint(n), Software: software.Draw(t, "software"), DetectedAt: at, Fingerprints: prints})
		}
		completes := Fingerprint(rapid.IntRange(0, 6).Draw(t, "completes"))
		one, other := NewTracker(), NewTracker()
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		order := rng.Perm(len(ends))
		for i := range ends {
			one.Add(start, ends[i])
			one.Clear(start, ends[i].ID, completes)
		}
		for _, i := range order {
			other.Clear(start, ends[i].ID, completes)
			part := ends[i]
			part.Fingerprints = part.Fingerprints[:len(part.Fingerprints)/2]
			other.Add(start, part)
			other.Add(start, ends[i])
			other.Add(start, ends[i])
		}
		verdicts := one.Assess(start)
		assert.DeepEqual(t, verdicts, other.Assess(start))
		assert.Equal(t, verdicts[completes].Crashes, 0)
		parts := make(map[Fingerprint]int)
		at := make(map[Fingerprint]map[time.Time]bool)
		for _, e := range ends {
			for _, p := range e.Fingerprints {
				parts[p]++
				if at[p] == nil {
					at[p] = make(map[time.Time]bool)
				}
				at[p][e.DetectedAt] = true
			}
		}
		unexplained := make(map[Fingerprint]int)
		for _, e := range ends {
			if slices.ContainsFunc(e.Fingerprints, func(p Fingerprint) bool { v := verdicts[p]; return !v.BlockedUntil.IsZero() }) {
				continue
			}
			for _, p := range e.Fingerprints {
				unexplained[p]++
			}
		}
		for p, count := range parts {
			v := verdicts[p]
			switch {
			case !v.BlockedUntil.IsZero():
				assert.Assert(t, v.Incidents >= BlockAfterIncidents && v.Incidents == len(at[p]) && v.Crashes <= count)
			case p != completes:
				assert.Equal(t, v.Crashes, unexplained[p])
				assert.Assert(t, len(at[p]) < BlockAfterIncidents || unexplained[p] == 0, "%d: explained by what is stopped", p)
			}
		}
	})
}

// Where such requests come together, each end has several of them: one that had part in
// three is stopped as soon as one of these is not explained by another.
func TestRequestsThatCrashTogetherAreAllStopped(t *testing.T) {
	b := NewTracker()
	for second := range 4 {
		add(b, second, v1, 7, 8)
	}
	assert.Equal(t, len(b.Assess(start.Add(4*time.Second))), 1, "one explains them all")
	add(b, 5, v1, 8, 100)
	verdicts := b.Assess(start.Add(5 * time.Second))
	assert.Equal(t, verdicts[8].Crashes, 5)
	add(b, 6, v1, 7, 101)
	verdicts = b.Assess(start.Add(6 * time.Second))
	assert.Assert(t, !verdicts[7].BlockedUntil.IsZero() && !verdicts[8].BlockedUntil.IsZero())
	assert.Equal(t, len(verdicts), 2, "which explain all the ends")
}

func TestFingerprintCoversWhatTheCallerSends(t *testing.T) {
	base := Request{Method: "POST", Host: "Desk.example", URI: "/a/b?c", Team: "x", Body: []byte("body"), Length: 4}
	same := base
	same.Host = "desk.example"
	assert.Equal(t, base.Fingerprint(), same.Fingerprint())
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "GET" },
		func(r *Request) { r.Host = "other.example" },
		func(r *Request) { r.URI = "/a/b?d" },
		func(r *Request) { r.Team = "y" },
		func(r *Request) { r.Body = []byte("bodY") },
		func(r *Request) { r.Length = 5 },
		func(r *Request) { r.URI, r.Team = "/a/b?cx", "" },
	} {
		other := base
		change(&other)
		assert.Assert(t, other.Fingerprint() != base.Fingerprint(), "%+v", other)
	}
}

func BenchmarkPrint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 1 << 20} {
		r := Request{Method: "GET", Host: "desk.example", URI: "/status/4711", Body: make([]byte, size), Length: int64(size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Fingerprint()
			}
		})
	}
}
