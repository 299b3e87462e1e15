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

func assessAt(tracker *Tracker, second int, fp Fingerprint) Assessment {
	return tracker.Assess(start.Add(time.Duration(second) * time.Second))[fp]
}

// A request that was running in three crashes in a row is blocked at the third. The
// requests that ran concurrently with it in one or two of them are not.
func TestRequestCommonToCrashesIsBlocked(t *testing.T) {
	tracker := NewTracker()
	add(tracker, 1, v1, 7, 10, 11, 12)
	add(tracker, 2, v1, 7, 10, 13)
	assert.Equal(t, assessAt(tracker, 2, 7).Crashes, 2)
	suspect := assessAt(tracker, 2, 7)
	assert.Assert(t, !suspect.Blocked(start.Add(2*time.Second), v1))
	add(tracker, 3, v1, 14, 7)
	a := assessAt(tracker, 3, 7)
	now := start.Add(3 * time.Second)
	assert.Equal(t, a.Crashes, 3)
	assert.Assert(t, a.Blocked(now, v1) && a.Blocked(now, v2) && a.BlockedEverywhere(now))
	for _, concurrent := range []Fingerprint{10, 11, 12, 13, 14} {
		assert.Equal(t, assessAt(tracker, 3, concurrent).Crashes, 0, "request %d: its crashes must be attributed to request 7", concurrent)
	}
}

// An instance that crashes while it runs the same request several times counts as one
// crash. If each run were counted, one crash that lists a request four times would block
// the request on all hosts for minutes.
func TestCrashCountsOncePerRequest(t *testing.T) {
	tracker := NewTracker()
	add(tracker, 1, v1, 7, 7, 7, 10)
	assert.Equal(t, assessAt(tracker, 1, 7).Crashes, 1)
	add(tracker, 2, v1, 7, 7)
	a := assessAt(tracker, 2, 7)
	assert.Equal(t, a.Crashes, 2)
	assert.Assert(t, !a.BlockedEverywhere(start.Add(2*time.Second)))
}

// Instances that are lost together count as one incident. Otherwise, when four instances
// of a newly started service lose power within two milliseconds and none has completed a
// request that all four run, that request is blocked. All hosts then refuse it for
// minutes, so that it cannot complete and be cleared.
func TestInstancesLostTogetherAreOneIncident(t *testing.T) {
	tracker := NewTracker()
	for n := range 7 {
		at := start.Add(time.Duration(n) * IncidentWindow / 6)
		tracker.Add(at, Crash{ID: fmt.Sprint("rack", n), Software: v1, DetectedAt: at, Fingerprints: []Fingerprint{7, Fingerprint(100 + n)}})
	}
	a := assessAt(tracker, 1, 7)
	assert.Equal(t, a.Crashes, 7)
	assert.Equal(t, a.Incidents, 1)
	assert.Assert(t, !a.BlockedEverywhere(start.Add(time.Second)))
	add(tracker, 2, v1, 7)
	add(tracker, 3, v1, 7)
	a = assessAt(tracker, 3, 7)
	assert.Equal(t, a.Incidents, 3)
	assert.Assert(t, a.BlockedEverywhere(start.Add(3*time.Second)), "crashes in further incidents must count")
}

// A crash that is received in parts includes the requests of all parts. A host that has
// just started first learns of a crash from the stored record of one blocked request,
// which lists that request alone. If it ignored the requests that other hosts report
// later for the same crash, a second request that has crashed three instances could reach
// more instances through this host.
func TestCrashReceivedInPartsIsComplete(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7)
		add(tracker, second, v1, 7, 8, Fingerprint(100+second))
	}
	add(tracker, 3, v1, 8)
	now := start.Add(3 * time.Second)
	a := assessAt(tracker, 3, 8)
	assert.Assert(t, a.BlockedEverywhere(now), "a request that was running in four crashes must be blocked")
	assert.Assert(t, !tracker.Add(now, Crash{ID: "0", Software: v1, DetectedAt: start, Fingerprints: []Fingerprint{8, 7}}), "must not report a known crash as new")
}

// Two crashing requests that are sent at the same time are both blocked, even if one
// instance was running both of them when it crashed.
func TestTwoRequestsAtOnceAreBothBlocked(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, 10+second, v1, 7, Fingerprint(100+second))
		add(tracker, 20+second, v1, 8, Fingerprint(200+second))
	}
	add(tracker, 30, v1, 7, 8)
	assessments := tracker.Assess(start.Add(30 * time.Second))
	assert.Equal(t, assessments[7].Crashes, 4)
	assert.Equal(t, assessments[8].Crashes, 4, "a shared crash must count for both")
	assert.Equal(t, len(assessments), 2)
}

// A blocked request that every crashed instance was running is no longer suspected once
// it has been cleared of each crash, since it has completed elsewhere.
func TestCompletedRequestIsCleared(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7, Fingerprint(100+second))
	}
	now := start.Add(3 * time.Second)
	a := assessAt(tracker, 3, 7)
	assert.Assert(t, a.Blocked(now, v1))
	for _, c := range tracker.CrashesOf(7) {
		assert.Assert(t, tracker.AddClearance(now, c.ID, 7))
		assert.Assert(t, !tracker.AddClearance(now, c.ID, 7), "a repeated clearance must not be reported as new")
	}
	assert.Equal(t, assessAt(tracker, 3, 7).Crashes, 0)
	assert.Equal(t, len(tracker.CrashesOf(7)), 0)
}

// A block ends first for software that the request has not crashed, and later for software
// that it has crashed. Each further incident prolongs the latter block.
func TestBlockEndsFirstForOtherSoftware(t *testing.T) {
	tracker := NewTracker()
	for second := range 3 {
		add(tracker, second, v1, 7)
	}
	a := assessAt(tracker, 2, 7)
	last := start.Add(2 * time.Second)
	assert.Assert(t, a.Blocked(last.Add(otherSoftwareBlockDuration-1), v2))
	assert.Assert(t, !a.Blocked(last.Add(otherSoftwareBlockDuration), v2), "the block from another version must have ended")
	assert.Assert(t, a.Blocked(last.Add(initialBlockDuration-1), v1))
	assert.Assert(t, !a.Blocked(last.Add(initialBlockDuration), v1))
	add(tracker, 400, v1, 7)
	a = assessAt(tracker, 400, 7)
	assert.Assert(t, a.Blocked(start.Add(400*time.Second+2*initialBlockDuration-1), v1), "another incident must double the block duration")
	add(tracker, 500, v2, 7)
	a = assessAt(tracker, 500, 7)
	assert.Assert(t, a.Blocked(start.Add(500*time.Second+otherSoftwareBlockDuration), v2), "software version 2 has crashed as well")
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
	_, kept := tracker.crashes[fmt.Sprint(10000+3*maxCrashes-1)]
	assert.Assert(t, kept, "the oldest crashes must be evicted first")
}

// Hosts that know the same crashes compute the same assessments, regardless of the order
// in which they received them. A request that was cleared of every crash is not blocked,
// and no request is blocked before BlockAfterIncidents incidents.
func TestAssessmentsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		software := rapid.SampledFrom([]Software{v1, v2})
		var crashes []Crash
		for n := range rapid.IntRange(0, 12).Draw(t, "crashes") {
			fingerprints := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 6).Draw(t, "fingerprint")) }), 0, 4, rapid.ID).Draw(t, "fingerprints")
			at := start.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "time")) * 2 * IncidentWindow)
			crashes = append(crashes, Crash{ID: fmt.Sprint(n), Software: software.Draw(t, "software"), DetectedAt: at, Fingerprints: fingerprints})
		}
		cleared := Fingerprint(rapid.IntRange(0, 6).Draw(t, "cleared"))
		first, second := NewTracker(), NewTracker()
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		order := rng.Perm(len(crashes))
		for i := range crashes {
			first.Add(start, crashes[i])
			first.AddClearance(start, crashes[i].ID, cleared)
		}
		for _, i := range order {
			second.AddClearance(start, crashes[i].ID, cleared)
			part := crashes[i]
			part.Fingerprints = part.Fingerprints[:len(part.Fingerprints)/2]
			second.Add(start, part)
			second.Add(start, crashes[i])
			second.Add(start, crashes[i])
		}
		assessments := first.Assess(start)
		assert.DeepEqual(t, assessments, second.Assess(start))
		assert.Equal(t, assessments[cleared].Crashes, 0)
		crashCount := make(map[Fingerprint]int)
		times := make(map[Fingerprint]map[time.Time]bool)
		for _, c := range crashes {
			for _, fp := range c.Fingerprints {
				crashCount[fp]++
				if times[fp] == nil {
					times[fp] = make(map[time.Time]bool)
				}
				times[fp][c.DetectedAt] = true
			}
		}
		unattributed := make(map[Fingerprint]int)
		for _, c := range crashes {
			if slices.ContainsFunc(c.Fingerprints, func(fp Fingerprint) bool { a := assessments[fp]; return !a.BlockedUntil.IsZero() }) {
				continue
			}
			for _, fp := range c.Fingerprints {
				unattributed[fp]++
			}
		}
		for fp, n := range crashCount {
			a := assessments[fp]
			switch {
			case !a.BlockedUntil.IsZero():
				assert.Assert(t, a.Incidents >= BlockAfterIncidents && a.Incidents == len(times[fp]) && a.Crashes <= n)
			case fp != cleared:
				assert.Equal(t, a.Crashes, unattributed[fp])
				assert.Assert(t, len(times[fp]) < BlockAfterIncidents || unattributed[fp] == 0, "request %d: its crashes must be attributed to blocked requests", fp)
			}
		}
	})
}

// When several crashing requests are sent at the same time, each crashed instance was
// running several of them. A request with at least three incidents is blocked as soon as
// one of its crashes is not attributed to another request.
func TestRequestsThatCrashTogetherAreAllBlocked(t *testing.T) {
	tracker := NewTracker()
	for second := range 4 {
		add(tracker, second, v1, 7, 8)
	}
	assert.Equal(t, len(tracker.Assess(start.Add(4*time.Second))), 1, "all crashes must be attributed to one request")
	add(tracker, 5, v1, 8, 100)
	assessments := tracker.Assess(start.Add(5 * time.Second))
	assert.Equal(t, assessments[8].Crashes, 5)
	add(tracker, 6, v1, 7, 101)
	assessments = tracker.Assess(start.Add(6 * time.Second))
	assert.Assert(t, !assessments[7].BlockedUntil.IsZero() && !assessments[8].BlockedUntil.IsZero())
	assert.Equal(t, len(assessments), 2, "all crashes must be attributed to the two requests")
}

func TestFingerprintCoversRequest(t *testing.T) {
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
