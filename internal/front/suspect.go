package front

import "github.com/radishhoist/radishhoist/verdict"

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
