package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what arrived at the instances.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	arrivals []arrival
	runs     map[string][]arrival
}

type arrival struct {
	at       time.Duration
	id       string
	instance string
	service  string
	method   string
	path     string
	caller   string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now(), runs: make(map[string][]arrival)}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

func (r *recorder) newArrival(in *instance, id string, q *http.Request) arrival {
	return arrival{at: r.now(), id: id, instance: in.id, service: in.service, method: q.Method, path: q.URL.Path, caller: q.Header.Get(names.CallerService)}
}

func (r *recorder) arrival(in *instance, id string, q *http.Request) {
	a := r.newArrival(in, id, q)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.printf("request %s reaches instance %s of %s, expected %s", id, in.id, in.service, q.Header.Get(names.ExpectedInstance))
}

func (r *recorder) run(in *instance, id string, q *http.Request) {
	a := r.newArrival(in, id, q)
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], a)
	r.mu.Unlock()
	r.printf("instance %s runs request %s", in.id, id)
}

// arrivalsAt returns the arrivals at an instance.
func (r *recorder) arrivalsAt(instance string) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []arrival
	for _, a := range r.arrivals {
		if a.instance == instance {
			out = append(out, a)
		}
	}
	return out
}

// atWork reports whether an instance was at work on a request at any time from begin to end. It
// assumes that the work takes at least as long as given.
func (r *recorder) atWork(id string, begin, end, work time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.runs[id] {
		if a.at < end && a.at+work > begin {
			return true
		}
	}
	return false
}
