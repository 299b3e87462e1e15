package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/admit"
	"github.com/radishhoist/radishhoist/internal/core/chance"
)

// start seats requests at the test guard's instance, which has two slots.
func start(i *instance, now time.Time, n int) {
	for range n {
		i.offer(now, admit.Request{Deadline: now.Add(time.Minute)}, &waiter{})
	}
}

// An instance that refuses with a free slot is found out; one that is full, or may
// still work on what was broken off, has its reasons.
func TestRefusingWithAFreeSlotIsSeen(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		running int
		cutFor  time.Duration
		seen    bool
	}{
		{name: "one of two slots taken by the request itself", running: 1, cutFor: time.Minute, seen: true},
		{name: "full", running: 2, cutFor: time.Minute},
		{name: "just broken off", running: 1, cutFor: leftoverWork / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGuard(t, "127.0.0.1:1")
			i := g.all()[0]
			start(i, now, c.running)
			i.saw(now.Add(-c.cutFor), result{cut: true})
			i.saw(now, result{shed: true})
			assert.Equal(t, i.sheds.Now(now) > 0, c.seen)
			assert.Equal(t, (&chance.Estimate{}).Sick(now, g.model), i.sick.Sick(now, g.model), "it is another fault than failing")
		})
	}
}
