package admit

import (
	"fmt"
	"testing"
	"time"
)

// replayWithFleet returns the decisions for 40 teams of the queue and 256 of the fleet, which are
// more than have records.
func replayWithFleet() string {
	q := NewQueue(Config{Slots: 2, QueuePerSlot: 4, GrantTTL: time.Second, FairShares: true})
	now := base
	out := ""
	use := map[uint32]float64{}
	for i := range uint32(256) {
		use[1000+i] = 0.01
	}
	id := ID(0)
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		id++
		team := uint32(1 + i%40)
		if i%3 == 0 {
			team = 1000 + uint32(i*7%256)
		}
		for _, d := range q.Offer(now, Request{ID: id, Team: team, Deadline: now.Add(5 * time.Second), Objective: now.Add(time.Second), ExpectedServiceTime: 100 * time.Millisecond}) {
			out += fmt.Sprint(d)
		}
		for _, t := range q.Tickets() {
			if t.State == "running" && int(t.ID) < int(id)-4 {
				out += fmt.Sprint(q.Done(now, t.ID, 100*time.Millisecond))
			}
		}
		if i%25 == 0 {
			q.SetFleetUse(use)
		}
		out += fmt.Sprint(q.Tick(now))
	}
	return out
}

// Guards against decisions that depend on the order in which Go visits a map.
func TestDecisionsWithFleetUseAreReproducible(t *testing.T) {
	first := replayWithFleet()
	for range 20 {
		if replayWithFleet() != first {
			t.Fatal("the same calls gave other decisions")
		}
	}
}
