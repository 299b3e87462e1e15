package front

import (
	"context"
	"net/http"
	"time"

	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/verdict"
)

// A request that may end the instances that run it is repeated once after an end,
// since most that ran beside another's crash are innocent, and never hedged: each
// further attempt of the one that is not ends another instance.

// suspected says that an instance has ended under the request, as far as is known.
// The caller holds the lock, or is alone.
func (c *race) suspected() bool { return c.ends() > 0 }

// ends counts the instances that have ended under the request: those that the fleet
// knows of, or those of its own attempts, whose news may still be under way. The
// caller holds the lock, or is alone.
func (c *race) ends() int {
	own := 0
	for _, fail := range c.failures {
		if fail.Reason == verdict.ReasonTargetEnded {
			own++
		}
	}
	return max(own, c.front.guard.Suspect(c.req.print).Ends)
}

// awaitNews waits while news that clears the request may be under way: one that was lost
// with several instances at once is repeated just when all hosts hear of their ends.
func (c *race) awaitNews(ctx context.Context) {
	for {
		v := c.front.guard.Suspect(c.req.print)
		wait := v.Unsettled(time.Now())
		if wait <= 0 || !sleep.For(ctx, wait) {
			return
		}
	}
}

// succeeded says that the whole answer has come and is a success: the request has run to
// its end.
func (o *outcome) succeeded() bool {
	return o.fail == nil && !o.answer.open && o.answer.head.Status < http.StatusBadRequest
}
