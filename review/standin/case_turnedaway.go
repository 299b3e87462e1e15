package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// turnedAwayFor is how long the store refuses some machines.
	turnedAwayFor = 9 * time.Second
	// applyBound is the deployment's bound for a configuration, 2,000 ms, with the 5,000 ms by
	// which an unstable store may stretch it.
	applyBound = 7 * time.Second
	// watchRecency tells the hosts that watch the store: their watches are at most 2.4 s long.
	watchRecency = 4 * time.Second
	// maxShare is the largest share of the machines that the store turns away.
	maxShare = 0.33
)

// runTurnedAway: the store refuses the few machines that call it and serves the others, which
// do not call it. Meanwhile a configuration moves a route to another service.
func runTurnedAway(r *rig, tmp string) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	r.services = []string{"booking", "desk"}
	book := route{
		Name: "r-book", Hostname: "book.example", PathPrefix: "/book/", Type: names.NonIdempotent, TimeoutMS: 8000, TargetMS: 2500,
		Priority: 1, Service: "booking", Attempts: 2, method: http.MethodPost, deadline: 15 * time.Second,
	}
	r.routes = []route{book}
	const hosts = 24
	for i := range hosts {
		r.addHost(fmt.Sprintf("h%02d", i+1), zones[i%3], r.services[i/3%2])
	}
	r.configure(7)
	r.startHosts(tmp)
	for i, h := range r.hosts {
		in := newInstance(r, h, fmt.Sprintf("i-%d", i+1), 7, 100*time.Millisecond)
		in.listen()
		go in.beat()
	}
	time.Sleep(8 * time.Second)
	watchers := r.watchers()
	r.note("%d of %d hosts have called the store in the last %s", len(watchers), hosts, watchRecency)
	if float64(len(watchers)) > maxShare*hosts {
		r.abort("more hosts than the store may turn away")
	}
	for _, h := range r.hosts {
		if !slices.Contains(watchers, h) {
			r.startConsumers(h, book, 1, 200*time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, h := range watchers {
			h.turnAway()
		}
		r.note("the store answers 503 to %d hosts", len(watchers))
	}
	ends := time.Now().Add(turnedAwayFor)
	time.Sleep(200 * time.Millisecond)
	r.routes[0].Service = "desk"
	r.configure(9)
	confirmedAt := time.Now()
	time.Sleep(time.Until(ends))
	for _, h := range watchers {
		h.turnedAway.Store(false)
	}
	r.note("the store serves all hosts")
	time.Sleep(4 * time.Second)
	close(r.stopConsumers)
	r.consumers.Wait()
	r.judgeTurnedAway(confirmedAt)
}

// watchers returns the hosts that have watched the store recently.
func (r *rig) watchers() []*host {
	var out []*host
	since := time.Now().Add(-watchRecency).UnixMilli()
	for _, h := range r.hosts {
		if h.watchedAt.Load() > since {
			out = append(out, h)
		}
	}
	return out
}

// judgeTurnedAway counts the requests that hosts which were not turned away handled by the old
// configuration although they were sent later than the bound after the new one was confirmed.
func (r *rig) judgeTurnedAway(confirmedAt time.Time) {
	r.mu.Lock()
	serviceOf := make(map[string]string)
	for _, h := range r.hosts {
		serviceOf[h.name] = h.service
	}
	late := make(map[string]bool)
	for _, q := range r.requests {
		late[q.id] = q.sentAt.After(confirmedAt.Add(applyBound))
	}
	old, current := 0, 0
	for _, u := range r.runs {
		switch {
		case late[u.id] && serviceOf[u.host] == "booking":
			old++
		case late[u.id]:
			current++
		}
	}
	r.mu.Unlock()
	r.finish(old > 0, fmt.Sprintf("%d requests sent later than %s after the confirmation were run by the old service, %d by the new one", old, applyBound, current))
}
