package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// The contended service: few slots and long requests, so that one team can ask for more than
// there is with little load on the machine. Its instances have room for about 45 requests per
// second, and its teams send 25, during TeamSurge 160.
const (
	contendedService     = "permits"
	contendedInstances   = 3
	contendedSlots       = 3
	contendedServiceTime = 200 * time.Millisecond
	contendedAttempts    = 4
	contendedTimeoutMS   = 2000
	contendedObjectiveMS = 700
	// lightTeams is the number of teams that stay below their share, and heavyTeam is the
	// one that sends too much during TeamSurge. All have the same weight.
	lightTeams = 3
	heavyTeam  = "heavy"
	// teamInterval and surgeInterval are the times between two requests of a team.
	teamInterval  = 160 * time.Millisecond
	surgeInterval = 7 * time.Millisecond
	// teamRate is the rate of each team's record, its weight. It is above that of a surge, so
	// that only the shares limit the surge: with a lower rate and a large burst, 9 of 10 refusals
	// of the surge were for the limit of the team.
	teamRate = 250
	// refusedShare is the share of arrivals that an instance refuses during TargetRefuses
	// and ServiceRefuses.
	refusedShare = 0.55
	// retryPercent, retryReserve and retryWindow are the retry budget of each service. Without
	// limits, the retries of 3 s of ServiceRefuses would exceed it.
	retryPercent, retryReserve = 10, 8
	retryWindow                = 10 * time.Second
)

// loadSettings are the settings of the daemons for the load of this file. The data centres lie in
// two areas.
var loadSettings = fmt.Sprintf(`[peers]
areas = dc0:east, dc1:east, dc2:west
area_link = 100
[retry]
learn_refusals = yes
reserve = %d
window = %s
[teams]
fair_shares = yes
`, retryReserve, retryWindow)

// putLoadRecords writes the records of the contended service and the teams, and then others, so
// that a restored platform does not lose these.
func (r *run) putLoadRecords(ctx context.Context) error {
	specs := map[record.Key]record.Spec{
		{Kind: record.KindService, Name: contendedService}: &record.Service{Office: "soak", Preset: record.PresetQuick, Floor: record.Floor{Percent: 60}, RetryPercent: retryPercent},
		{Kind: record.KindRoute, Name: contendedService}:   &record.Route{PathPrefix: "/" + contendedService, Service: contendedService, TimeoutMS: contendedTimeoutMS, ObjectiveMS: contendedObjectiveMS, MaxAttempts: contendedAttempts},
		{Kind: record.KindRoute, Name: "long"}:             &record.Route{PathPrefix: longPath, Service: service, TimeoutMS: int(2 * callerTimeout.Milliseconds())},
	}
	for _, team := range teamNames() {
		specs[record.Key{Kind: record.KindTeam, Name: team}] = &record.Team{Office: "soak", RatePerSecond: teamRate}
	}
	for key, spec := range specs {
		if err := r.fleet.Put(ctx, key, spec); err != nil {
			return err
		}
	}
	for range lostRevisions {
		if err := r.fleet.Put(ctx, record.Key{Kind: record.KindTeam, Name: changedTeam}, &record.Team{Office: "soak", RatePerSecond: changedRateBase}); err != nil {
			return err
		}
	}
	return nil
}

// teamNames returns the names of the teams, heavyTeam last.
func teamNames() []string {
	var out []string
	for i := range lightTeams {
		out = append(out, fmt.Sprintf("light-%d", i))
	}
	return append(out, heavyTeam)
}

// sendTeamRequests sends requests of one team to random hosts without waiting for the responses.
func (r *run) sendTeamRequests(ctx context.Context, team string) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; sleep.For(ctx, r.teamInterval(team)); n++ {
		req := Request{Mark: fmt.Sprintf("%s-%d", team, n), Host: rand.IntN(r.cfg.Hosts), Service: contendedService, Team: team, Idempotent: n%2 == 0, Sent: r.elapsed()}
		wg.Go(func() { r.sendAndRecord(client, req, "/"+contendedService+"/7", nil) })
	}
}

// teamInterval returns the time until a team's next request.
func (r *run) teamInterval(team string) time.Duration {
	if team == heavyTeam && r.surge.Load() {
		return surgeInterval
	}
	return teamInterval
}

func (r *run) sendAndRecord(client *http.Client, req Request, path string, body []byte) {
	r.send(client, &req, path, body)
	req.Done = r.elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Requests = append(r.observed.Requests, req)
}

// setContended sets the behaviour of all instances of the contended service.
func (r *run) setContended(b target.Behaviour) {
	for _, n := range r.nodes {
		if n.contended != nil {
			_ = n.contended.SetBehaviour(b)
		}
	}
}

// refusalLine is a log line of event.RequestRefused.
type refusalLine struct {
	Time       time.Time      `json:"time"`
	Event      int            `json:"event"`
	Instance   string         `json:"instance"`
	Reason     verdict.Reason `json:"reason"`
	DeadlineMS int64          `json:"deadlineMS"`
}

// refusalText is part of all lines with event.RequestRefused. Only these lines are parsed.
var refusalText = fmt.Appendf(nil, `"event":%d,`, event.RequestRefused.Number)

// observeLine records the refusals in the logs of the daemons. A host logs at most 200 per second.
func (r *run) observeLine(_ string, line []byte) {
	if !bytes.Contains(line, refusalText) {
		return
	}
	var l refusalLine
	if json.Unmarshal(line, &l) != nil || l.Event != event.RequestRefused.Number {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals = append(r.refusals, l)
}

// collectInstance adds what an instance observed to the observations.
func (r *run) collectInstance(host int, service string, t *lab.Target) error {
	runs, err := t.Runs()
	if err != nil {
		return err
	}
	at := func(ms int64) time.Duration { return time.UnixMilli(ms).Sub(r.startTime) }
	o := &r.observed
	for mark, count := range runs.ByMark {
		o.Runs[mark] += count
	}
	o.OverRateLimit = max(o.OverRateLimit, runs.OverRateLimit)
	o.ArrivalsWhileLeaving += runs.ArrivalsWhileLeaving
	for mark, times := range runs.Arrivals {
		for _, ms := range times {
			o.Arrivals = append(o.Arrivals, Arrival{service, mark, at(ms)})
		}
	}
	inst := Instance{Host: host, Service: service}
	for _, ms := range runs.CrashTimes {
		inst.Crashes = append(inst.Crashes, at(ms))
	}
	o.Crashes = append(o.Crashes, inst.Crashes...)
	for _, s := range runs.Full {
		inst.Full = append(inst.Full, Span{at(s.From), at(s.To)})
	}
	o.Instances[t.Name] = inst
	return nil
}

// collectRefusals adds the logged refusals to the observations.
func (r *run) collectRefusals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.refusals {
		// A stand-in that has started again has a suffix in its name.
		name, _, _ := strings.Cut(l.Instance, ".")
		r.observed.Refusals = append(r.observed.Refusals, Refusal{name, l.Reason, l.Time.Sub(r.startTime), l.DeadlineMS <= 0})
	}
}
