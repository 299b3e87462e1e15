package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
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
}

// callersOf sends requests of one kind at random times from random hosts.
func (f *fleet) callersOf(k Kind, rng *rand.Rand) {
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / k.PerSecond * float64(time.Second)))
		if f.now() > f.site.For {
			break
		}
		h := f.hosts[rng.IntN(len(f.hosts))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.call(h, k, fmt.Sprintf("%s-%d", k.Name, n))
		}()
	}
	wg.Wait()
}

// call sends one caller's request and notes how it ended.
func (f *fleet) call(h *host, k Kind, id string) {
	begun := f.now()
	status := f.request(h, k.Name, "/"+k.Name+"/"+id, id)
	took := f.now() - begun
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Requests[k.Service] = append(f.result.Requests[k.Service], begun)
	o := f.result.ByKind[k.Name]
	o.Asked++
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

// request sends a request to a host's front and gives the status of its answer.
func (f *fleet) request(h *host, kind, path, id string) int {
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
	return w.Code
}
