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

// add records a crash at the given second after start.
func add(tracker *Tracker, second int, s Software, fingerprints ...Fingerprint) {
	at := start.Add(time.Duration(second) * time.Second)
	tracker.Add(at, Crash{ID: fmt.Sprint(second), Software: s, DetectedAt: at, Fingerprints: fingerprints})
}

func assessAt(tracker *Tracker, second int, p Fingerprint) Assessment {
	return tracker.Assess(start.Add(time.Duration(second) * time.Second))[p]
}

// A request involved in three consecutive crashes is blocked at the third.
// The requests that ran concurrently with it once or twice are not.
func TestRequestCommonToCrashesIsBlocked(t *testing.T) {
	tracker := NewTracker()
	add(tracker, 1, v1, 7, 10, 11, 12)
	add(tracker, 2, v1, 7, 10, 13)
	assert.Equal(t, assessAt(tracker, 2, 7).Crashes, 2)
	suspect := assessAt(tracker, 2, 7)
	assert.Assert(t, !suspect.Blocked(start.Add(2*time.Second), v1))
	add(tracker, 3, v1, 14, 7)
	v := assessAt(tracker, 3, 7)
	now := start.Add(3 * time.Second)
	assert.Equal(t, v.Crashes, 3)
	assert.Assert(t, v.Blocked(now, v1) && v.Blocked(now, v2) && v.BlockedEverywhere(now))
	for _, innocent := range []Fingerprint{10, 11, 12, 13, 14} {
		assert.Equal(t, assessAt(tracker, 3, innocent).Crashes, 0, "%d: its crashes are explained", innocent)
	}
}

// An instance that crashes while it runs the same request in several slots
// counts as one crash. Counting each run blocked the request on all hosts
// for minutes after a single crash that listed it four times.
func TestCrashCountsOncePerRequest(t *testing.T) {
	tracker := NewTracker()
	add(tracker, 1, v1, 7, 7, 7, 10)
	assert.Equal(t, assessAt(tracker, 1, 7).Crashes, 1)
	add(tracker, 2, v1, 7, 7)
	v := assessAt(tracker, 2, 7)
	assert.Equal(t, v.Crashes, 2)
	assert.Assert(t, !v.BlockedEverywhere(start.Add(2*time.Second)))
}

// Instances that are lost together count as one incident. When four instances of
// a newly started service lost power within two milliseconds, before any had
// completed a common request, each crash counted against that request. All
// hosts refused it for minutes, so that no completion could clear it.
func TestInstancesLostTogetherAreOneIncident(t *testing.T) {
	tracker := NewTracker()
	for n := range 7 {
		at := start.Add(time.Duration(n) * IncidentWindow / 6)
		tracker.Add(at, Crash{ID: fmt.Sprint("rack", n), Software: v1, DetectedAt: at, Fingerprints: []Fingerprint{7, Fingerprint(100 + n)}})
	}
	v := assessAt(tracker, 1, 7)
	assert.Equal(t, v.Crashes, 7)
	assert.Equal(t, v.Incidents, 1)
	assert.Assert(t, !v.BlockedEverywhere(start.Add(time.Second)))
	add(tracker, 2, v1, 7)
	add(tracker, 3, v1, 7)
	v = assessAt(tracker, 3, 7)
	assert.Equal(t, v.Incidents, 3)
	assert.Assert(t, v.BlockedEverywhere(start.Add(3*time.Second)), "crashes in other incidents count")
}

// A crash that is received in parts includes the requests of all parts. A
// host that had just started learned of crashes first from the stored record
// of one blocked request, which lists that request alone, and then ignored the
// further requests reported by other hosts. A second request that had crashed
// three instances could thus reach more instances through that host. The test of
// agreement in any order, with crashes received in parts, found this.
func TestCrashReceivedInPartsIsComplete(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7)
		add(tracker, second, v1, 7, 8, Fingerprint(100+second))
	}
	add(tracker, 3, v1, 8)
	now := start.Add(3 * time.Second)
	v := assessAt(tracker, 3, 8)
	assert.Assert(t, v.BlockedEverywhere(now), "it was involved in four crashes")
	assert.Assert(t, !tracker.Add(now, Crash{ID: "0", Software: v1, DetectedAt: start, Fingerprints: []Fingerprint{8, 7}}), "must not report a known crash as new")
}

// Two crashing requests at the same time are both blocked, even if they were
// involved in the same crash.
func TestTwoRequestsAtOnceAreBothBlocked(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, 10+second, v1, 7, Fingerprint(100+second))
		add(tracker, 20+second, v1, 8, Fingerprint(200+second))
	}
	add(tracker, 30, v1, 7, 8)
	assessments := tracker.Assess(start.Add(30 * time.Second))
	assert.Equal(t, assessments[7].Crashes, 4)
	assert.Equal(t, assessments[8].Crashes, 4, "a shared crash counts for both")
	assert.Equal(t, len(assessments), 2)
}

// A blocked request that ran on every crashed instance but completes elsewhere
// is cleared.
func TestCompletedRequestIsCleared(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7, Fingerprint(100+second))
	}
	now := start.Add(3 * time.Second)
	v := assessAt(tracker, 3, 7)
	assert.Assert(t, v.Blocked(now, v1))
	for _, e := range tracker.CrashesOf(7) {
		assert.Assert(t, tracker.Clear(now, e.ID, 7))
		assert.Assert(t, !tracker.Clear(now, e.ID, 7), "a repeated clearance must not be reported as new")
	}
	assert.Equal(t, assessAt(tracker, 3, 7).Crashes, 0)
	assert.Equal(t, len(tracker.CrashesOf(7)), 0)
}

// A blocked request is tried again on other software first, and later on software
// that it has crashed. Each further incident prolongs the latter.
func TestBlockedRequestIsTriedAgain(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7)
	}
	v := assessAt(tracker, 2, 7)
	last := start.Add(2 * time.Second)
	assert.Assert(t, v.Blocked(last.Add(otherSoftwareBlock-1), v2))
	assert.Assert(t, !v.Blocked(last.Add(otherSoftwareBlock), v2), "a new version may handle the request")
	assert.Assert(t, v.Blocked(last.Add(initialBlock-1), v1))
	assert.Assert(t, !v.Blocked(last.Add(initialBlock), v1))
	add(tracker, 400, v1, 7)
	v = assessAt(tracker, 400, 7)
	assert.Assert(t, v.Blocked(start.Add(400*time.Second+2*initialBlock-1), v1), "another incident doubles the block duration")
	add(tracker, 500, v2, 7)
	v = assessAt(tracker, 500, 7)
	assert.Assert(t, v.Blocked(start.Add(500*time.Second+otherSoftwareBlock), v2), "the new version crashed as well")
}

func TestOldCrashesAreRemoved(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7)
	}
	assert.Equal(t, len(tracker.Assess(start.Add(RetentionPeriod+3*time.Second))), 0)
	for n := range 3 * maxCrashes {
		add(tracker, 10000+n, v1, Fingerprint(n+1))
	}
	assert.Equal(t, len(tracker.crashes), maxCrashes)
	_, newest := tracker.crashes[fmt.Sprint(10000+3*maxCrashes-1)]
	assert.Assert(t, newest, "the oldest crashes must be evicted first")
}

// Hosts that know the same crashes reach the same assessments, whatever the
// order in which they received them. A request that was cleared of every
// crash is not blocked, and a request is blocked only from BlockAfterIncidents
// incidents on.
func TestHostsAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		software := rapid.SampledFrom([]Software{v1, v2})
		var crashes []Crash
		for n := range rapid.IntRange(0, 12).Draw(t, "crashes") {
			fingerprints := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 6).Draw(t, "fingerprint")) }), 0, 4, rapid.ID).Draw(t, "fingerprints")
			at := start.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "time")) * 2 * IncidentWindow)
			crashes = append(crashes, Crash{ID: fmt.Sprint(n), Software: software.Draw(t, "software"), DetectedAt: at, Fingerprints: fingerprints})
		}
		completes := Fingerprint(rapid.IntRange(0, 6).Draw(t, "completes"))
		first, second := NewTracker(), NewTracker()
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		order := rng.Perm(len(crashes))
		for i := range crashes {
			first.Add(start, crashes[i])
			first.Clear(start, crashes[i].ID, completes)
		}
		for _, i := range order {
			second.Clear(start, crashes[i].ID, completes)
			part := crashes[i]
			part.Fingerprints = part.Fingerprints[:len(part.Fingerprints)/2]
			second.Add(start, part)
			second.Add(start, crashes[i])
			second.Add(start, crashes[i])
		}
		assessments := first.Assess(start)
		assert.DeepEqual(t, assessments, second.Assess(start))
		assert.Equal(t, assessments[completes].Crashes, 0)
		parts := make(map[Fingerprint]int)
		at := make(map[Fingerprint]map[time.Time]bool)
		for _, e := range crashes {
			for _, p := range e.Fingerprints {
				parts[p]++
				if at[p] == nil {
					at[p] = make(map[time.Time]bool)
				}
				at[p][e.DetectedAt] = true
			}
		}
		unexplained := make(map[Fingerprint]int)
		for _, e := range crashes {
			if slices.ContainsFunc(e.Fingerprints, func(p Fingerprint) bool { v := assessments[p]; return !v.BlockedUntil.IsZero() }) {
				continue
			}
			for _, p := range e.Fingerprints {
				unexplained[p]++
			}
		}
		for p, count := range parts {
			v := assessments[p]
			switch {
			case !v.BlockedUntil.IsZero():
				assert.Assert(t, v.Incidents >= BlockAfterIncidents && v.Incidents == len(at[p]) && v.Crashes <= count)
			case p != completes:
				assert.Equal(t, v.Crashes, unexplained[p])
				assert.Assert(t, len(at[p]) < BlockAfterIncidents || unexplained[p] == 0, "%d: must be explained by blocked requests", p)
			}
		}
	})
}

// When several crashing requests arrive together, each crash involves
// several of them. A request with at least three incidents is blocked as soon as
// one of them is not explained by another request.
func TestRequestsThatCrashTogetherAreAllBlocked(t *testing.T) {
	tracker := NewTracker()
	for second := range 4 {
		add(tracker, second, v1, 7, 8)
	}
	assert.Equal(t, len(tracker.Assess(start.Add(4*time.Second))), 1, "one request explains all crashes")
	add(tracker, 5, v1, 8, 100)
	assessments := tracker.Assess(start.Add(5 * time.Second))
	assert.Equal(t, assessments[8].Crashes, 5)
	add(tracker, 6, v1, 7, 101)
	assessments = tracker.Assess(start.Add(6 * time.Second))
	assert.Assert(t, !assessments[7].BlockedUntil.IsZero() && !assessments[8].BlockedUntil.IsZero())
	assert.Equal(t, len(assessments), 2, "the two requests explain all crashes")
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

func BenchmarkFingerprint(b *testing.B) {
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
