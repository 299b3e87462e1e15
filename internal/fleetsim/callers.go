package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/verdict"
)

// sendRequests sends the requests of the scenario and waits until all have ended.
func (f *fleet) sendRequests() {
	var wg sync.WaitGroup
	for _, k := range f.scenario.Kinds {
		if k.RatePerSecond > 0 {
			wg.Add(1)
			rng := f.newRand()
			go func() {
				defer wg.Done()
				f.sendKind(k, rng)
			}()
		}
	}
	f.scheduleHostFaults()
	f.scheduleDCLosses()
	f.scheduleLeavings()
	for _, l := range f.scenario.Losses {
		time.AfterFunc(l.At, func() { f.crashInstances(l) })
	}
	for _, c := range f.scenario.CrashingRequests {
		wg.Add(1)
		rng := f.newRand()
		go func() {
			defer wg.Done()
			f.sendCrashingRequest(c, rng)
		}()
	}
	wg.Wait()
	for _, o := range f.result.ByKind {
		f.result.Total.add(o)
	}
}

func (o *Outcome) add(other Outcome) {
	o.Sent += other.Sent
	o.InTime += other.InTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.Failed += other.Failed
	o.Blocked += other.Blocked
}

// sendKind sends the requests of one kind that callers send.
func (f *fleet) sendKind(k RequestKind, rng *rand.Rand) {
	f.sendAtRandomTimes(k.RatePerSecond*f.scenario.demandPeak(), rng, func(h *host, n int) { f.sendAndRecord(h, k, fmt.Sprintf("%s-%d", k.Name, n)) })
}

// sendAtRandomTimes sends numbered requests from random hosts as a Poisson process, and waits until
// all have ended.
func (f *fleet) sendAtRandomTimes(ratePerSecond float64, rng *rand.Rand, send func(h *host, n int)) {
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / ratePerSecond * float64(time.Second)))
		if f.now() > f.scenario.Duration {
			break
		}
		h, ok := f.randomSender(rng)
		if !ok {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(h, n)
		}()
	}
	wg.Wait()
}

// sendAndRecord sends one caller's request and records its outcome.
func (f *fleet) sendAndRecord(h *host, k RequestKind, id string) {
	sentAt := f.now()
	path := "/" + k.Name + "/" + id
	if k.SharedPath {
		path = "/" + k.Name + "/popular"
	}
	status, reason := f.send(h, k.Name, path, id)
	took := f.now() - sentAt
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.RequestTimes[k.Service] = append(f.result.RequestTimes[k.Service], sentAt)
	o := f.result.ByKind[k.Name]
	o.Sent++
	if reason == string(verdict.ReasonCrashesTargets) {
		o.Blocked++
	}
	switch {
	case status < http.StatusInternalServerError && took <= k.Objective:
		o.InTime++
	case status < http.StatusInternalServerError:
		o.Late++
	case status == http.StatusServiceUnavailable:
		o.Refused++
	default:
		o.Failed++
	}
	f.result.ByKind[k.Name] = o
}

// statusOf sends a request and returns the status of the response.
func (f *fleet) statusOf(h *host, kind, path, id string) int {
	status, _ := f.send(h, kind, path, id)
	return status
}

// send sends a request to the front of a host and returns the status of the response. reason
// is the title of the problem if the front failed the request.
func (f *fleet) send(h *host, kind, path, id string) (status int, reason string) {
	k, _ := f.findKind("/" + kind + "/")
	ctx, cancel := context.WithTimeout(f.ctx, k.Deadline)
	defer cancel()
	method := http.MethodGet
	if !k.Idempotent {
		method = http.MethodPost
	}
	r := httptest.NewRequest(method, path, nil).WithContext(ctx)
	r.RequestURI = path
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	f.beginRequest(h, id)
	time.Sleep(h.freezeTimeLeft())
	d := h.daemon()
	if d == nil {
		return http.StatusBadGateway, ""
	}
	if f.scenario.Areas.RoundRobin {
		return f.sendRoundRobin(ctx, h, k, path, id), ""
	}
	d.front.ServeHTTP(w, r)
	f.recordPassedOn(h, w.Header())
	var p verdict.Problem
	if w.Header().Get("Content-Type") == verdict.ProblemType {
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			panic("fleetsim: " + err.Error())
		}
	}
	return w.Code, p.Title
}
