package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// drainTime is the deployment's drain-ms.
	drainTime = 2 * time.Second
	// lateBy is how long the pings of the first boot are held up; cuts of instances last
	// up to 10 s.
	lateBy = 5 * time.Second
	// lingering is how long the leaving instance goes on serving after its confirmation.
	lingering = 8 * time.Second
)

// runLateBeat: the first pings of a boot are held up by a cut. It crashes, a new boot
// starts under the same id and registers, and only then do the old pings arrive. Later
// the new boot leaves.
func runLateBeat(r *rig, tmp string) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	r.services = []string{"booking", "browse"}
	book := route{
		Name: "r-book", Hostname: "book.example", PathPrefix: "/book/", Type: names.NonIdempotent, TimeoutMS: 6000, TargetMS: 2000,
		Priority: 1, Service: "booking", Attempts: 2, method: http.MethodPost, deadline: 6 * time.Second,
	}
	r.routes = []route{book}
	for i := range 4 {
		r.addHost(fmt.Sprintf("h%d", i+1), zones[i%3], "booking")
	}
	r.configure(7)
	r.startHosts(tmp)
	newBoot := func(i int) *instance {
		in := newInstance(r, r.hosts[i], fmt.Sprintf("i-%d", i+1), 5, 300*time.Millisecond)
		in.born = time.Now().UnixMilli()
		in.listen()
		return in
	}
	for i := 1; i < 4; i++ {
		go newBoot(i).beat()
	}

	// The first boot on h1 is cut off from its control address: its pings are held up.
	first := newBoot(0)
	var held [][]byte
	for range 2 {
		held = append(held, first.announcement())
		time.Sleep(beatInterval)
	}
	sent := time.Now()
	r.note("two pings of %s, born %d, are held up", first.id, first.born)
	first.exit()
	time.Sleep(500 * time.Millisecond)
	second := newBoot(0)
	go second.beat()
	for _, h := range r.hosts {
		r.startConsumers(h, book, 2, 200*time.Millisecond)
	}
	time.Sleep(time.Until(sent.Add(lateBy)))
	if r.trouble {
		for _, beat := range held {
			r.deliverLate(first, beat)
		}
	}
	time.Sleep(6 * time.Second)

	second.setState("draining")
	confirmed := second.announce()
	confirmedAt := time.Now()
	r.note("%s reports draining; confirmed: %v", second.id, confirmed)
	if !confirmed {
		r.abort("the leaving was not confirmed")
	}
	time.Sleep(lingering)
	second.stopBeats()
	r.note("%s leaves; confirmed: %v", second.id, second.leave())
	second.exit()
	time.Sleep(2 * time.Second)
	close(r.stopConsumers)
	r.consumers.Wait()
	r.judgeLateBeat(second, confirmedAt)
}

// deliverLate delivers a ping whose sender has gone.
func (r *rig) deliverLate(in *instance, beat []byte) {
	req, _ := http.NewRequest(http.MethodPut, "http://"+in.host.control+"/v1/instances/"+in.id, bytes.NewReader(beat))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.abort("late ping: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.note("late ping arrives: %s -> %d", beat, resp.StatusCode)
}

// judgeLateBeat counts the requests that reached the leaving instance later than drain-ms after
// the confirmation.
func (r *rig) judgeLateBeat(leaving *instance, confirmedAt time.Time) {
	r.mu.Lock()
	late, lost := 0, 0
	reached := make(map[string]bool)
	for _, u := range r.runs {
		if u.instance == leaving.id && u.at.After(confirmedAt.Add(drainTime)) {
			late++
			reached[u.id] = true
		}
	}
	for _, q := range r.requests {
		if reached[q.id] && !q.intact {
			lost++
		}
	}
	r.mu.Unlock()
	r.finish(late > 0, fmt.Sprintf("%d requests reached %s later than drain-ms after the confirmed leaving; %d of them got no success", late, leaving.id, lost))
}
