package standby

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	step     = 50 * time.Millisecond
	watchers = 2
)

// dataCentre plays the hosts of one data centre in virtual time. A host that watches calls the
// platform every callInterval.
type dataCentre struct {
	now   time.Time
	hosts []*Node
	names []string
	// refused reports whether the platform refuses a host, silent whether it leaves the calls of
	// a refused host unanswered for silentTimeout.
	refused func(i int) bool
	silent  bool
	// stopped hosts neither send nor receive.
	stopped map[int]bool
	// lost drops messages.
	lost func(Outbound) bool
	// nextCall is the time of each host's next call, and pending the time at which an unanswered
	// call fails.
	nextCall, pending []time.Time
	calls             int
	calledAt          []time.Time
	// served is the number of calls that were served, and servedHosts the hosts that made them.
	servedHosts map[int]bool
}

const (
	callInterval  = 300 * time.Millisecond
	silentTimeout = 3600 * time.Millisecond
)

func newDataCentre(hosts int) *dataCentre {
	d := &dataCentre{
		now: time.Unix(1000, 0), refused: func(int) bool { return false }, lost: func(Outbound) bool { return false },
		stopped: make(map[int]bool), servedHosts: make(map[int]bool),
		nextCall: make([]time.Time, hosts), pending: make([]time.Time, hosts),
	}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		d.names = append(d.names, name)
		d.hosts = append(d.hosts, New(name, watchers))
	}
	return d
}

func (d *dataCentre) run(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(step)
		for i := range d.hosts {
			if !d.stopped[i] {
				d.call(i)
				d.hosts[i].Tick(d.now, Position{Rank: i, Candidates: d.candidates})
			}
		}
		for i := range d.hosts {
			d.deliver(i)
		}
	}
}

func (d *dataCentre) candidates() []string { return d.names[watchers:] }

// call makes the platform calls of a host.
func (d *dataCentre) call(i int) {
	n := d.hosts[i]
	watching, _ := n.Watching()
	if i >= watchers && !watching {
		d.nextCall[i], d.pending[i] = time.Time{}, time.Time{}
		return
	}
	if !d.pending[i].IsZero() && !d.now.Before(d.pending[i]) {
		d.pending[i] = time.Time{}
		n.Failed(d.now)
		return
	}
	if d.now.Before(d.nextCall[i]) || !d.pending[i].IsZero() {
		return
	}
	d.nextCall[i] = d.now.Add(callInterval)
	d.calls++
	d.calledAt = append(d.calledAt, d.now)
	switch {
	case !d.refused(i):
		d.servedHosts[i] = true
		n.Served()
	case d.silent:
		d.pending[i] = d.now.Add(silentTimeout)
	default:
		n.Failed(d.now)
	}
}

func (d *dataCentre) deliver(from int) {
	for _, o := range d.hosts[from].Take() {
		var to int
		if _, err := fmt.Sscanf(o.To, "h%03d", &to); err != nil {
			panic(err)
		}
		if d.stopped[from] || d.stopped[to] || d.lost(o) {
			continue
		}
		if o.Request != nil {
			d.hosts[to].StepRequest(d.now, o.Request, to < watchers)
		} else {
			d.hosts[to].StepReply(d.now, o.Reply)
		}
	}
}

// countServed returns the number of hosts that the platform has served in the next duration.
func (d *dataCentre) countServed(duration time.Duration) int {
	d.servedHosts = make(map[int]bool)
	d.run(duration)
	return len(d.servedHosts)
}

// While the platform serves the watchers, no other host may call it.
func TestNoHostIsAskedWhileWatchersAreServed(t *testing.T) {
	d := newDataCentre(8)
	d.run(time.Minute)
	assert.Equal(t, len(d.servedHosts), watchers)
	assert.Equal(t, d.calls, watchers*int(time.Minute/callInterval))
}

// Guards against a platform that refuses just those that watch it, and whoever takes over, while
// all other hosts could read it.
func TestRefusedWatchersAreReplaced(t *testing.T) {
	for _, test := range []struct {
		hosts, refused int
		silent         bool
		within         time.Duration
	}{
		{8, 2, false, time.Second},
		{8, 3, false, time.Second},
		{71, 2, false, time.Second},
		{71, 10, false, 3 * time.Second},
		{8, 2, true, silentTimeout + time.Second},
		{8, 3, true, silentTimeout + 2*time.Second},
	} {
		t.Run(fmt.Sprintf("%d of %d hosts refused, silently %t", test.refused, test.hosts, test.silent), func(t *testing.T) {
			d := newDataCentre(test.hosts)
			d.run(5 * time.Second)
			d.silent = test.silent
			d.refused = func(i int) bool { return i < test.refused }
			d.run(test.within)
			assert.Assert(t, d.countServed(time.Second) >= 1)
			d.run(5 * time.Second)
			assert.Equal(t, d.countServed(time.Second), watchers, "each watcher has a substitute")
			assert.Assert(t, d.hosts[0].Substitute() != "")
			d.refused = func(int) bool { return false }
			d.run(silentTimeout + Lease + time.Second)
			assert.Equal(t, d.countServed(time.Second), watchers)
			assert.Assert(t, d.servedHosts[0] && d.servedHosts[1], "the watchers watch again and nobody else does")
			assert.Equal(t, d.hosts[0].Substitute(), "")
		})
	}
}

// A substitute that the platform turns away in its turn, or that stops, must be replaced.
func TestSubstituteIsReplaced(t *testing.T) {
	for name, end := range map[string]func(*dataCentre, int){
		"refused": func(d *dataCentre, i int) { d.refused = func(j int) bool { return j < watchers || j == i } },
		"stopped": func(d *dataCentre, i int) { d.stopped[i] = true },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDataCentre(8)
			d.refused = func(i int) bool { return i < watchers }
			d.run(5 * time.Second)
			var substitute int
			_, err := fmt.Sscanf(d.hosts[0].Substitute(), "h%03d", &substitute)
			assert.NilError(t, err)
			end(d, substitute)
			d.run(5 * time.Second)
			assert.Equal(t, d.countServed(time.Second), watchers)
			assert.Assert(t, !d.servedHosts[substitute])
		})
	}
}

func twoCandidates() []string { return []string{"a", "b"} }

// Guards against a search that stays as slow as in an outage of the platform, because all candidates of a
// small data centre have been asked before, although one of them was served.
func TestLaterSearchIsQuickAgain(t *testing.T) {
	d := newDataCentre(8)
	sound := 7
	d.refused = func(i int) bool { return i != sound }
	d.run(20 * time.Second)
	assert.Equal(t, d.countServed(time.Second), 1)
	for _, sound = range []int{2, 4, 6, 3, 5, 7, 2} {
		d.run(3 * time.Second)
		assert.Equal(t, d.countServed(time.Second), 1, "host %d", sound)
	}
}

// A single failed call must not cause calls of other hosts.
func TestSingleFailureCausesNoRequest(t *testing.T) {
	n := New("h", watchers)
	now := time.Unix(1000, 0)
	p := Position{Candidates: twoCandidates}
	n.Failed(now)
	for range 5 {
		now = now.Add(step)
		n.Tick(now, p)
	}
	n.Served()
	for range 40 {
		now = now.Add(step)
		n.Tick(now, p)
	}
	assert.Equal(t, len(n.Take()), 0)
}

// Lost datagrams may delay the handover but not prevent it.
func TestHandoverSurvivesLostDatagrams(t *testing.T) {
	d := newDataCentre(8)
	sent := 0
	d.lost = func(Outbound) bool { sent++; return sent%3 != 0 }
	d.refused = func(i int) bool { return i < watchers }
	d.run(10 * time.Second)
	assert.Assert(t, d.countServed(5*time.Second) >= 1)
}

// Guards against an outage in which all hosts of a fleet call the platform: the hosts that call at
// a time, and the calls, must not grow with the data centre.
func TestOutageCausesFewCalls(t *testing.T) {
	const (
		// ownCalls is the most calls of the watchers themselves in a second, ownCallsPerMinute in a
		// minute, and allowedCalls the most with those of other hosts in a second.
		ownCalls          = watchers * int((time.Second+callInterval-1)/callInterval)
		ownCallsPerMinute = watchers * int(time.Minute/callInterval)
		allowedCalls      = ownCalls + watchers*int(time.Second/candidateInterval)
	)
	for _, hosts := range []int{8, 71, 197, 320} {
		for _, silent := range []bool{false, true} {
			d := newDataCentre(hosts)
			d.run(5 * time.Second)
			d.silent, d.refused = silent, func(int) bool { return true }
			d.calledAt = nil
			d.run(10 * time.Minute)
			busiest := 0
			for first, next := 0, 0; next < len(d.calledAt); next++ {
				for d.calledAt[next].Sub(d.calledAt[first]) >= time.Second {
					first++
				}
				busiest = max(busiest, next-first+1)
			}
			before := d.calls
			d.run(time.Minute)
			late := d.calls - before
			t.Logf("%d hosts, silent %t: at most %d calls a second, %d a minute after ten minutes", hosts, silent, busiest, late)
			assert.Check(t, busiest <= allowedCalls, "%d calls a second", busiest)
			assert.Check(t, late <= ownCallsPerMinute+2*watchers*int(time.Minute/outageInterval), "%d calls a minute", late)
			d.refused = func(int) bool { return false }
			d.run(10 * time.Second)
			assert.Check(t, d.countServed(time.Second) == watchers, "hosts %d", len(d.servedHosts))
		}
	}
}

// A reply to an earlier request, or of a host that was not asked, must change nothing.
func TestUnexpectedRepliesAreIgnored(t *testing.T) {
	n := New("h", watchers)
	now := time.Unix(1000, 0)
	n.Failed(now)
	now = now.Add(HandoverDelay)
	n.Tick(now, Position{Candidates: twoCandidates})
	request := n.Take()[0].Request
	n.StepReply(now, &msg.WatchReply{From: "b", ID: request.ID, Served: true})
	n.StepReply(now, &msg.WatchReply{From: "a", ID: request.ID + 1, Served: true})
	assert.Equal(t, n.Substitute(), "")
	n.StepReply(now, &msg.WatchReply{From: "a", ID: request.ID, Served: true})
	assert.Equal(t, n.Substitute(), "a")
}
