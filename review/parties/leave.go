package main

import (
	"net/http"
	"time"
)

// Bounds of the small deployments.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	restartDelay = 500 * time.Millisecond
)

// leaveThenRestart lets an instance leave, which its machine acknowledges, and go on
// serving for some seconds. The machine's process is killed and starts again. A ping that the
// instance sent before it left arrives late.
func leaveThenRestart(f *fleet) (int, error) {
	if err := f.begin([]string{"plans", "plans", "plans", "plans", "plans", "plans"}, 7, 60*time.Millisecond, viewPlan); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	for _, h := range f.hosts[1:] {
		defer f.traffic(h, viewPlan, http.MethodGet, 100*time.Millisecond, nil, stop, nil).Wait()
	}
	defer close(stop)
	time.Sleep(4 * time.Second)

	leaving, machine := f.instances[0], f.hosts[0]
	leaving.silent.Store(true)
	time.Sleep(ackTimeout)
	late := leaving.ping()
	status := leaving.call(http.MethodDelete, nil, ackTimeout)
	acknowledged := f.log.now()
	f.log.printf("instance %s said at %s that it leaves: status %d", leaving.id, machine.name, status)
	if status/100 != 2 {
		return failed, nil
	}
	started := acknowledged
	if f.trouble {
		time.Sleep(300 * time.Millisecond)
		machine.kill()
		f.log.printf("%s was killed", machine.name)
		time.Sleep(restartDelay)
		if err := machine.start(); err != nil {
			return failed, err
		}
		started = f.log.now()
		f.log.printf("%s starts again", machine.name)
		if !machine.awaitReady(10 * time.Second) {
			return failed, nil
		}
		f.log.printf("%s is ready again", machine.name)
	} else {
		time.Sleep(2 * time.Second)
	}
	f.log.printf("the ping that %s sent before it left arrives: status %d", leaving.id, leaving.call(http.MethodPut, late, ackTimeout))
	// The instance serves on for ten seconds after the confirmation.
	time.Sleep(acknowledged + 10*time.Second - f.log.now())

	from := max(acknowledged+drainTime, started+stableWindow)
	reached := 0
	for _, a := range f.log.arrivalsAt(leaving.id) {
		if a.at > from {
			reached++
		}
	}
	f.log.printf("requests that reached %s later than %.3f s (drain-ms after the confirmation, and %s in touch again): %d", leaving.id, from.Seconds(), machine.name, reached)
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}
