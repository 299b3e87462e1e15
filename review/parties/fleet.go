package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, service, kind string
	timeoutMS, targetMS, attempts     int
	priority                          int
}

// configuration returns the operator's configuration in the form of config/main.
func configuration(version int, services []string, routes []route) map[string]any {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "hostname": r.host, names.PathPrefix: r.prefix, names.RouteType: r.kind, "service": r.service,
			"timeout-ms": r.timeoutMS, names.TargetLatency: r.targetMS, "priority": r.priority, names.MaxAttempts: r.attempts,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health-check-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// Routes of a small deployment.
var (
	viewPlan = route{name: "r-view", host: "plans.example", prefix: "/view/", service: "plans", kind: "idempotent", timeoutMS: 6000, targetMS: 2500, attempts: 2, priority: 2}
	bookSeat = route{name: "r-book", host: "coach.example", prefix: "/book/", service: "coach", kind: names.NonIdempotent, timeoutMS: 8000, targetMS: 2500, attempts: 2, priority: 1}
)

var zones = []string{"bayangol", "sukhbaatar", "khan-uul"}

// begin starts the store, one daemon for each service named and an instance beside it, and
// waits until all are ready.
func (f *fleet) begin(services []string, slots int, work time.Duration, routes ...route) error {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return err
	}
	f.store = newStore(l)
	go f.store.keepHistory(f.stop)
	known := map[string]bool{}
	var names []string
	for _, s := range services {
		if !known[s] {
			known[s] = true
			names = append(names, s)
		}
	}
	f.store.put("config", "main", configuration(7, names, routes))
	for i, z := range zones {
		if i > 0 {
			f.areas += ","
		}
		f.areas += z + ":ulaanbaatar"
	}
	if _, err := os.Stat(program); err != nil {
		return err
	}
	for i, s := range services {
		zone := zones[i%len(zones)]
		h, err := newHost(f.dir, fmt.Sprintf("sidecar-%s-%d", zone, i/len(zones)+1), zone, s, f.areas, f.store.address)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		in, err := newInstance(fmt.Sprintf("i-%08x", 0x7f3a0000+i), s, zone, h.announce, slots, work, f.log)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, in)
		go in.beat()
	}
	for _, h := range f.hosts {
		if !h.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s did not get ready", h.name)
		}
	}
	f.log.printf("all %d daemons are ready", len(f.hosts))
	// Traffic starts 8 s after the machines do.
	time.Sleep(8 * time.Second)
	return nil
}

// traffic sends requests of one route from one machine, one each interval on kept connections,
// until stop is closed.
func (f *fleet) traffic(h *host, r route, method string, interval time.Duration, body []byte, stop <-chan struct{}, seen func(id string, res result)) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		var mu sync.Mutex
		var idle []*conn
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				var c *conn
				mu.Lock()
				if n := len(idle); n > 0 {
					c, idle = idle[n-1], idle[:n-1]
				}
				mu.Unlock()
				id := requestID()
				if c == nil {
					var err error
					if c, err = connect(h.callers); err != nil {
						f.log.printf("request %s at %s: no connection", id, h.name)
						return
					}
				}
				f.log.printf("request %s (%s) sent to %s", id, r.name, h.name)
				res := c.do(method, r.host, r.prefix+"2f", id, time.Duration(r.timeoutMS)*2*time.Millisecond, body)
				f.log.printf("request %s (%s): %s", id, r.name, res)
				if seen != nil {
					seen(id, res)
				}
				if res.err != nil || res.header.Get("Connection") == "close" {
					c.close()
					return
				}
				mu.Lock()
				idle = append(idle, c)
				mu.Unlock()
			}()
		}
	}()
	return &wg
}
