package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// runOtherWriter: another writer pings for a running instance. Its pings lack most fields,
// state and sequence among them, and name another service.
func runOtherWriter(r *rig, tmp string) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	r.services = []string{"booking", "browse"}
	browse := route{
		Name: "r-browse", Hostname: "browse.example", PathPrefix: "/browse/", Type: names.Idempotent, TimeoutMS: 4000, TargetMS: 2000,
		Priority: 2, Service: "browse", Attempts: 2, method: http.MethodGet, deadline: 4 * time.Second,
	}
	book := route{
		Name: "r-book", Hostname: "book.example", PathPrefix: "/book/", Type: names.NonIdempotent, TimeoutMS: 6000, TargetMS: 2000,
		Priority: 1, Service: "booking", Attempts: 2, method: http.MethodPost, deadline: 6 * time.Second,
	}
	r.routes = []route{browse, book}
	for i := range 6 {
		r.addHost(fmt.Sprintf("h%d", i+1), zones[i%3], r.services[i%2])
	}
	r.configure(7)
	r.startHosts(tmp)
	for i, h := range r.hosts {
		in := newInstance(r, h, fmt.Sprintf("i-%d", i+1), 5, 300*time.Millisecond)
		in.listen()
		go in.beat()
	}
	time.Sleep(4 * time.Second)
	for _, h := range r.hosts {
		r.startConsumers(h, book, 4, 250*time.Millisecond)
		r.startConsumers(h, browse, 2, 250*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		// h2 runs an instance of browse.
		for range 4 {
			r.otherWriter(r.hosts[1], "i-2", "booking")
			time.Sleep(1100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	close(r.stopConsumers)
	r.consumers.Wait()
	r.judgeService()
}

// otherWriter sends a ping without dc, version, state, warm-up and sequence.
func (r *rig) otherWriter(h *host, id, service string) {
	body, _ := json.Marshal(map[string]any{"service": service, "address": h.app, "slots": 5})
	req, _ := http.NewRequest(http.MethodPut, "http://"+h.control+"/v1/instances/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.abort("ping of another writer: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.note("a ping of another writer arrives for %s: %s -> %d", id, body, resp.StatusCode)
}

// judgeService counts the requests that an instance of another service has run.
func (r *rig) judgeService() {
	r.mu.Lock()
	serviceOf := make(map[string]string)
	for _, h := range r.hosts {
		serviceOf[h.name] = h.service
	}
	wanted := make(map[string]string)
	for _, q := range r.requests {
		for _, rt := range r.routes {
			if rt.Name == q.route {
				wanted[q.id] = rt.Service
			}
		}
	}
	foreign, answered := 0, 0
	for _, u := range r.runs {
		if want, ok := wanted[u.id]; ok && want != serviceOf[u.host] {
			foreign++
		}
	}
	for _, q := range r.requests {
		if q.status != 0 {
			answered++
		}
	}
	r.mu.Unlock()
	r.finish(foreign > 0, fmt.Sprintf("%d of %d requests were run by a service to which no configuration allows them to go", foreign, answered))
}
