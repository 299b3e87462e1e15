package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/chance"
	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// fillSlots admits n requests at the test guard's instance, which has two slots.
func fillSlots(i *instance, now time.Time, n int) {
	for range n {
		i.offer(now, admit.Request{Deadline: now.Add(time.Minute)}, &waiter{})
	}
}

// A refusal counts as shedding if the instance has a free slot. It does not count if the
// instance is full or may still be working on aborted requests.
func TestRefusalWithFreeSlotCountsAsShedding(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		running    int
		sinceAbort time.Duration
		counted    bool
	}{
		{name: "one of two slots taken by the request itself", running: 1, sinceAbort: time.Minute, counted: true},
		{name: "full", running: 2, sinceAbort: time.Minute},
		{name: "just aborted", running: 1, sinceAbort: abortedWorkGrace / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGuard(t, "127.0.0.1:1")
			i := g.all()[0]
			fillSlots(i, now, c.running)
			i.recordOutcome(now.Add(-c.sinceAbort), result{aborted: true})
			i.recordOutcome(now, result{shed: true})
			assert.Equal(t, i.shedShare.At(now) > 0, c.counted)
			assert.Equal(t, (&chance.Estimate{}).Sick(now, g.model), i.failureEstimate.Sick(now, g.model), "refusals must not count as failures")
		})
	}
}

// recordWorkRequests returns the test guard's instance and the list to which the scope of
// each of its requests for work is appended.
func recordWorkRequests(t *testing.T) (*instance, *[]loadreport.Scope) {
	t.Helper()
	g := newTestGuard(t, "127.0.0.1:1")
	requests := &[]loadreport.Scope{}
	g.sendLoadReport = func(p *msg.LoadReport, to loadreport.Scope) {
		if p.Loads[0].Load.WantsTrial {
			*requests = append(*requests, to)
		}
	}
	return g.all()[0], requests
}

// Regression test for starvation of idle instances: some healthy instances got a
// hundred times as many requests as others. Each request for work was sent to all
// nearby fronts, and in a large data centre one such request and its replies exhausted
// the host's load report rate limit, so that fronts acted on outdated requests for work
// and did not receive new ones. With 91 hosts at a tenth of their slots, requesting work
// after a third of the delay left three times as many instances underused.
func TestIdleInstanceRequestsWorkFromFewFronts(t *testing.T) {
	i, requests := recordWorkRequests(t)
	now := time.Now()
	i.failureEstimate, i.lastEnded = chance.EstimateAt(now, 0.01), now
	i.requestWork(now.Add(idleDelay - 1))
	assert.Equal(t, len(*requests), 0, "it has just ended a request")
	i.requestWork(now.Add(idleDelay))
	i.requestWork(now.Add(idleDelay + workRequestInterval - 1))
	assert.DeepEqual(t, *requests, []loadreport.Scope{loadreport.ToFew})
	i.requestWork(now.Add(idleDelay + workRequestInterval))
	assert.DeepEqual(t, *requests, []loadreport.Scope{loadreport.ToFew, loadreport.ToFew})

	fillSlots(i, now, 1)
	i.requestWork(now.Add(idleDelay + 2*workRequestInterval))
	assert.Equal(t, len(*requests), 2, "a request is running")
}

// Regression test for recovered instances that got no requests for seconds while a tenth
// of the requests failed at other instances. When many instances change between failing
// and healthy, the reports about them go to all hosts and exhaust the load report rate
// limit. Requests for a trial were sent with the load updates, which have lower priority
// than changed estimates, and reached hardly any front. In a large deployment 75 to 108
// of 162 instances of a service were doubtful at a time, with about 5 failed trials in
// 2 s, and some instances got no requests for 10 s.
func TestDoubtfulInstanceRequestsTrial(t *testing.T) {
	i, requests := recordWorkRequests(t)
	now := time.Now()
	i.failureEstimate, i.lastFailed, i.publishedAt = chance.EstimateAt(now, 0.5), now, now
	i.requestWork(now.Add(trialDelay - 1))
	i.publishLoad(now.Add(trialDelay))
	assert.Equal(t, len(*requests), 0)
	i.requestWork(now.Add(trialDelay))
	assert.DeepEqual(t, *requests, []loadreport.Scope{loadreport.ToFew})
}

// Guards against recovered instances that got no request for 4 to 8 s because requests from the time
// when they were unresponsive still held slots.
func TestDoubtfulInstanceWithRunningRequestsRequestsTrial(t *testing.T) {
	i, requests := recordWorkRequests(t)
	now := time.Now()
	i.failureEstimate, i.lastFailed, i.lastStarted, i.publishedAt = chance.EstimateAt(now, 0.9), now, now, now
	fillSlots(i, now, i.slots/2)
	i.requestWork(now.Add(busyTrialDelay - 1))
	assert.Equal(t, len(*requests), 0)
	i.requestWork(now.Add(busyTrialDelay))
	assert.DeepEqual(t, *requests, []loadreport.Scope{loadreport.ToFew})
	fillSlots(i, now, 1)
	i.requestWork(now.Add(2 * busyTrialDelay))
	assert.Equal(t, len(*requests), 1, "more than half of the slots are in use")
}
