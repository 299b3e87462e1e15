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

// callers sends the requests of every kind and waits for their ends.
func (f *fleet) callers() {
	var wg sync.WaitGroup
	for _, k := range f.site.Kinds {
		if k.PerSecond > 0 {
			wg.Add(1)
			rng := f.newRand()
			go func() {
				defer wg.Done()
				f.callersOf(k, rng)
			}()
		}
	}
	for _, l := range f.site.Losses {
		time.AfterFunc(l.At, func() { f.lose(l) })
	}
	for _, c := range f.site.Crashers {
		wg.Add(1)
		rng := f.newRand()
		go func() {
			defer wg.Done()
			f.crashersOf(c, rng)
		}()
	}
	wg.Wait()
	for _, o := range f.result.ByKind {
		f.result.All.add(o)
	}
}

func (o *Outcome) add(other Outcome) {
	o.Asked += other.Asked
	o.InTime += other.InTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.Failed += other.Failed
	o.Stopped += other.Stopped
}

// callersOf sends requests of one kind.
func (f *fleet) callersOf(k Kind, rng *rand.Rand) {
	f.atRandom(k.PerSecond, rng, func(h *host, n int) { f.call(h, k, fmt.Sprintf("%s-%d", k.Name, n)) })
}

// atRandom sends numbered requests at random times from random hosts, and waits for their
// ends.
func (f *fleet) atRandom(perSecond float64, rng *rand.Rand, send func(h *host, n int)) {
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if f.now() > f.site.For {
			break
		}
		h := f.hosts[rng.IntN(len(f.hosts))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(h, n)
		}()
	}
	wg.Wait()
}

// call sends one caller's request and notes how it ended.
func (f *fleet) call(h *host, k Kind, id string) {
	begun := f.now()
	path := "/" + k.Name + "/" + id
	if k.Popular {
		path = "/" + k.Name + "/popular"
	}
	status, reason := f.ask(h, k.Name, path, id)
	took := f.now() - begun
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Requests[k.Service] = append(f.result.Requests[k.Service], begun)
	o := f.result.ByKind[k.Name]
	o.Asked++
	if reason == string(verdict.ReasonCrashesTargets) {
		o.Stopped++
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

// request is ask for whom the status says enough.
func (f *fleet) request(h *host, kind, path, id string) int {
	status, _ := f.ask(h, kind, path, id)
	return status
}

// ask sends a request to a host's front and gives the status of its answer, with the
// reason where the front failed it.
func (f *fleet) ask(h *host, kind, path, id string) (status int, reason string) {
	k, _ := f.kind("/" + kind + "/")
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
	h.front.ServeHTTP(w, r)
	var p verdict.Problem
	if w.Header().Get("Content-Type") == verdict.ProblemType {
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			panic("fleetsim: " + err.Error())
		}
	}
	return w.Code, p.Title
}
