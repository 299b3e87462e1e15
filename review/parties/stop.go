package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
)

// boardRead is the route of the small deployment with the longest work.
var boardRead = route{name: "r-board", host: "permits.example", prefix: "/board/", service: "permits", kind: "idempotent", timeoutMS: 25000, targetMS: 8000, attempts: 2, priority: 2}

// othersInterval is the time between two requests at each other machine. Together they are a little
// more than the instances can take, so that requests wait in queues.
const othersInterval = 300 * time.Millisecond

// attempt is one request at the machine that is stopped.
type attempt struct {
	sent, ended time.Duration
	answered    bool
}

// stopTwice stops a machine with SIGTERM, and once more while it stops. The platform kills it
// grace-s after the first SIGTERM.
func stopTwice(f *fleet) (int, error) {
	const work = 2600 * time.Millisecond
	if err := f.begin([]string{"plans", "permits", "permits", "permits"}, 7, work, viewPlan, boardRead); err != nil {
		return failed, err
	}
	machine := f.hosts[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	sent := map[string]*attempt{}
	// Other machines keep the instances busy.
	for _, h := range f.hosts[1:] {
		defer f.traffic(h, boardRead, http.MethodGet, othersInterval, nil, stop, nil).Wait()
	}
	var stopped sync.Once
	end := func() { stopped.Do(func() { close(stop) }) }
	defer end()
	time.Sleep(12 * time.Second)

	// Consumers of the machine that stops: they send while it is ready, or has been seen not
	// to be fewer than two times.
	var wg sync.WaitGroup
	send := func() {
		defer wg.Done()
		c, err := connect(machine.callers)
		if err != nil {
			return
		}
		defer c.close()
		id := requestID()
		a := &attempt{sent: f.log.now()}
		mu.Lock()
		sent[id] = a
		mu.Unlock()
		f.log.printf("request %s sent to %s", id, machine.name)
		res := c.do(http.MethodGet, boardRead.host, boardRead.prefix+"2f", id, 50*time.Second, nil)
		mu.Lock()
		a.ended, a.answered = f.log.now(), res.err == nil
		mu.Unlock()
		f.log.printf("request %s at %s: %s", id, machine.name, res)
	}
	first := f.log.now()
	machine.signal(syscall.SIGTERM)
	f.log.printf("SIGTERM to %s", machine.name)
	for f.log.now() < first+2700*time.Millisecond {
		if f.trouble && f.log.now() > first+1900*time.Millisecond && f.log.now() < first+2000*time.Millisecond {
			machine.signal(syscall.SIGTERM)
			f.log.printf("SIGTERM to %s once more", machine.name)
			time.Sleep(110 * time.Millisecond)
		}
		wg.Add(1)
		go send()
		time.Sleep(90 * time.Millisecond)
	}
	select {
	case <-machine.exited:
		f.log.printf("%s has ended", machine.name)
	case <-time.After(first + grace - f.log.now()):
		machine.kill()
		f.log.printf("SIGKILL to %s", machine.name)
	}
	wg.Wait()
	end()

	lost := 0
	for id, a := range sent {
		if a.answered || a.ended-a.sent < lossSlack || f.log.atWork(id, first+grace*5/6, first+grace, work) {
			continue
		}
		lost++
		f.log.printf("lost: request %s, read and never answered, no instance at work on it in the last sixth of grace-s", id)
	}
	f.log.printf("requests lost: %d of %d", lost, len(sent))
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
