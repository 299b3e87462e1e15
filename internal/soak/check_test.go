package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

const second = time.Second

// passingRun returns the observations of a run without violations, with a graceful stop of host 1,
// an unresponsive platform, a surge, and requests and changes before, during and after these faults.
func passingRun() *Observations {
	o := &Observations{
		Length: 40 * second, ApplyWithin: 2 * second,
		Faults: []Fault{
			{Kind: Terminate, Host: 1, At: 5 * second, Length: 3 * second},
			{Kind: PlatformSilent, At: 10 * second, Length: 2 * second},
			{Kind: TeamSurge, At: 12 * second, Length: 8 * second},
		},
		Requests: []Request{
			{Mark: "a", Sent: 4 * second, Done: 4 * second, Status: 200, Served: true},
			{Mark: "b", Host: 1, Sent: 4900 * time.Millisecond, Done: 5100 * time.Millisecond, Status: 200, Served: true},
			{Mark: "c", Sent: 6 * second, Done: 6 * second, Status: 503, Verdict: verdict.NotRun.String()},
			{Mark: "d", Sent: 30 * second, Done: 30 * second, Status: 200, Served: true},
		},
		Runs:    map[string]int{"a": 1, "b": 1, "d": 1},
		Crashes: []time.Duration{15 * second, 16 * second, 17 * second, 19 * second, 22 * second},
		Acked:   []AckedChange{{Version: 3, Number: 1, At: 2 * second}, {Version: 4, Number: 2, At: 20 * second}},
		Samples: []Sample{
			{Host: 0, QueriedAt: 3 * second, Version: 2}, {Host: 0, QueriedAt: 5 * second, Version: 3, Number: 1},
			{Host: 0, QueriedAt: 21 * second, Version: 3, Number: 1}, {Host: 0, QueriedAt: 23 * second, Version: 4, Number: 2},
			// A restarted process may start without any records.
			{Host: 1, Incarnation: 0, QueriedAt: 4 * second, Version: 3, Number: 1}, {Host: 1, Incarnation: 1, QueriedAt: 9 * second, Version: 0},
		},
		Instances: map[string]Instance{"i": {Service: service, Full: []Span{{14 * second, 15 * second}}}},
		Refusals: []Refusal{
			{Instance: "i", Reason: verdict.ReasonQueueFull, At: 15400 * time.Millisecond},
			{Instance: "i", Reason: verdict.ReasonRetryBudget, At: 18 * second},
			{Instance: "i", Reason: verdict.ReasonDeadline, At: 18 * second, Expired: true},
		},
	}
	// The budget of these requests in a window is eight retries and a tenth of thirty.
	for n := range 30 {
		mark, at := fmt.Sprint("light-", n), 15*second+time.Duration(n)*60*time.Millisecond
		req := Request{Mark: mark, Service: contendedService, Team: teamNames()[0], Host: 2, Sent: at, Done: at, Status: 200, Served: true}
		if n < 3 {
			req.Status, req.Served = 502, false
		}
		o.Requests = append(o.Requests, req)
		o.Runs[mark] = 1
		o.Arrivals = append(o.Arrivals, Arrival{contendedService, mark, at})
		if n < 11 {
			o.Arrivals = append(o.Arrivals, Arrival{contendedService, mark, 19 * second})
		}
	}
	return o
}

func TestPassingRunHasNoViolations(t *testing.T) {
	assert.Equal(t, len(passingRun().Check()), 0, "%v", passingRun().Check())
}

// Each check reports the violation injected for it, and no other check reports one.
func TestEachCheckFindsItsViolation(t *testing.T) {
	for _, c := range []struct {
		invariant string
		inject    func(*Observations)
	}{
		{AtMostOnce, func(r *Observations) { r.Runs["a"] = 2 }},
		{NotRunIsAccurate, func(r *Observations) { r.Runs["c"] = 1 }},
		{NotRunIsAccurate, func(r *Observations) { r.Requests[2].Verdict, r.Runs["c"] = "", 1 }},
		{CompleteResponse, func(r *Observations) { r.Requests[0].Served = false }},
		{CompleteResponse, func(r *Observations) { delete(r.Runs, "a") }},
		{GracefulStop, func(r *Observations) { r.Requests[1].Status, r.Requests[1].Served = 0, false }},
		{AppliedInTime, func(r *Observations) { r.Samples[3].Version = 3 }},
		{AppliedInTime, func(r *Observations) { r.Samples[3].Number = 1 }},
		{MonotonicVersion, func(r *Observations) { r.Samples[2].Version = 2 }},
		{RecoversAfterFaults, func(r *Observations) { r.Requests[3].Served, r.Requests[3].Status = false, 502 }},
		{RecoversAfterFaults, func(r *Observations) { r.Requests, r.Arrivals = r.Requests[:3], nil }},
		{NoOtherBlocked, func(r *Observations) { r.Requests[2].Blocked = true }},
		{WithinRateLimit, func(r *Observations) { r.OverRateLimit = 1 }},
		{NothingWhileLeaving, func(r *Observations) { r.ArrivalsWhileLeaving = 1 }},
		{BoundedCrashes, func(r *Observations) { r.Crashes = append(r.Crashes, 25*second, 26*second, 27*second, 28*second) }},
		{FairShare, func(r *Observations) { r.Requests[10].Served, r.Requests[10].Status = false, 502 }},
		{FreeSlotUsed, func(r *Observations) { r.Refusals[0].At += 200 * time.Millisecond }},
		{FreeSlotUsed, func(r *Observations) { r.Refusals[1].Reason = verdict.ReasonTeamShare }},
		{FreeSlotUsed, func(r *Observations) { r.Refusals[2].Expired = false }},
		{WithinRetryBudget, func(r *Observations) {
			r.Arrivals = append(r.Arrivals, Arrival{contendedService, "light-20", 20 * second})
		}},
	} {
		r := passingRun()
		c.inject(r)
		violations := r.Check()
		assert.Assert(t, len(violations) > 0, c.invariant)
		for _, v := range violations {
			// A sample with a version older than before may also violate AppliedInTime.
			assert.Assert(t, v.Invariant == c.invariant || c.invariant == MonotonicVersion && v.Invariant == AppliedInTime, v.String())
		}
	}
}

// It is no violation if a change is late within three seconds of a fault, or if a connection breaks
// when its host's daemon is killed.
func TestFaultsExcuseViolations(t *testing.T) {
	r := passingRun()
	r.Acked = []AckedChange{{Version: 5, Number: 3, At: 12 * second}}
	r.Samples = []Sample{{Host: 0, QueriedAt: 14900 * time.Millisecond, Version: 3}}
	assert.Equal(t, len(r.Check()), 0, "%v", r.Check())
	r.Samples[0].QueriedAt = 15100 * time.Millisecond
	assert.Equal(t, len(r.Check()), 1)

	// Faults of the service, and a crash, excuse what hosts refuse.
	r = passingRun()
	r.Requests[10].Served, r.Requests[10].Status = false, 502
	r.Faults = append(r.Faults, Fault{Kind: ServiceRefuses, At: 12 * second, Length: 2 * second})
	r.Refusals[1].Reason = verdict.ReasonTeamShare
	r.Instances["i"] = Instance{Service: service, Full: r.Instances["i"].Full, Crashes: []time.Duration{13500 * time.Millisecond}}
	assert.Equal(t, len(r.Check()), 0, "%v", r.Check())
	r.Faults[3].Host, r.Faults[3].Kind, r.Refusals[1].At = 8, Kill, 18600*time.Millisecond
	assert.Equal(t, len(r.Check()), 2, "%v", r.Check())

	r = passingRun()
	r.Faults[0].Kind = Kill
	r.Requests[1].Status, r.Requests[1].Served = 0, false
	assert.Equal(t, len(r.Check()), 0, "%v", r.Check())
}

// A seed always yields the same schedule. Faults overlap, do not occur at the end of the run, and
// never affect more than half of the daemons at the same time.
func TestScheduleIsSeededAndBounded(t *testing.T) {
	const hosts, length = 9, 30 * second
	counts := make(map[FaultKind]int)
	for seed := range uint64(200) {
		faults := Schedule(seed, hosts, length)
		assert.DeepEqual(t, faults, Schedule(seed, hosts, length))
		overlapping := 0
		for i, f := range faults {
			counts[f.Kind]++
			assert.Assert(t, f.At >= firstFault && f.End() <= length-faultFreeEnd && f.Length > 0, f.String())
			down := 0
			for _, b := range faults[:i] {
				if b.End() <= f.At {
					continue
				}
				overlapping++
				if b.Kind.affectsDaemon() && f.Kind.affectsDaemon() {
					down++
				}
			}
			assert.Assert(t, down < hosts/2)
		}
		assert.Assert(t, overlapping > 0)
	}
	assert.Equal(t, len(counts), len(faultKinds)+len(addedFaultKinds)+len(loadFaults)+1, "with PlatformRestored")
}
