package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

const second = time.Second

// calm is a run in which every promise was kept: a planned stop of host 1, a silent
// platform, and requests and changes about them.
func calm() *Record {
	return &Record{
		Length: 40 * second, Bound: 2 * second,
		Faults: []Fault{
			{Kind: Terminate, Host: 1, At: 5 * second, For: 3 * second},
			{Kind: PlatformSilent, At: 10 * second, For: 2 * second},
		},
		Requests: []Request{
			{Mark: "a", Sent: 4 * second, Done: 4 * second, Status: 200, Own: true},
			{Mark: "b", Host: 1, Sent: 4900 * time.Millisecond, Done: 5100 * time.Millisecond, Status: 200, Own: true},
			{Mark: "c", Sent: 6 * second, Done: 6 * second, Status: 503, Verdict: verdict.NotRun.String()},
			{Mark: "d", Sent: 30 * second, Done: 30 * second, Status: 200, Own: true},
		},
		Runs:  map[string]int{"a": 1, "b": 1, "d": 1},
		Ends:  []time.Duration{15 * second, 16 * second, 17 * second, 19 * second, 22 * second},
		Acked: []Acked{{Version: 3, At: 2 * second}, {Version: 4, At: 20 * second}},
		Samples: []Sample{
			{Host: 0, Asked: 3 * second, Version: 2}, {Host: 0, Asked: 5 * second, Version: 3},
			{Host: 0, Asked: 21 * second, Version: 3}, {Host: 0, Asked: 23 * second, Version: 4},
			// Its process was started again: it may begin with nothing.
			{Host: 1, Life: 0, Asked: 4 * second, Version: 3}, {Host: 1, Life: 1, Asked: 9 * second, Version: 0},
		},
	}
}

func TestPassingRunHasNoViolations(t *testing.T) {
	assert.Equal(t, len(calm().Check()), 0, "%v", calm().Check())
}

// Each check finds the fault that is planted for it, and no other does.
func TestEachCheckFindsItsViolation(t *testing.T) {
	for _, c := range []struct {
		promise string
		plant   func(*Record)
	}{
		{Once, func(r *Record) { r.Runs["a"] = 2 }},
		{Honest, func(r *Record) { r.Runs["c"] = 1 }},
		{Honest, func(r *Record) { r.Requests[2].Verdict, r.Runs["c"] = "", 1 }},
		{Whole, func(r *Record) { r.Requests[0].Own = false }},
		{Whole, func(r *Record) { delete(r.Runs, "a") }},
		{Uncut, func(r *Record) { r.Requests[1].Status, r.Requests[1].Own = 0, false }},
		{InForce, func(r *Record) { r.Samples[3].Version = 3 }},
		{Forward, func(r *Record) { r.Samples[2].Version = 2 }},
		{Recovers, func(r *Record) { r.Requests[3].Own, r.Requests[3].Status = false, 502 }},
		{Recovers, func(r *Record) { r.Requests = r.Requests[:3] }},
		{Innocent, func(r *Record) { r.Requests[2].Stopped = true }},
		{Stops, func(r *Record) { r.Ends = append(r.Ends, 25*second, 26*second, 27*second, 28*second) }},
	} {
		r := calm()
		c.plant(r)
		broken := r.Check()
		assert.Assert(t, len(broken) > 0, c.promise)
		for _, v := range broken {
			// What is older than before is late as well.
			assert.Assert(t, v.Promise == c.promise || c.promise == Forward && v.Promise == InForce, v.String())
		}
	}
}

// What the faults excuse breaks nothing: a change that is late within three seconds of a
// disturbance, a connection that breaks with a kill.
func TestFaultsExcuseViolations(t *testing.T) {
	r := calm()
	r.Acked = []Acked{{Version: 5, At: 12 * second}}
	r.Samples = []Sample{{Host: 0, Asked: 14900 * time.Millisecond, Version: 3}}
	assert.Equal(t, len(r.Check()), 0, "%v", r.Check())
	r.Samples[0].Asked = 15100 * time.Millisecond
	assert.Equal(t, len(r.Check()), 1)

	r = calm()
	r.Faults[0].Kind = Kill
	r.Requests[1].Status, r.Requests[1].Own = 0, false
	assert.Equal(t, len(r.Check()), 0, "%v", r.Check())
}

// One seed gives one schedule; faults overlap, leave the end calm, and never take more
// than half of the processes.
func TestScheduleIsSeededAndBounded(t *testing.T) {
	const hosts, length = 9, 30 * second
	seen := make(map[Kind]int)
	for seed := range uint64(200) {
		plan := Schedule(seed, hosts, length)
		assert.DeepEqual(t, plan, Schedule(seed, hosts, length))
		overlap := 0
		for i, f := range plan {
			seen[f.Kind]++
			assert.Assert(t, f.At >= firstFault && f.End() <= length-calmEnd && f.For > 0, f.String())
			gone := 0
			for _, b := range plan[:i] {
				if b.End() <= f.At {
					continue
				}
				overlap++
				if b.Kind.ofDaemon() && f.Kind.ofDaemon() {
					gone++
				}
			}
			assert.Assert(t, gone < hosts/2)
		}
		assert.Assert(t, overlap > 0)
	}
	assert.Equal(t, len(seen), len(kinds))
}
